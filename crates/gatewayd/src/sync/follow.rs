//! Lists and watches of a kind on the platform's store.

use std::{rc::Rc, time::Duration};

use siskinstile_gateway::{
    Instant,
    contact::Read,
    record::{self, Record},
};
use tokio::time;

use super::{Follower, POLL_INTERVAL, list::Listing};
use crate::store::{Answer, Call, Fault, Kind};

/// Longest wait of a watch; limits the time until a dead connection is detected.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Shortest time between the starts of two watches of a kind; batches bursts of changes.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a confirmation of a copy from which on its confirmation is logged; longer than a watch takes.
const MIN_LOGGED_AGE: Duration = Duration::from_millis(3_200);
/// Delay between consecutive ranks in trying to reach the store while no instance is in contact
/// with it.
const RANK_STEP: Duration = Duration::from_millis(200);

impl Follower {
    /// Lists and watches a kind until the process ends.
    pub async fn follow(self: Rc<Follower>, kind: Kind) {
        let mut can_watch = false;
        let mut rank_since = None;
        loop {
            let rank = match self.replica(kind).borrow().mirror.is_listed() {
                true => self.due_rank(&mut rank_since),
                false => Some(0),
            };
            // Peers forward the changes to an instance without a rank, and a later watch can resume from
            // their revision.
            can_watch |= rank.is_none();
            let now = self.control.now();
            let read = rank.and_then(|_| self.contact.borrow_mut().begin(now, &kind));
            let (Some(rank), Some(read)) = (rank, read) else {
                time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let result = match can_watch && self.is_in_era(kind) {
                true => self.watch(kind, read).await,
                false => self.list(kind).await,
            };
            match result {
                Ok(can_resume) => can_watch = can_resume,
                Err(Fault::GivenUp) => {}
                Err(_) => self.contact.borrow_mut().fail(self.control.now(), &kind, rank),
            }
        }
    }

    /// Brings the copy of a kind up to date with the store.
    pub(super) async fn refresh(&self, kind: Kind) -> Result<(), Fault> {
        let can_watch = self.replica(kind).borrow().mirror.is_listed() && self.is_in_era(kind);
        if !can_watch || !self.watch(kind, Read::Check).await? {
            self.list_current(kind).await?;
        }
        Ok(())
    }

    /// Records that the store has confirmed the copy of a kind.
    fn confirm(&self, kind: Kind) {
        let now = self.control.now();
        let age = self.contact.borrow().age(now, &kind).filter(|it| *it >= MIN_LOGGED_AGE);
        self.contact.borrow_mut().confirm(now, &kind);
        if let Some(age) = age {
            let line = Record::new(record::COPY_CONFIRMED)
                .with("kind", kind.as_str())
                .with("unconfirmed_ms", age.as_millis() as u64);
            self.control.logger.write(&line);
        }
    }

    /// Returns this instance's rank, or `None` if it must not call the store now.
    ///
    /// `since` holds the time at which this instance got a rank: instances with a lower rank try
    /// first.
    fn due_rank(&self, since: &mut Option<Instant>) -> Option<u32> {
        let Some(rank) = self.rank() else {
            *since = None;
            return None;
        };
        let now = self.control.now();
        let waited = now.since(*since.get_or_insert(now));
        (waited >= RANK_STEP * rank).then_some(rank)
    }

    /// Lists a kind; returns true, since a watch can resume from the revision of the list.
    ///
    /// The first list may be out of date, since that watch returns the later changes; but not that of
    /// evacuations, as an instance that has just started would call an evacuated data centre until then.
    async fn list(&self, kind: Kind) -> Result<bool, Fault> {
        let is_first = !self.replica(kind).borrow().mirror.is_listed();
        if !is_first || kind == Kind::Evacuations {
            self.list_current(kind).await?;
            return Ok(true);
        }
        self.copy_list(kind, true).await?;
        Ok(true)
    }

    /// Lists a kind as it is now.
    async fn list_current(&self, kind: Kind) -> Result<(), Fault> {
        self.copy_list(kind, false).await?;
        self.confirm(kind);
        Ok(())
    }

    /// Lists a kind and replaces the copy by the list.
    async fn copy_list(&self, kind: Kind, stale: bool) -> Result<(), Fault> {
        let Listing { objects, position, .. } = self.list_all(kind, stale).await?;
        let now = self.control.now();
        self.update(kind, |mirror| Some(mirror.replace(now, objects, position)));
        Ok(())
    }

    /// Reads the changes of a kind; returns whether another read can resume from the new position. One that
    /// began before an outage is given up when the store answers again.
    ///
    /// The watch ends with the era of the store: its revision may be given out again in the next
    /// one, so that it would miss changes without an error.
    async fn watch(&self, kind: Kind, read: Read) -> Result<bool, Fault> {
        let position = self.replica(kind).borrow().mirror.position();
        let follower_wait = self.control.read(|state| state.follower_watch_wait());
        let wait = match read {
            Read::Check => Duration::ZERO,
            Read::Wait => follower_wait.unwrap_or(WATCH_WAIT),
        };
        let next_watch = time::Instant::now() + MIN_WATCH_INTERVAL;
        let call = Call::Watch { kind, since: position.revision, wait };
        let mut era = self.era.subscribe();
        let answer = tokio::select! {
            biased;
            answer = self.call_until_renewed(&call) => answer?,
            // The sender is a field of `self`, so the wait cannot fail.
            _ = era.wait_for(|it| it.is_some_and(|it| it > position.era)) => return Ok(false),
        };
        match answer {
            Answer::Events { position: new, .. } if new.era != position.era => Ok(false),
            Answer::Events { events, position } => {
                let now = self.control.now();
                self.update(kind, |mirror| Some(mirror.apply(now, events, position)));
                self.confirm(kind);
                if read == Read::Wait {
                    time::sleep_until(next_watch).await;
                }
                Ok(true)
            }
            Answer::Compacted => Ok(false),
            _ => Err(Fault::Lost),
        }
    }

    /// Returns whether the copy of a kind reflects the era of the store.
    fn is_in_era(&self, kind: Kind) -> bool {
        let copy = self.replica(kind).borrow().mirror.position().era;
        self.era.borrow().is_none_or(|it| it == copy)
    }
}
