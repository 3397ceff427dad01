//! How long work takes at an endpoint at present, relative to the usual time.
//!
//! Endpoints state a figure for it with their responses. It holds for some hundred milliseconds and
//! may be wrong or missing, so a statement loses weight with its age, and the durations that this
//! instance measures decide on the credit of an endpoint's figure. An endpoint that has not stated
//! the figure has the usual pace, whatever its calls take.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Instant, call::ReportedLoad, name_hash::NameHash};

/// Time in which a statement or a measurement loses half of its weight: a shared machine is slow for
/// less than a second at a time.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Lower bound of the pace, so that a figure that is too low does not attract all requests.
const MIN_PACE: f64 = 0.8;
/// Upper bound of the pace.
const MAX_PACE: f64 = 6.0;
/// Figures from this one on, in percent, are usual ones.
const MIN_USUAL: u32 = 80;
/// Figures up to this one, in percent, are usual ones.
const MAX_USUAL: u32 = 125;
/// Measured paces up to this one are usual ones; durations vary more than the figures.
const MAX_USUAL_MEASUREMENT: f64 = 1.4;
/// Maximum ratio of a statement and a measurement that agree.
const MAX_DISAGREEMENT: f64 = 1.7;
/// Part of the credit that a contradicting measurement takes, or of the lacking credit that one that
/// agrees restores.
const CREDIT_STEP: f64 = 0.5;
/// Time for which an endpoint may be stated to be slow without a measurement that agrees; afterwards
/// it gets requests as usual, which are measured.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(5);
/// Time for which a stated queue holds; what relays of other data centres tell is up to 430 ms old.
const QUEUE_LIFETIME: Duration = Duration::from_millis(600);
/// Time for which a statement is told to other instances.
const REPEAT_TIME: Duration = Duration::from_millis(500);
/// Maximum number of statements in one message; the latest ones.
const MAX_STATEMENTS: usize = 32;
/// Time by which a statement seems later than it was, since its age lacks the time on its way; a
/// relay's copy of what the sender's member told here as well is not taken for a newer one.
const MAX_TRANSIT: Duration = Duration::from_millis(100);
/// Time after its last statement at which an endpoint counts as one that does not state its pace.
const EXPIRY: Duration = Duration::from_secs(60);

/// What an endpoint has stated.
#[value(eq)]
pub struct Statement {
    /// The endpoint.
    pub endpoint: NameHash,
    /// Present duration of work, in percent of the usual one.
    pub percent: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// When it was stated.
    pub stated_at: Instant,
}

impl Statement {
    fn is_usual(&self) -> bool {
        (MIN_USUAL..=MAX_USUAL).contains(&self.percent)
    }

    /// Returns the logarithm of the stated pace, within the bounds; 0 for a usual one.
    fn log_pace(&self) -> f64 {
        match self.is_usual() {
            true => 0.0,
            false => (f64::from(self.percent) / 100.0).clamp(MIN_PACE, MAX_PACE).ln(),
        }
    }

    /// Returns whether other instances should know it.
    fn is_notable(&self) -> bool {
        !self.is_usual() || self.waiting > 0
    }
}

/// Where a statement was heard.
#[value(id)]
pub enum Source {
    /// In a response to this instance.
    Endpoint,
    /// From a member of the own data centre that had it from the endpoint.
    Member,
    /// From another data centre.
    Remote,
    /// From a relay of the own data centre, which tells everyone there.
    Relay,
}

impl Source {
    /// What an instance tells: what others tell is passed on by relays.
    pub const OWN: [Source; 1] = [Source::Endpoint];
    /// What a relay tells other data centres.
    pub const DATACENTRE: [Source; 2] = [Source::Endpoint, Source::Member];
    /// What a relay tells its own data centre.
    pub const ALL: [Source; 3] = [Source::Endpoint, Source::Member, Source::Remote];
}

/// What is known of one endpoint.
#[value]
struct Record {
    statement: Statement,
    source: Source,
    /// Since when the statements have been usual, or not.
    unchanged_since: Instant,
    /// When the last statement that other instances should know was made.
    notable_at: Option<Instant>,
    /// Since when the endpoint has been stated to be slow without a measurement that agrees.
    unconfirmed_since: Option<Instant>,
    /// Weight of the statements, from 0 to 1.
    credit: f64,
    /// Mean logarithm of the observed paces, and when the last one was observed.
    measured: Option<(Instant, f64)>,
}

impl Record {
    fn new(now: Instant, statement: Statement, source: Source) -> Record {
        Record {
            source,
            unchanged_since: now,
            notable_at: statement.is_notable().then_some(statement.stated_at),
            unconfirmed_since: (!statement.is_usual()).then_some(now),
            credit: 1.0,
            measured: None,
            statement,
        }
    }

    fn update(&mut self, now: Instant, statement: Statement, source: Source) {
        if statement.is_usual() != self.statement.is_usual() {
            self.unchanged_since = now;
        }
        match statement.is_usual() {
            true => self.unconfirmed_since = None,
            false => _ = self.unconfirmed_since.get_or_insert(now),
        }
        if statement.is_notable() {
            self.notable_at = Some(statement.stated_at);
        }
        self.statement = statement;
        self.source = source;
    }

