//! Workers are upgraded in place, one after the other, while the store is away.

use std::thread;

use super::{Deployment, configuration, ms};
use crate::{
    Verdict,
    client::{self, Answer, Ask},
    record::Record,
    store::Mode,
    worker::Pace,
};

/// Streams in progress.
const STREAMS: usize = 6;
/// Streams that may hold events of two versions.
const MAX_JOINED: usize = 2;

pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::open(1, configuration(true), record)?;
    let pace = Pace { first: ms(100), gap: ms(100), pieces: 60 };
    let old = deployment.worker("i-1", Some("decode"), "v1", pace);
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
                headers: "Token-Counts: 1460,80\r\n".to_owned(),
            };
            thread::spawn(move || client::ask(front, &ask, &record))
        })
        .collect();
    thread::sleep(ms(500));
    // A second worker of the same version is added, which has no work yet.
    let added = deployment.worker("i-2", Some("decode"), "v1", pace);
    thread::sleep(ms(700));
    if trouble {
        record.line("the store turns all away (503) for 4 s");
        door.set(Mode::Busy);
    }
    thread::sleep(ms(400));
    for worker in [&added, &old] {
        worker.crash();
        thread::sleep(ms(300));
        worker.restart("v2");
        if !trouble {
            worker.write_entry();
        }
        thread::sleep(ms(700));
    }
    thread::sleep(ms(1_500));
    if trouble {
        door.set(Mode::Serves);
        record.line("the store is back");
        [&added, &old].iter().for_each(|it| it.write_entry());
    }
    let answers: Vec<Answer> =
        clients.into_iter().map(|it| it.join().expect("a client does not panic")).collect();
    let joined = answers.iter().filter(|it| is_joined(it)).count();
    record.line(&format!("{joined} of {STREAMS} streams hold events of two software versions"));
    Ok(if joined > MAX_JOINED { Verdict::Broken } else { Verdict::Held })
}

fn is_joined(answer: &Answer) -> bool {
    answer.events.iter().any(|it| it.version != answer.events[0].version)
}
