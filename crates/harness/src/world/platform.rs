//! Calls of instances to the platform's store, and its answers.

use std::time::Duration;

use siskinstile_core::{
    Event, Instant,
    object::Name,
    store::{Answer, Call, Tag},
};

use super::{Endpoints, World, queue::Item};

/// Name of the platform's end of a link, where other ends have the name of an instance.
pub const PLATFORM: &str = "platform";
/// Time from the loss of a platform call, or of its answer, on a link until the instance receives
/// [`Answer::Lost`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a watch of objects that have not changed gets an empty answer.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// A watch of the platform's objects that has not been answered yet.
pub(super) struct Watch {
    pub(super) instance: Name,
    incarnation: u64,
    tag: Tag,
    kinds: Vec<Name>,
    /// Revision after which changes are reported.
    since: u64,
    /// Time at which the watch gets an empty answer.
    deadline: Instant,
}

impl<E: Endpoints> World<E> {
    /// Changes an object as an operator does, without crossing a link, and answers the watches that
    /// the change concerns.
    pub fn edit(&mut self, call: &Call) -> Answer {
        let answer = self.store.call(call);
        self.answer_watches();
        answer
    }

    pub(super) fn report_lost(&mut self, to: Name, incarnation: u64, tag: Tag) {
        let event = Event::StoreAnswered { tag, answer: Answer::Lost };
        self.schedule(self.now + CALL_TIMEOUT, Item::Event { to, incarnation, event });
    }

    pub(super) fn call_store(&mut self, from: Name, incarnation: u64, tag: Tag, call: Call) {
        if let Call::Watch { kinds, since } = call {
            self.store.calls += 1;
            let deadline = self.now + WATCH_TIMEOUT;
            self.watches.push(Watch { instance: from, incarnation, tag, kinds, since, deadline });
            self.schedule(deadline, Item::WatchTimeout);
            return self.answer_watches();
        }
        let answer = self.store.call(&call);
        self.send_answer(from, incarnation, tag, answer);
        self.answer_watches();
    }

    fn send_answer(&mut self, to: Name, incarnation: u64, tag: Tag, answer: Answer) {
        match self.links.arrivals(self.now, &mut self.rng, PLATFORM, &to).first() {
            Some(at) => {
                let event = Event::StoreAnswered { tag, answer };
                self.schedule(*at, Item::Event { to, incarnation, event });
            }
            None => self.report_lost(to, incarnation, tag),
        }
    }

    /// Answers the watches that have events or have timed out.
    pub(super) fn answer_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            match self.store.events(&watch.kinds, watch.since) {
                Answer::Objects { objects, .. }
                    if objects.is_empty() && watch.deadline > self.now =>
                {
                    self.watches.push(watch);
                }
                answer => self.send_answer(watch.instance, watch.incarnation, watch.tag, answer),
            }
        }
    }
}
