//! A worker of a plain service crashes while it streams on a resumable route.

use std::thread;

use super::{Deployment, configuration, ms};
use crate::{
    Verdict,
    client::{self, Answer, Ask},
    record::Record,
    worker::{Pace, Run},
};

/// Streams in progress when the worker crashes.
const STREAMS: usize = 6;

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::open(1, configuration(false), record)?;
    let pace = Pace { first: ms(50), gap: ms(100), pieces: 20 };
    let workers = ["i-1", "i-2"].map(|id| deployment.worker(id, None, "v1", pace));
    let door = deployment.door();
    let gateway = deployment.gateway(0, &door)?;
    let front = gateway.front;
    thread::sleep(ms(2_000));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let ask = Ask {
                id: format!("{number:016x}"),
                path: "/review/1".to_owned(),
                headers: String::new(),
            };
            thread::spawn(move || client::ask(front, &ask, &record))
        })
        .collect();
    thread::sleep(ms(1_000));
    if trouble {
        // It is down for good; its entry lapses after three heartbeat intervals.
        workers[0].crash();
        thread::sleep(ms(3_600));
        workers[0].remove_entry();
    }
    let answers: Vec<Answer> =
        clients.into_iter().map(|it| it.join().expect("a client does not panic")).collect();
    let runs = deployment.runs.lock().unwrap().clone();
    let joined = answers.iter().filter(|it| is_joined(it, &runs)).count();
    let complete = answers.iter().filter(|it| it.is_complete).count();
    record.line(&format!("{joined} of {STREAMS} answers are joined from two runs of which the later one did not go on at Last-Event-Id; {complete} ended as complete"));
    Ok(if joined > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Returns whether an answer holds pieces of two runs, of which the later one was not told where to go
/// on.
fn is_joined(answer: &Answer, runs: &[Run]) -> bool {
    answer.events.windows(2).any(|pair| {
        let later = runs.iter().find(|it| it.number == pair[1].run);
        pair[0].run != pair[1].run && later.is_some_and(|it| it.after.is_none())
    })
}
