//! Fault injection: failures that tests switch on and off while a fake runs.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

/// The injected faults of one fake; clones share them.
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
    drops: Vec<Rule<()>>,
    refusals: Vec<Rule<u16>>,
    /// Tokens after which a stream breaks, and the number of streams that it applies to.
    stream_breaks: Vec<(u64, u64)>,
    drop_events: bool,
    event_delay: Duration,
    /// Number of connections accepted so far, which is also the number of the next one.
    connections: u64,
    /// Connections with a lower number are muted.
    muted_below: u64,
    closed: bool,
}

/// An action for the next `remaining` calls whose path begins with `prefix`.
#[derive(Debug)]
struct Rule<T> {
    prefix: String,
    remaining: u64,
    action: T,
}

impl Faults {
    /// Sets the delay of each answer, in milliseconds; 0 for none.
    pub fn set_delay_ms(&self, ms: u64) {
        self.state().delay = Duration::from_millis(ms);
    }

    /// While set, holds back every answer; the calls themselves still take effect.
    pub fn set_stall(&self, stalled: bool) {
        self.state().stalled = stalled;
        self.shared.changed.notify_all();
    }

    /// Executes the next `count` calls whose path begins with `prefix`, but closes their
    /// connections without an answer.
    pub fn drop_answers(&self, prefix: &str, count: u64) {
        self.state().drops.push(Rule { prefix: prefix.into(), remaining: count, action: () });
    }

    /// Answers the next `count` calls whose path begins with `prefix` with `status`, without
    /// executing them.
    pub fn refuse(&self, prefix: &str, count: u64, status: u16) {
        self.state().refusals.push(Rule {
            prefix: prefix.into(),
            remaining: count,
            action: status,
        });
    }

    /// Permanently stops sending on the connections that are open now, but keeps them open.
    ///
    /// Later connections are not affected.
    pub fn mute_connections(&self) {
        let mut state = self.state();
        state.muted_below = state.connections;
    }

    /// Closes each of the next `streams` decode streams after `tokens` tokens.
    pub fn break_streams_after(&self, tokens: u64, streams: u64) {
        self.state().stream_breaks.push((tokens, streams));
    }

    /// While set, cache events are lost, which leaves gaps in the sequence numbers.
    pub fn set_drop_events(&self, drop: bool) {
        self.state().drop_events = drop;
    }

    /// Sets the age from which cache events are reported, in milliseconds.
    pub fn set_event_delay_ms(&self, ms: u64) {
        self.state().event_delay = Duration::from_millis(ms);
    }

    pub(crate) fn drops_events(&self) -> bool {
        self.state().drop_events
    }

    pub(crate) fn event_delay(&self) -> Duration {
        self.state().event_delay
    }

    /// Returns the number of a new connection, counted from 0.
    pub(crate) fn register_connection(&self) -> u64 {
        let mut state = self.state();
        state.connections += 1;
        state.connections - 1
    }

    pub(crate) fn is_muted(&self, connection: u64) -> bool {
        connection < self.state().muted_below
    }

    pub(crate) fn take_drop(&self, path: &str) -> bool {
        take_action(&mut self.state().drops, path).is_some()
    }

    pub(crate) fn take_refusal(&self, path: &str) -> Option<u16> {
        take_action(&mut self.state().refusals, path)
    }

    /// Returns the number of tokens after which a stream that starts now breaks, if any.
    pub(crate) fn take_break(&self) -> Option<u64> {
        let mut state = self.state();
        state.stream_breaks.retain(|(_, streams)| *streams > 0);
        let (tokens, streams) = state.stream_breaks.first_mut()?;
        *streams -= 1;
        Some(*tokens)
    }

    /// Waits for the delay and the end of a stall; returns whether the fake is still running.
    pub(crate) fn wait_before_answer(&self) -> bool {
        let state = self.state();
        let delay = state.delay;
        let (state, _) = self
            .shared
            .changed
            .wait_timeout_while(state, delay, |state| !state.closed)
            .expect("lock poisoned");
        let state = self
            .shared
            .changed
            .wait_while(state, |state| state.stalled && !state.closed)
            .expect("lock poisoned");
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
        self.shared.state.lock().expect("lock poisoned")
    }
}

/// Returns the action of the first rule that matches the path and counts the call against it.
fn take_action<T: Copy>(rules: &mut Vec<Rule<T>>, path: &str) -> Option<T> {
    rules.retain(|it| it.remaining > 0);
    let rule = rules.iter_mut().find(|it| path.starts_with(&it.prefix))?;
    rule.remaining -= 1;
    Some(rule.action)
}
