//! Faults that tests switch on and off while a stand-in runs.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

/// The faults of one stand-in; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    stalled: bool,
    lose: Vec<Limited<()>>,
    refuse: Vec<Limited<u16>>,
    breaks: Vec<(u64, u64)>,
    drop_events: bool,
    late_events: Duration,
    connections: u64,
    muted_below: u64,
    closed: bool,
}

/// An action for the next `left` calls whose path begins with `prefix`.
#[derive(Debug)]
struct Limited<T> {
    prefix: String,
    left: u64,
    action: T,
}

impl Faults {
    /// Delays each answer.
    pub fn set_delay_ms(&self, ms: u64) {
        self.state().delay = Duration::from_millis(ms);
    }

    /// Holds every answer back, after its effect, until called with `false`.
    pub fn set_stall(&self, stalled: bool) {
        self.state().stalled = stalled;
        self.shared.changed.notify_all();
    }

    /// Carries out the next `count` calls under `prefix` and closes their connections unanswered.
    pub fn drop_answers(&self, prefix: &str, count: u64) {
        self.state().lose.push(Limited { prefix: prefix.into(), left: count, action: () });
    }

    /// Refuses the next `count` calls under `prefix` with `status`, without effect.
    pub fn refuse(&self, prefix: &str, count: u64, status: u16) {
        self.state().refuse.push(Limited { prefix: prefix.into(), left: count, action: status });
    }

    /// Mutes the connections that are open now, for good; later ones work.
    pub fn mute_connections(&self) {
        let mut state = self.state();
        state.muted_below = state.connections;
    }

    /// Closes each of the next `streams` decode streams after it has sent `tokens` tokens.
    pub fn break_streams_after(&self, tokens: u64, streams: u64) {
        self.state().breaks.push((tokens, streams));
    }

    /// Leaves out cache events that arise while set; their sequence numbers are skipped.
    pub fn set_drop_events(&self, drop: bool) {
        self.state().drop_events = drop;
    }

    /// Shows cache events only when they are this old.
    pub fn set_event_delay_ms(&self, ms: u64) {
        self.state().late_events = Duration::from_millis(ms);
    }

    pub(crate) fn drops_events(&self) -> bool {
        self.state().drop_events
    }

    pub(crate) fn late_events(&self) -> Duration {
        self.state().late_events
    }

    /// Numbers a new connection.
    pub(crate) fn admit(&self) -> u64 {
        let mut state = self.state();
        state.connections += 1;
        state.connections - 1
    }

    pub(crate) fn is_muted(&self, connection: u64) -> bool {
        connection < self.state().muted_below
    }

    pub(crate) fn take_lost(&self, path: &str) -> bool {
        take(&mut self.state().lose, path).is_some()
    }

    pub(crate) fn take_refusal(&self, path: &str) -> Option<u16> {
        take(&mut self.state().refuse, path)
    }

    /// Returns the number of tokens after which a stream that starts now breaks.
    pub(crate) fn take_break(&self) -> Option<u64> {
        let mut state = self.state();
        state.breaks.retain(|(_, streams)| *streams > 0);
        let (tokens, streams) = state.breaks.first_mut()?;
        *streams -= 1;
        Some(*tokens)
    }

    /// Waits out the delay and the stall; returns whether the stand-in still runs.
    pub(crate) fn hold_answer(&self) -> bool {
        let state = self.state();
        let delay = state.delay;
        let (state, _) = self
            .shared
            .changed
            .wait_timeout_while(state, delay, |state| !state.closed)
            .expect("no holder panics");
        let state = self
            .shared
            .changed
            .wait_while(state, |state| state.stalled && !state.closed)
            .expect("no holder panics");
        !state.closed
    }

    pub(crate) fn close(&self) {
        self.state().closed = true;
        self.shared.changed.notify_all();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state().closed
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }
}

fn take<T: Copy>(list: &mut Vec<Limited<T>>, path: &str) -> Option<T> {
    list.retain(|it| it.left > 0);
    let it = list.iter_mut().find(|it| path.starts_with(&it.prefix))?;
    it.left -= 1;
    Some(it.action)
}
