//! The start of a process, before its settings are known.

use std::time::Duration;

use siskinstile_gateway::record::{self, Record};
use tokio::time::{self, Instant};

use crate::{Settings, logger::Logger, settings::Unusable};

/// Time between two reads of the settings.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which settings with a problem in fields that have defaults are waited for: the file may just be being written.
const PARTIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a problem that has not changed is logged again.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Reads settings until they can be used, and logs why they cannot be.
///
/// Fields that cannot be used have their defaults after `PARTIAL_TIMEOUT`.
pub async fn await_settings(
    logger: &Logger,
    read: impl Fn() -> Result<Settings, Unusable>,
) -> Settings {
    let mut wait = Wait::start(logger);
    loop {
        match read() {
            Ok(settings) => {
                wait.end();
                return settings;
            }
            Err(Unusable { problem, partial: Some(partial) }) if wait.is_partial_enough() => {
                logger.write(&Record::new(record::SETTINGS_PARTIAL).with("problem", problem));
                return *partial;
            }
            Err(unusable) => wait.fail(unusable.problem),
        }
        time::sleep(READ_INTERVAL).await;
    }
}

/// A wait for settings.
struct Wait<'a> {
    logger: &'a Logger,
    started_at: Instant,
    /// Reads that have failed.
    failures: u64,
    /// The problem that was logged last, and the time of it.
    logged: Option<(String, Instant)>,
}

impl Wait<'_> {
    fn start(logger: &Logger) -> Wait<'_> {
        Wait { logger, started_at: Instant::now(), failures: 0, logged: None }
    }

    /// Returns whether settings with defaults in some fields are used by now.
    fn is_partial_enough(&self) -> bool {
        self.started_at.elapsed() >= PARTIAL_TIMEOUT
    }

    /// Counts a read that has failed; logs its problem if it is new or was last logged long ago.
    fn fail(&mut self, problem: String) {
        self.failures += 1;
        let is_logged = self
            .logged
            .as_ref()
            .is_some_and(|(logged, at)| *logged == problem && at.elapsed() < LOG_INTERVAL);
        if !is_logged {
            let line = self.line(Record::new(record::SETTINGS_UNUSABLE), self.failures);
            self.logger.write(&line.with("problem", &*problem));
            self.logged = Some((problem, Instant::now()));
        }
    }

    /// Logs the end of the wait, if there was one.
    fn end(&self) {
        if self.failures > 0 {
            let line = self.line(Record::new(record::SETTINGS_READ), self.failures + 1);
            self.logger.write(&line);
        }
    }

    fn line(&self, record: Record, tries: u64) -> Record {
        let waited_ms = self.started_at.elapsed().as_millis() as u64;
        record.with("tries", tries).with("waited_ms", waited_ms)
    }
}
