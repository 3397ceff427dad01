//! Rate limits: messages and ticks of the limiter, and the participant table on the platform.

use std::{sync::Arc, time::Duration};

use serde_json::Value;
use siskinstile_wire::{
    Body,
    message::limit::{Fetch, Kind, Message, Participants},
};

use crate::{
    Effect, Instant,
    limit::{
        Borrower,
        participant::{Participant, Table},
    },
    member::Status,
    object::Name,
    request,
    store::{Answer, Call, Tag},
};

use super::{State, messages::Sender};

/// Kind of the object that holds the participant table.
const SHARE: &str = "share";
/// Name of the object that holds the participant table.
const PARTICIPANTS: &str = "seats";
/// Time between two reads of the participant table until it is known.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which the participant table is created although instances are missing.
const CREATE_TIMEOUT: Duration = Duration::from_secs(10);

impl State {
    /// Handles a message of another instance's limiter.
    pub(super) fn handle_limit_message(&mut self, now: Instant, from: &Sender, message: Message) {
        match message.kind {
            Some(Kind::Borrow(borrow)) => {
                let config = self.config.clone();
                let borrower = Borrower { name: from.name.clone(), incarnation: from.incarnation };
                if let Some(team) = config.set.teams.get(borrow.team.as_str()) {
                    self.limiter.handle_borrow(now, team, borrower, &borrow);
                }
            }
            Some(Kind::Lend(lend)) => self.limiter.handle_lend(now, &from.name, &lend),
            Some(Kind::Fetch(Fetch {})) => self.send_participants(&from.name),
            Some(Kind::Participants(it)) => self.set_participants(now, it.table.as_bytes()),
            None => {}
        }
    }

    /// Runs the limiter's periodic work and requests the participant table until it is known.
    pub(super) fn limit_tick(&mut self, now: Instant) {
        self.limiter.tick(now);
        if self.draining_since.is_some() {
            self.limiter.return_loans();
        }
        let due = self.participants_read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if self.limiter.table().participants.is_empty() && due {
            self.participants_read_at = Some(now);
            self.request_participants(now);
        }
    }

    /// Sends the limiter's messages and continues the requests that have a verdict.
    pub(super) fn flush_limiter(&mut self, now: Instant) {
        for (wait, verdict) in self.limiter.take_verdicts() {
            self.resume_charge(now, request::Id(wait), verdict);
        }
        for message in self.limiter.take_outgoing() {
            self.send(&message.to, Body::Limit(Message { kind: Some(message.kind) }));
        }
    }

    /// Requests the participant table from the platform and from the instances of the data centre.
    fn request_participants(&mut self, now: Instant) {
        let call = Call::Get { kind: SHARE.into(), name: PARTICIPANTS.into() };
        self.emit(Effect::Store { tag: Tag::Participants, call });
        let own = self.settings.name.clone();
        let peers: Vec<Name> = self
            .members
            .ranked(&self.settings.datacentre, PARTICIPANTS)
            .into_iter()
            .map(|it| it.name.clone())
            .filter(|name| *name != own)
            .collect();
        for peer in peers {
            let kind = Some(Kind::Fetch(Fetch {}));
            self.send(&peer, Body::Limit(Message { kind }));
        }
        self.participants_overdue = now.since(Instant::default()) >= CREATE_TIMEOUT;
    }

    fn send_participants(&mut self, to: &str) {
        if self.limiter.table().participants.is_empty() {
            return;
        }
        let table = serde_json::to_string(&**self.limiter.table()).unwrap_or_default();
        let kind = Some(Kind::Participants(Participants { table }));
        self.send(to, Body::Limit(Message { kind }));
    }

    fn set_participants(&mut self, now: Instant, bytes: &[u8]) {
        if let Ok(table) = serde_json::from_slice::<Table>(bytes) {
            self.limiter.set_table(now, Arc::new(table));
        }
    }

    /// Handles the platform's answer to a read of the participant table; creates the table if there
    /// is none.
    pub(super) fn participants_answered(&mut self, now: Instant, answer: Answer) {
        match answer {
            Answer::Object(object) => {
                let table = object.value.and_then(|it| serde_json::from_value::<Table>(it).ok());
                table.into_iter().for_each(|it| self.limiter.set_table(now, Arc::new(it)));
            }
            Answer::Missing => {
                self.limiter.mark_first_start();
                self.create_participants();
            }
            _ => {}
        }
    }

    /// Writes the first table. The conditional create succeeds at one instance only; the others
    /// read it.
    fn create_participants(&mut self) {
        let participants: Vec<Participant> = self
            .members
            .iter()
            .filter(|it| it.state == Status::Live)
            .map(|it| Participant { name: it.name.clone(), datacentre: it.datacentre.clone() })
            .collect();
        let complete = participants.len() as u64 >= self.settings.fleet_size;
        if participants.is_empty() || !(complete || self.participants_overdue) {
            return;
        }
        let value = serde_json::to_value(Table::new(participants)).unwrap_or(Value::Null);
        let call =
            Call::Put { kind: SHARE.into(), name: PARTICIPANTS.into(), value, if_version: Some(0) };
        self.emit(Effect::Store { tag: Tag::Participants, call });
    }
}
