use std::time::Duration;

use serde_json::{Value, json};
use siskinstile_core::{
    Instant,
    store::{Answer, Call, Object},
    sweep::Sweeper,
};

/// A fake platform with one claim, written at the start, and the sweeper's marks.
struct Platform {
    revision: u64,
    marks: Option<(u64, Value)>,
    claim: bool,
}

impl Platform {
    fn call(&mut self, call: &Call) -> Answer {
        let object = |name: &str, version, value| Object {
            kind: "any".into(),
            name: name.into(),
            version,
            value: Some(value),
        };
        match call {
            Call::Get { .. } => match &self.marks {
                Some((version, value)) => Answer::Object(object("claims", *version, value.clone())),
                None => Answer::Missing,
            },
            Call::Put { value, .. } => {
                self.revision += 1;
                self.marks = Some((self.revision, value.clone()));
                Answer::Written { version: self.revision }
            }
            Call::Delete { if_version: Some(1), .. } => {
                self.claim = false;
                Answer::Written { version: 0 }
            }
            Call::List { .. } => {
                let claim = self.claim.then(|| object("claim", 1, json!({})));
                Answer::Objects { revision: self.revision, objects: claim.into_iter().collect() }
            }
            _ => Answer::Lost,
        }
    }
}

/// Returns the hours until the claim is removed if another instance becomes the sweeper every
/// `change_minutes` minutes.
fn hours_until_removal(change_minutes: u64) -> u64 {
    let mut platform = Platform { revision: 1, marks: None, claim: true };
    let mut sweeper = Sweeper::default();
    for minute in 0..60 * 200 {
        let now = Instant::default() + Duration::from_secs(60 * minute);
        if minute % change_minutes == 0 {
            sweeper = Sweeper::default();
        }
        let mut calls = sweeper.tick(now, true);
        while let Some(call) = calls.pop() {
            let answer = platform.call(&call);
            if !matches!(call, Call::Delete { .. }) {
                calls.extend(sweeper.handle_answer(now, answer));
            }
        }
        if !platform.claim {
            return minute / 60;
        }
    }
    u64::MAX
}

/// A claim is removed once it is a day old, neither earlier nor much later.
#[test]
fn sweep_after_a_day() {
    assert!((24..=28).contains(&hours_until_removal(u64::MAX)));
}

/// Frequent changes of the sweeper delay the removal, but never cause an early one.
#[test]
fn sweep_frequent_sweeper_changes() {
    assert!((24..=60).contains(&hours_until_removal(90)));
}
