//! What operators and the surroundings do, as drawn by proptest.

use proptest::prelude::*;
use serde_json::json;
use siskinstile_core::{object::Kind, store::Call};

use super::{DATACENTRES, INSTANCES};
use crate::world::Store;

/// Teams and keys that edits touch.
const OBJECTS: usize = 5;

/// One action.
#[derive(Debug, Clone)]
pub enum Action {
    /// Lets time pass.
    Pass {
        /// Milliseconds.
        ms: u64,
    },
    /// An operator edits an object.
    Edit(Edit),
    /// A link fails or is mended.
    Cut {
        /// The link.
        cut: Cut,
        /// Whether it fails.
        on: bool,
    },
    /// An instance dies.
    Kill(usize),
    /// An instance is replaced.
    Restart(usize),
    /// An instance stands still.
    Pause {
        /// The instance.
        index: usize,
        /// Milliseconds.
        ms: u64,
    },
    /// The platform's answers to an instance get lost.
    Loss {
        /// The instance.
        index: usize,
        /// Share of them.
        percent: u8,
    },
    /// The platform's answers to an instance come late.
    Slow {
        /// The instance.
        index: usize,
        /// Longest delay, in milliseconds.
        ms: u64,
    },
}

/// A link in one direction.
#[derive(Debug, Clone)]
pub enum Cut {
    /// From one data centre to another.
    Datacentres {
        /// The data centre that sends.
        from: usize,
        /// The data centre that hears nothing.
        to: usize,
    },
    /// Calls of a data centre to the platform.
    ToPlatform(usize),
    /// Answers of the platform to a data centre.
    FromPlatform(usize),
}

/// An edit of an object.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Changes the rate of a team.
    Rate {
        /// Which team.
        team: usize,
        /// Its rate; 0 is an error.
        rate: u64,
    },
    /// Withdraws or restores a key.
    Withdraw {
        /// Which key.
        key: usize,
        /// Whether it is withdrawn.
        withdrawn: bool,
    },
    /// Gives a key to a team, which may not exist.
    Owner {
        /// Which key.
        key: usize,
        /// Which team; one beyond the last does not exist.
        team: usize,
    },
}

impl Edit {
    /// Returns the write, if its object exists.
    pub fn call(&self, store: &Store) -> Option<Call> {
        let names = |kind: Kind| {
            let mut names: Vec<_> = store.of_kind(kind.as_str()).map(|it| &it.name).collect();
            names.sort_unstable();
            names
        };
        let nth = |kind: Kind, index: usize| names(kind).get(index).map(|it| (*it).clone());
        let (kind, name, field, new) = match self {
            Edit::Rate { team, rate } => (Kind::Team, nth(Kind::Team, *team)?, "rate", json!(rate)),
            Edit::Withdraw { key, withdrawn } => {
                (Kind::Key, nth(Kind::Key, *key)?, "withdrawn", json!(withdrawn))
            }
            Edit::Owner { key, team } => {
                let owner = nth(Kind::Team, *team).unwrap_or_else(|| "nobody".into());
                (Kind::Key, nth(Kind::Key, *key)?, "team", json!(owner))
            }
        };
        let mut value = store.get(kind.as_str(), &name)?.value.clone()?;
        value[field] = new;
        Some(Call::Put { kind: kind.as_str().into(), name, value, if_version: None })
    }
}

/// Returns sequences of actions.
pub fn actions() -> impl Strategy<Value = Vec<Action>> {
    let edit = prop_oneof![
        4 => (0..OBJECTS, 1_u64..2_000).prop_map(|(team, rate)| Edit::Rate { team, rate }),
        1 => (0..OBJECTS).prop_map(|team| Edit::Rate { team, rate: 0 }),
        4 => (0..OBJECTS, any::<bool>())
            .prop_map(|(key, withdrawn)| Edit::Withdraw { key, withdrawn }),
        2 => (0..OBJECTS, 0..=OBJECTS).prop_map(|(key, team)| Edit::Owner { key, team }),
    ];
    let cut = prop_oneof![
        (0..DATACENTRES, 0..DATACENTRES).prop_map(|(from, to)| Cut::Datacentres { from, to }),
        (0..DATACENTRES).prop_map(Cut::ToPlatform),
        (0..DATACENTRES).prop_map(Cut::FromPlatform),
    ];
    let action = prop_oneof![
        8 => prop_oneof![1_u64..50, 50_u64..3_000].prop_map(|ms| Action::Pass { ms }),
        10 => edit.prop_map(Action::Edit),
        4 => (cut, any::<bool>()).prop_map(|(cut, on)| Action::Cut { cut, on }),
        1 => (0..INSTANCES).prop_map(Action::Kill),
        1 => (0..INSTANCES).prop_map(Action::Restart),
        2 => (0..INSTANCES, 100_u64..15_000)
            .prop_map(|(index, ms)| Action::Pause { index, ms }),
        3 => (0..INSTANCES, 2_u64..2_000).prop_map(|(index, ms)| Action::Slow { index, ms }),
        2 => (0..INSTANCES, 0_u8..60).prop_map(|(index, percent)| Action::Loss { index, percent }),
    ];
    prop::collection::vec(action, 20..80)
}
