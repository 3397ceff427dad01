//! Stand-ins for the users' store, workers and clients, and the cases that use them.
//!
//! `stand CASE` plays one case. The gateways run as processes of their own, with the command of the
//! deploy file; the store, the workers and the clients are threads of this process. The exit code is 1
//! if the rule of the case was broken, 0 if it held, and 2 if the case could not be played.

mod cases;
mod client;
mod gateway;
mod http;
mod record;
mod store;
mod worker;

use std::{
    env,
    process::{self, ExitCode},
    thread,
    time::Duration,
};

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let case = env::args().nth(1).unwrap_or_default();
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::default();
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        gateway::kill_all();
        process::exit(2);
    });
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let verdict = cases::play(&case, trouble, &record);
    let code = match &verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    match &verdict {
        Ok(Verdict::Held) => record.line("RESULT: the rule held"),
        Ok(Verdict::Broken) => record.line("RESULT: the rule was broken"),
        Err(error) => record.line(&format!("RESULT: the case could not be played: {error}")),
    }
    match record.save("record.txt") {
        Ok(()) => ExitCode::from(code),
        Err(error) => {
            eprintln!("record.txt: {error}");
            ExitCode::from(2)
        }
    }
}
