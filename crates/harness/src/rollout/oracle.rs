//! What must hold of configurations in force, told from the operators' edits alone.

use indexmap::IndexMap;
use siskinstile_core::{
    Config, check,
    object::{Kind, Name, Set},
};

use super::{INSTANCES, Unused, instance};
use crate::world::{Store, World};

/// What was broken.
#[derive(Debug, Clone, PartialEq)]
pub enum Breach {
    /// An instance went back to an older generation.
    Reverted(Name),
    /// A set with errors is in force.
    Invalid(u64),
    /// A set is in force that the operators' objects never were, or older than one before.
    NotACut(u64),
    /// Two sets are in force under one generation.
    Forked(u64),
    /// The last valid set is not in force, long after it was written.
    Behind(Name),
}

/// The sets that the operators' objects have been, and those seen in force.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The objects after each edit; none where one could not be read.
    history: Vec<Option<Set>>,
    /// Sets by generation, with the place of each in the history.
    generations: IndexMap<u64, (usize, Set)>,
    in_force: IndexMap<Name, u64>,
}

impl Oracle {
    /// Notes the objects after an edit.
    pub fn edited(&mut self, store: &Store) {
        let mut set = Set::default();
        let mut readable = true;
        for kind in Kind::ALL {
            for object in store.of_kind(kind.as_str()) {
                let value = object.value.clone().unwrap_or_default();
                readable &= set.insert(kind, value).is_ok();
            }
        }
        self.history.push(readable.then_some(set));
    }

    /// Forgets what an instance had in force: it starts anew.
    pub fn forget(&mut self, name: &Name) {
        self.in_force.swap_remove(name);
    }

    /// Checks a configuration that an instance puts in force.
    pub fn adopted(&mut self, name: &Name, config: &Config) -> Result<(), Breach> {
        let generation = config.generation;
        match self.in_force.insert(name.clone(), generation) {
            Some(before) if before >= generation => return Err(Breach::Reverted(name.clone())),
            _ => {}
        }
        match self.generations.get(&generation) {
            Some((_, set)) if *set == config.set => return Ok(()),
            Some(_) => return Err(Breach::Forked(generation)),
            None => {}
        }
        let earlier = self.generations.iter().filter(|it| *it.0 < generation);
        let start = earlier.map(|it| it.1.0).max().unwrap_or(0);
        let same = |it: &Option<Set>| it.as_ref() == Some(&config.set);
        match self.history[start..].iter().position(same) {
            Some(_) if !check::check(&config.set).is_empty() => Err(Breach::Invalid(generation)),
            Some(place) => {
                self.generations.insert(generation, (start + place, config.set.clone()));
                Ok(())
            }
            None => Err(Breach::NotACut(generation)),
        }
    }

    /// Checks that every instance has what it should, after a time without faults.
    pub fn settled(&self, world: &World<Unused>) -> Result<(), Breach> {
        let Some(Some(last)) = self.history.last() else { return Ok(()) };
        let valid = check::check(last).is_empty();
        let published = self.generations.keys().max().copied().unwrap_or(0);
        for name in (0..INSTANCES).map(instance) {
            let Some(state) = world.state(&name) else { continue };
            let config = state.config();
            let behind = match valid {
                true => config.set != *last,
                false => config.generation != published,
            };
            if behind {
                return Err(Breach::Behind(name));
            }
        }
        Ok(())
    }
}
