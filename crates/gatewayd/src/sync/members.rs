//! The list of members on the platform's store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde_json::{Value, json};
use siskinstile_gateway::{
    Event, Name,
    contact::MAX_BACKOFF,
    record::{self, Record},
};
use tokio::time;

use super::{Follower, list::Listing};
use crate::{
    control::Phase,
    peers,
    store::{Answer, Call, Kind, Object},
};

/// Time between two lists of the members at an instance that follows the store.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two lists of the members at an instance that gets configuration and endpoints from
/// its peers.
const RELAYED_LIST_INTERVAL: Duration = Duration::from_secs(60);

/// The entry of an instance in the list of members.
#[derive(Debug)]
pub struct Member {
    /// Address for messages from other instances.
    pub address: SocketAddr,
    /// Name of the instance's data centre.
    pub datacentre: Name,
    /// Whether the whole fleet starts for the first time, so that no members are listed yet.
    pub first_start: bool,
}

impl Follower {
    /// Registers this instance in the list of members, then lists the members periodically, until a
    /// graceful shutdown removes it.
    pub async fn join(
        self: Rc<Follower>,
        name: Name,
        member: Member,
        addresses: Rc<peers::Addresses>,
    ) {
        let Member { address, datacentre, first_start } = member;
        let value = json!({ "address": address.to_string(), "datacentre": datacentre });
        let mut is_registered = first_start && self.register(&name, &value).await;
        // At a first start the list must be current: of two instances that start together, the one
        // that lists later has to find the other's entry.
        let mut accept_stale = !first_start;
        let mut era = self.era();
        let mut renewals = self.renewals.subscribe();
        loop {
            if self.control.phase() == Phase::Stopped {
                return;
            }
            let result = self.list_all(Kind::Members, accept_stale).await;
            accept_stale = true;
            if result.is_ok() {
                renewals.mark_unchanged();
            }
            if let Ok(Listing { objects, .. }) = &result {
                self.has_members.set(true);
                // After a restart the entry usually exists already and needs no write.
                is_registered |= objects.iter().any(|it| it.name == name && it.value == value);
                self.apply_members(objects, &name, &addresses);
            }
            is_registered = is_registered || self.register(&name, &value).await;
            let is_complete = is_registered && result.is_ok();
            let interval = match is_complete {
                false => MAX_BACKOFF,
                true if self.rank().is_some() => LIST_INTERVAL,
                true => RELAYED_LIST_INTERVAL,
            };
            tokio::select! {
                () = time::sleep(interval) => {}
                // Members may have come or left during an outage.
                _ = renewals.changed(), if !is_complete || self.rank().is_some() => {}
                // The restored copy may lack this instance's entry, or have an earlier one.
                new_era = self.era_after(era) => {
                    is_registered &= era.is_none();
                    accept_stale &= era.is_none();
                    era = new_era;
                }
            }
        }
    }

    async fn register(&self, name: &Name, value: &Value) -> bool {
        let (kind, name, value) = (Kind::Members, name.clone(), value.clone());
        match self.call(&Call::Create { kind, name: name.clone(), value: value.clone() }).await {
            Ok(Answer::Object(_)) => true,
            Ok(Answer::Conflict(_)) => {
                let call = Call::Replace { kind, name, revision: None, value };
                self.call(&call).await.is_ok()
            }
            _ => false,
        }
    }

    fn apply_members(&self, members: &[Object], own: &Name, addresses: &peers::Addresses) {
        let listed: Vec<(Name, SocketAddr, Name)> =
            members.iter().filter_map(|it| self.read_member(it)).collect();
        let names = listed.iter().map(|(name, _, datacentre)| (name.clone(), datacentre.clone()));
        let names = names.collect();
        addresses.set_listed(listed.into_iter().filter(|(name, ..)| name != own));
        self.control.post(Event::Members(names));
    }

    /// Parses a member's entry: its name, address and data centre.
    fn read_member(&self, member: &Object) -> Option<(Name, SocketAddr, Name)> {
        let address = member.value["address"].as_str().and_then(|it| it.parse().ok());
        let datacentre = member.value["datacentre"].as_str().unwrap_or_default();
        if address.is_none() {
            let line = Record::new(record::ENTRY_UNREADABLE).with("entry", &*member.name);
            self.control.logger.write(&line);
        }
        Some((member.name.clone(), address?, datacentre.into()))
    }

    /// Removes this instance from the list of members.
    pub async fn leave(&self, name: Name) {
        // If the entry remains, the peers detect the instance as failed by its missing heartbeats.
        let _ = self.call(&Call::Delete { kind: Kind::Members, name }).await;
    }
}
