//! A worker leaves as planned once the store has been back for `contact_ms`.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{Deployment, configuration, ms};
use crate::{Verdict, client, record::Record, store::Mode, worker::Pace};

/// Length of the outage.
const OUTAGE: Duration = ms(3_000);
/// Time from the start of a watch of the configuration to the outage.
const PHASE: Duration = ms(700);
/// `contact_ms` of the settings, and a little more.
const CONTACT: Duration = ms(3_050);
/// `drain_ms` of the settings.
const DRAIN: Duration = ms(2_000);
/// Time after `drain_ms` at which the worker exits.
const LINGER: Duration = ms(600);
/// Requests after `drain_ms`, and the time between two of them.
const REQUESTS: (usize, Duration) = (12, ms(40));

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::open(1, configuration(false), record)?;
    let pace = Pace { first: ms(100), gap: ms(100), pieces: 10 };
    let workers = ["i-1", "i-2"].map(|id| deployment.worker(id, None, "v1", pace));
    let door = deployment.door();
    let gateway = deployment.gateway(0, &door)?;
    let front = gateway.front;
    thread::sleep(ms(3_000));
    let before = door.watched_at();
    let limit = Instant::now() + ms(5_000);
    while door.watched_at() == before {
        if Instant::now() > limit {
            return Err("the gateway does not watch the configuration".to_owned());
        }
        thread::sleep(ms(5));
    }
    thread::sleep(PHASE);
    if trouble {
        record.line("the store does not answer for 3 s");
        door.set(Mode::Silent);
    }
    thread::sleep(OUTAGE);
    door.set(Mode::Serves);
    record.line("the store answers");
    thread::sleep(CONTACT);
    workers[0].drain();
    thread::sleep(DRAIN + ms(20));
    let clients: Vec<_> = (0..REQUESTS.0)
        .map(|number| {
            let record = record.clone();
            let client =
                thread::spawn(move || client::issue(front, &format!("{number:016x}"), &record));
            thread::sleep(REQUESTS.1);
            client
        })
        .collect();
    thread::sleep((DRAIN + LINGER).saturating_sub(DRAIN + ms(20) + REQUESTS.1 * REQUESTS.0 as u32));
    workers[0].crash();
    workers[0].remove_entry();
    let statuses: Vec<u16> =
        clients.into_iter().map(|it| it.join().expect("a client does not panic")).collect();
    let late = workers[0].issues().into_iter().filter_map(|it| it.since_leaving_ms);
    let late = late.filter(|it| Duration::from_millis(*it) > DRAIN).count();
    let lost = statuses.iter().filter(|it| **it != 200).count();
    record.line(&format!(
        "{late} requests reached worker i-1 later than drain_ms after the store had its leaving; \
         {lost} of {} requests were not answered with success",
        REQUESTS.0
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
