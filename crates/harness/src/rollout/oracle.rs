//! Invariants of the configurations in force, derived from the operators' edits alone.

use indexmap::IndexMap;
use siskinstile_core::{
    Config, check,
    object::{Kind, Name, Set},
};

use super::{INSTANCES, NoEndpoints, instance};
use crate::world::{Store, World};

/// A violated invariant; the variants are printed in reports.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// An instance adopted a generation that is not newer than its previous one.
    Reverted(Name),
    /// The set of this generation is in force although it fails the check.
    Invalid(u64),
    /// The set of this generation is not a snapshot of the operators' objects, or is older than the
    /// snapshot of a lower generation.
    NotACut(u64),
    /// Two different sets are in force under this generation.
    Forked(u64),
    /// The last valid set is still not in force at an instance after the time without faults.
    Behind(Name),
}

/// History of the operators' objects, and the sets observed in force.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The set after each edit; none where an object could not be parsed.
    history: Vec<Option<Set>>,
    /// Sets in force by generation, each with its index in the history.
    generations: IndexMap<u64, (usize, Set)>,
    /// Generation in force at each instance.
    in_force: IndexMap<Name, u64>,
}

impl Oracle {
    /// Records the objects after an edit.
    pub fn record_edit(&mut self, store: &Store) {
        let mut set = Set::default();
        let mut is_readable = true;
        for kind in Kind::ALL {
            for object in store.of_kind(kind.as_str()) {
                let value = object.value.clone().unwrap_or_default();
                is_readable &= set.insert(kind, value).is_ok();
            }
        }
        self.history.push(is_readable.then_some(set));
    }

    /// Discards the generation that an instance had in force, since it restarts.
    pub fn reset_instance(&mut self, name: &Name) {
        self.in_force.swap_remove(name);
    }

    /// Checks a configuration that an instance adopts against the history of the objects.
    ///
    /// # Errors
    ///
    /// Returns the invariant that the configuration violates.
    pub fn check_adopted(&mut self, name: &Name, config: &Config) -> Result<(), Violation> {
        let generation = config.generation;
        match self.in_force.insert(name.clone(), generation) {
            Some(last) if last >= generation => return Err(Violation::Reverted(name.clone())),
            _ => {}
        }
        match self.generations.get(&generation) {
            Some((_, set)) if *set == config.set => return Ok(()),
            Some(_) => return Err(Violation::Forked(generation)),
            None => {}
        }
        let older = self.generations.iter().filter(|it| *it.0 < generation);
        let start = older.map(|it| it.1.0).max().unwrap_or(0);
        let is_same = |it: &Option<Set>| it.as_ref() == Some(&config.set);
        match self.history[start..].iter().position(is_same) {
            Some(_) if !check::check(&config.set).is_empty() => Err(Violation::Invalid(generation)),
            Some(offset) => {
                self.generations.insert(generation, (start + offset, config.set.clone()));
                Ok(())
            }
            None => Err(Violation::NotACut(generation)),
        }
    }

    /// Checks that every live instance has the expected set in force, after a time without faults:
    /// the last one if it is valid, or else the newest generation that any instance has adopted.
    /// Nothing is checked if an object of the last set cannot be parsed.
    ///
    /// # Errors
    ///
    /// Returns [`Violation::Behind`] with the first instance that has another set in force.
    pub fn check_settled(&self, world: &World<NoEndpoints>) -> Result<(), Violation> {
        let Some(Some(last)) = self.history.last() else { return Ok(()) };
        let is_valid = check::check(last).is_empty();
        let newest = self.generations.keys().max().copied().unwrap_or(0);
        for name in (0..INSTANCES).map(instance) {
            let Some(state) = world.state(&name) else { continue };
            let config = state.config();
            let is_behind = match is_valid {
                true => config.set != *last,
                false => config.generation != newest,
            };
            if is_behind {
                return Err(Violation::Behind(name));
            }
        }
        Ok(())
    }
}
