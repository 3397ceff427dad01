//! The list of members on the platform's store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde_json::{Value, json};
use siskinstile_gateway::{
    Event, Name,
    record::{self, Record},
};
use tokio::time;

use super::{Follower, LONGEST_PAUSE};
use crate::{
    peers,
    store::{Answer, Call, Kind, Object},
};

/// Time between two lists of the members.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two lists of the members at an instance that learns the rest from its peers.
const MEMBERS_INTERVAL_HEARD: Duration = Duration::from_secs(60);

/// What an instance enters in the list of members.
#[derive(Debug)]
pub struct Member {
    /// Address for messages of other instances.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub datacentre: Name,
    /// Whether the whole fleet starts for the first time, when nothing is listed.
    pub first_start: bool,
}

impl Follower {
    /// Enters this instance in the list of members and follows that list.
    pub async fn join(self: Rc<Follower>, name: Name, member: Member, book: Rc<peers::Book>) {
        let Member { address, datacentre, first_start } = member;
        let value = json!({ "address": address.to_string(), "datacentre": datacentre });
        let mut entered = first_start && self.enter(&name, &value).await;
        // Of two instances that start for the first time the one that lists later has to see the other.
        let mut stale = !first_start;
        loop {
            let listed = self.list_all(Kind::Members, stale).await;
            stale = true;
            if let Ok((members, _)) = &listed {
                // After a restart the entry mostly is there as it should be.
                entered |= members.iter().any(|it| it.name == name && it.value == value);
                self.learn_members(members, &name, &book);
            }
            entered = entered || self.enter(&name, &value).await;
            let pause = match entered && listed.is_ok() {
                false => LONGEST_PAUSE,
                true if self.turn().is_some() => MEMBERS_INTERVAL,
                true => MEMBERS_INTERVAL_HEARD,
            };
            time::sleep(pause).await;
        }
    }

    async fn enter(&self, name: &Name, value: &Value) -> bool {
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

    fn learn_members(&self, members: &[Object], own: &Name, book: &peers::Book) {
        for member in members.iter().filter(|it| it.name != *own) {
            match member.value["address"].as_str().and_then(|it| it.parse().ok()) {
                Some(address) => {
                    let datacentre = member.value["datacentre"].as_str().unwrap_or_default();
                    book.learn(&member.name, address, datacentre);
                }
                None => {
                    let line = Record::new(record::ENTRY_UNREADABLE).with("entry", &*member.name);
                    self.control.logger.write(&line);
                }
            }
        }
        self.control.post(Event::Members(members.len()));
    }

    /// Takes this instance out of the list of members.
    pub async fn leave(&self, name: Name) {
        // One that stays listed is taken for silent by its peers.
        let _ = self.call(&Call::Delete { kind: Kind::Members, name }).await;
    }
}
