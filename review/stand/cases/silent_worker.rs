//! Workers fall silent for a second before their first event, while a gateway is stopped as planned.

use std::thread;

use super::{Deployment, configuration, ms};
use crate::{
    Verdict,
    client::{self, Ask},
    record::Record,
    worker::Pace,
};

/// Streams of the case.
const STREAMS: usize = 4;
/// Usual time to the first event, and the time for which the workers fall silent, in milliseconds.
const FIRST_MS: u64 = 300;
const SILENCE_MS: u64 = 1_100;

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::open(1, configuration(true), record)?;
    let silence = if trouble { SILENCE_MS } else { 0 };
    let pace = Pace { first: ms(FIRST_MS + silence), gap: ms(50), pieces: 20 };
    for id in ["i-1", "i-2", "i-3"] {
        deployment.worker(id, Some("decode"), "v1", pace);
    }
    let door = deployment.door();
    let gateway = deployment.gateway(0, &door)?;
    let front = gateway.front;
    thread::sleep(ms(5_000));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let ask = Ask {
                id: format!("{number:016x}"),
                path: "/review/1".to_owned(),
                headers: "Token-Counts: 1460,80\r\n".to_owned(),
            };
            thread::spawn(move || client::ask(front, &ask, &record))
        })
        .collect();
    thread::sleep(ms(200));
    gateway.terminate();
    if trouble {
        record.line("the workers fall silent for 1.1 s and go on");
    }
    let answers: Vec<_> =
        clients.into_iter().map(|it| it.join().expect("a client does not panic")).collect();
    let lost = answers.iter().filter(|it| !it.is_complete).count();
    record.line(&format!(
        "{lost} of {STREAMS} requests that were passed on to workers have no complete answer"
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