    fn measure(&mut self, now: Instant, log_pace: f64) {
        let known = self.measured.map_or(0.0, |(at, it)| it * weight(now, at));
        self.measured = Some((now, (known + log_pace) / 2.0));
    }

    /// Adjusts the credit of the statements by a measurement.
    fn judge(&mut self, now: Instant, log_pace: f64) {
        let stated = self.statement.log_pace();
        match (stated - log_pace).abs() < MAX_DISAGREEMENT.ln() {
            _ if stated == 0.0 && log_pace == 0.0 => {}
            true => {
                self.credit += (1.0 - self.credit) * CREDIT_STEP;
                self.unconfirmed_since = (!self.statement.is_usual()).then_some(now);
            }
            false => self.credit *= 1.0 - CREDIT_STEP,
        }
    }

    fn pace(&self, now: Instant) -> f64 {
        let is_unconfirmed =
            self.unconfirmed_since.is_some_and(|it| now.since(it) > MAX_UNCONFIRMED);
        let credit = if is_unconfirmed { 0.0 } else { self.credit };
        let stated_weight = credit * weight(now, self.statement.stated_at);
        let measured = self.measured.map_or(0.0, |(at, it)| it * weight(now, at));
        let log = stated_weight * self.statement.log_pace() + (1.0 - stated_weight) * measured;
        log.exp()
    }
}

/// Returns the weight of what was known at a time, from 1 to 0.
fn weight(now: Instant, at: Instant) -> f64 {
    0.5_f64.powf(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// The paces of all endpoints that state them.
#[value(default)]
pub struct Paces {
    records: IndexMap<NameHash, Record>,
}

impl Paces {
    /// Records what an endpoint has stated in a response to this instance.
    pub fn record(&mut self, now: Instant, endpoint: &str, load: ReportedLoad) {
        let Some(percent) = load.pace else { return };
        let ReportedLoad { running, waiting, .. } = load;
        let endpoint = NameHash::of(endpoint);
        let statement = Statement { endpoint, percent, running, waiting, stated_at: now };
        self.insert(now, statement, Source::Endpoint);
    }

    /// Records what a peer tells.
    pub fn record_report(&mut self, now: Instant, statement: Statement, source: Source) {
        self.insert(now, statement, source);
    }

    fn insert(&mut self, now: Instant, statement: Statement, source: Source) {
        let margin = if source == Source::Relay { MAX_TRANSIT } else { Duration::ZERO };
        match self.records.get_mut(&statement.endpoint) {
            Some(known) if known.statement.stated_at + margin >= statement.stated_at => {}
            Some(known) => known.update(now, statement, source),
            None => {
                self.records.insert(statement.endpoint, Record::new(now, statement, source));
            }
        }
    }

    /// Records how long a call took that did not wait behind others, relative to the usual time.
    ///
    /// A call during which the statements changed shows nothing about them.
    pub fn measure(&mut self, now: Instant, endpoint: &str, took: Duration, usual: Duration) {
        let Some(record) = self.records.get_mut(&NameHash::of(endpoint)) else { return };
        let pace = took.as_secs_f64() / usual.max(Duration::from_millis(1)).as_secs_f64();
        let pace = if pace <= MAX_USUAL_MEASUREMENT { 1.0 } else { pace.min(MAX_PACE) };
        record.measure(now, pace.ln());
        if record.unchanged_since + took <= now {
            record.judge(now, pace.ln());
        }
    }

    /// Returns the present duration of work at an endpoint, relative to the usual one.
    pub fn pace(&self, now: Instant, endpoint: &str) -> f64 {
        self.records.get(&NameHash::of(endpoint)).map_or(1.0, |it| it.pace(now))
    }

    /// Returns whether an endpoint states its pace.
    pub fn is_stated(&self, endpoint: &str) -> bool {
        self.records.contains_key(&NameHash::of(endpoint))
    }

    /// Returns the number of requests at an endpoint by its last statement; `None` if that is too old.
    pub fn queue(&self, now: Instant, endpoint: &str) -> Option<f64> {
        let Statement { running, waiting, stated_at, .. } =
            self.records.get(&NameHash::of(endpoint))?.statement;
        let is_recent = now.since(stated_at) < QUEUE_LIFETIME;
        is_recent.then(|| f64::from(running) + f64::from(waiting))
    }

    /// Returns the statements of some sources that other instances are to be told.
    pub fn statements(&self, now: Instant, sources: &[Source]) -> Vec<Statement> {
        let is_recent = |it: &Record| {
            let notable_for = it.notable_at.map(|at| now.since(at));
            now.since(it.statement.stated_at) < REPEAT_TIME
                && notable_for.is_some_and(|it| it < 2 * REPEAT_TIME)
        };
        let told = self.records.values().filter(|it| sources.contains(&it.source) && is_recent(it));
        let mut told: Vec<Statement> = told.map(|it| it.statement.clone()).collect();
        told.sort_unstable_by_key(|it| std::cmp::Reverse(it.stated_at));
        told.truncate(MAX_STATEMENTS);
        told
    }

    /// Forgets endpoints that no longer state their pace.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, it| now.since(it.statement.stated_at) < EXPIRY);
    }
}
