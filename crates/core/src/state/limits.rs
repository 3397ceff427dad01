//! Rights to spend: messages and ticks of the limiter, and the seats on the platform.

use std::{sync::Arc, time::Duration};

use serde_json::Value;
use siskinstile_wire::{
    Body,
    message::limit::{Fetch, Kind, Message, Seats},
};

use crate::{
    Effect, Instant,
    limit::{
        Borrower,
        seat::{Seat, Table},
    },
    member::Status,
    object::Name,
    request,
    store::{Answer, Call, Tag},
};

use super::{State, messages::Sender};

/// Kind of the object that holds the seats.
const SHARE: &str = "share";
/// Name of the object that holds the seats.
const SEATS: &str = "seats";
/// Time between two reads of the seats until they are known.
const SEATS_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which the seats are made although instances are missing.
const SEATS_WAIT: Duration = Duration::from_secs(10);

impl State {
    /// Takes a message on rights to spend.
    pub(super) fn limit_message(&mut self, now: Instant, from: &Sender, message: Message) {
        match message.kind {
            Some(Kind::Ask(ask)) => {
                let config = self.config.clone();
                let borrower = Borrower { name: from.name.clone(), incarnation: from.incarnation };
                if let Some(team) = config.set.teams.get(ask.team.as_str()) {
                    self.limits.ask(now, team, borrower, &ask);
                }
            }
            Some(Kind::Lend(lend)) => self.limits.lend(now, &from.name, &lend),
            Some(Kind::Fetch(Fetch {})) => self.tell_seats(&from.name),
            Some(Kind::Seats(seats)) => self.take_seats(now, seats.table.as_bytes()),
            None => {}
        }
    }

    /// Does what the limiter does from time to time.
    pub(super) fn limit_tick(&mut self, now: Instant) {
        self.limits.tick(now);
        if self.draining.is_some() {
            self.limits.leave();
        }
        let due = self.seats_read.is_none_or(|at| now.since(at) >= SEATS_INTERVAL);
        if self.limits.table().seats.is_empty() && due {
            self.seats_read = Some(now);
            self.read_seats(now);
        }
    }

    /// Sends the limiter's messages and goes on with the requests that it has decided.
    pub(super) fn settle_limits(&mut self, now: Instant) {
        for (wait, verdict) in self.limits.verdicts() {
            self.charged(now, request::Id(wait), verdict);
        }
        for message in self.limits.outgoing() {
            self.send(&message.to, Body::Limit(Message { kind: Some(message.kind) }));
        }
    }

    /// Asks the platform and the instances of the data centre for the seats.
    fn read_seats(&mut self, now: Instant) {
        let call = Call::Get { kind: SHARE.into(), name: SEATS.into() };
        self.emit(Effect::Store { tag: Tag::Seats, call });
        let own = self.settings.name.clone();
        let peers: Vec<Name> = self
            .members
            .ranked(&self.settings.datacentre, SEATS)
            .into_iter()
            .map(|it| it.name.clone())
            .filter(|name| *name != own)
            .collect();
        for peer in peers {
            let kind = Some(Kind::Fetch(Fetch {}));
            self.send(&peer, Body::Limit(Message { kind }));
        }
        self.seats_due = now.since(Instant::default()) >= SEATS_WAIT;
    }

    fn tell_seats(&mut self, to: &str) {
        if self.limits.table().seats.is_empty() {
            return;
        }
        let table = serde_json::to_string(&**self.limits.table()).unwrap_or_default();
        let kind = Some(Kind::Seats(Seats { table }));
        self.send(to, Body::Limit(Message { kind }));
    }

    fn take_seats(&mut self, now: Instant, bytes: &[u8]) {
        if let Ok(table) = serde_json::from_slice::<Table>(bytes) {
            self.limits.set_table(now, Arc::new(table));
        }
    }

    /// Takes the platform's answer on the seats; makes them if there are none yet.
    pub(super) fn seats_answered(&mut self, now: Instant, answer: Answer) {
        match answer {
            Answer::Object(object) => {
                let table = object.value.and_then(|it| serde_json::from_value::<Table>(it).ok());
                table.into_iter().for_each(|it| self.limits.set_table(now, Arc::new(it)));
            }
            Answer::Missing => {
                self.limits.note_no_table();
                self.make_seats();
            }
            _ => {}
        }
    }

    /// Writes the first table; the platform lets one instance do so, the others read it.
    fn make_seats(&mut self) {
        let seats: Vec<Seat> = self
            .members
            .iter()
            .filter(|it| it.state == Status::Live)
            .map(|it| Seat { name: it.name.clone(), datacentre: it.datacentre.clone() })
            .collect();
        let whole = seats.len() as u64 >= self.settings.fleet_size;
        if seats.is_empty() || !(whole || self.seats_due) {
            return;
        }
        let value = serde_json::to_value(Table::new(seats)).unwrap_or(Value::Null);
        let call = Call::Put { kind: SHARE.into(), name: SEATS.into(), value, if_version: Some(0) };
        self.emit(Effect::Store { tag: Tag::Seats, call });
    }
}
