//! A worker names a limit that is too high to matter.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{Deployment, configuration, ms};
use crate::{Verdict, client, record::Record, worker::Pace};

/// The largest number of 32 bits.
const HUGE: &str = "4294967295";
/// A limit that is not reached here.
const USUAL: &str = "50";
/// Requests before and after the worker names its limit.
const REQUESTS: (usize, usize) = (4, 24);
/// Time between two requests.
const PAUSE: Duration = ms(250);
/// `timeout_ms` of the route, and the half second after it.
const TIME_LIMIT: Duration = ms(1_300);

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::open(2, configuration(false), record)?;
    let pace = Pace { first: ms(20), gap: ms(20), pieces: 5 };
    let workers = ["i-1", "i-2"].map(|id| deployment.worker(id, None, "v1", pace));
    let doors = [deployment.door(), deployment.door()];
    let gateways = [deployment.gateway(0, &doors[0])?, deployment.gateway(1, &doors[1])?];
    thread::sleep(ms(3_000));
    let mut clients = Vec::new();
    for number in 0..REQUESTS.0 + REQUESTS.1 {
        if number == REQUESTS.0 {
            workers[0].set_limit(if trouble { HUGE } else { USUAL });
        }
        let (front, record) = (gateways[number % 2].front, record.clone());
        clients.push(thread::spawn(move || {
            let sent = Instant::now();
            let status = client::issue(front, &format!("{number:016x}"), &record);
            (status, sent.elapsed())
        }));
        thread::sleep(PAUSE);
    }
    thread::sleep(ms(5_000));
    for gateway in &gateways {
        let status = gateway.readiness();
        record.line(&format!("gateway {} answers its readiness check with {status}", gateway.name));
    }
    let results: Vec<(u16, Duration)> =
        clients.into_iter().map(|it| it.join().expect("a client does not panic")).collect();
    let unanswered = results.iter().filter(|it| it.1 > TIME_LIMIT).count();
    record.line(&format!(
        "{unanswered} of {} requests have no answer half a second after timeout_ms",
        results.len()
    ));
    // Eight or more, and over a quarter.
    Ok(match unanswered >= 8 && 4 * unanswered > results.len() {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
