//! Faults of calls, and reports of outcomes with the effects of these faults.

use std::time::Duration;

use rand::RngExt as _;
use siskinstile_core::{
    Instant,
    request::{Outcome, Report},
};

use super::{Item, Model};
use crate::world::EndpointCall;

/// Fault that is drawn for a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    None,
    RequestLost,
    ResponseLost,
    Unresponsive,
    Delayed,
    Duplicated,
}

impl Model {
    pub(super) fn random_fault(&mut self) -> Fault {
        match self.rng.random_range(0..100) {
            n if n >= self.fault_percent => Fault::None,
            _ => {
                let faults = [
                    Fault::RequestLost,
                    Fault::ResponseLost,
                    Fault::Unresponsive,
                    Fault::Delayed,
                    Fault::Duplicated,
                ];
                faults[self.rng.random_range(0..faults.len())]
            }
        }
    }

    pub(super) fn report(&mut self, at: Instant, call: &EndpointCall, outcome: Outcome) {
        let report = Report { request: call.request, attempt: call.attempt, outcome };
        self.push(at, Item::Report(call.instance.clone(), report));
    }

    pub(super) fn report_failure(&mut self, at: Instant, call: &EndpointCall, sent: bool) {
        let next_index = self.relays.get(&call.request).map_or(0, |it| it.splice.next_index());
        self.report(at, call, Outcome::Failed { sent, next_index, ended: false });
    }

    /// Reports the outcome of a call with the effects of its fault.
    pub(super) fn report_outcome(
        &mut self,
        now: Instant,
        call: &EndpointCall,
        fault: Fault,
        outcome: Outcome,
    ) {
        let answer_at = now + Duration::from_millis(1) + self.random_millis(5);
        match fault {
            Fault::Unresponsive => {}
            Fault::RequestLost => {
                let at = now + self.random_millis(2_000);
                self.report_failure(at, call, true);
            }
            // The failure is reported first and the answer up to 1 s later, when the next attempt
            // may be running.
            Fault::ResponseLost => {
                let at = now + self.random_millis(1_000);
                let late_at = at + self.random_millis(1_000);
                self.report_failure(at, call, true);
                self.report(late_at, call, outcome);
            }
            Fault::Delayed => {
                let at = now + self.random_millis(15_000);
                self.report(at, call, outcome);
            }
            Fault::Duplicated => {
                let at = answer_at + self.random_millis(3_000);
                self.report(answer_at, call, outcome.clone());
                self.report(at, call, outcome);
            }
            Fault::None => self.report(answer_at, call, outcome),
        }
    }
}
