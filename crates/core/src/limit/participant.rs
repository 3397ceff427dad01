//! The participants among which every team's rate and burst are divided.
//!
//! A participant belongs to the name of an instance. The table is an object on the platform, made once by
//! conditional create and changed by conditional update only; every instance that knows it computes
//! the same parts from it. Their sum is at most the whole.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{member::rank, object::Name};

/// The whole of a rate or burst, in millionths.
pub const WHOLE_PPM: u64 = 1_000_000;
/// Homes of a team in each data centre.
pub const OWNERS_PER_DATACENTRE: usize = 2;
/// Most data centres among which the whole is divided evenly.
const EVEN_DATACENTRES: usize = 4;
/// With more data centres, the part that stays divided evenly as their floors.
const FLOOR_PPM: u64 = 400_000;
/// Homes that share what is not a floor.
const MAIN_OWNERS: usize = 2;

/// One instance's participant.
#[value(serde, eq)]
pub struct Participant {
    /// Name of the instance.
    pub name: Name,
    /// Name of its data centre.
    pub datacentre: Name,
}

/// The participants of the fleet.
#[value(serde, default)]
pub struct Table {
    /// The participants, in order of name.
    #[serde(rename = "seats")]
    pub participants: Vec<Participant>,
}

/// A holder of a part of a team's rights.
#[value(eq)]
pub struct Owner {
    /// Its participant.
    pub participant: Participant,
    /// Its part, in millionths.
    pub ppm: u64,
}

impl Table {
    /// Creates the table of the instances that are there at the first start.
    pub fn new(mut participants: Vec<Participant>) -> Table {
        participants.sort_by(|a, b| a.name.cmp(&b.name));
        Table { participants }
    }

    /// Returns the owners of a team with their parts.
    pub fn owners(&self, team: &str) -> Vec<Owner> {
        let mut ranked: Vec<&Participant> = self.participants.iter().collect();
        ranked.sort_by_cached_key(|it| std::cmp::Reverse((rank(&it.name, team), it.name.clone())));
        let mut by_datacentre: IndexMap<&str, Vec<&Participant>> = IndexMap::new();
        for participant in &ranked {
            by_datacentre.entry(&participant.datacentre).or_default().push(participant);
        }
        let count = by_datacentre.len();
        let floor = if count <= EVEN_DATACENTRES { WHOLE_PPM } else { FLOOR_PPM };
        let mut owners = Vec::new();
        for participants in by_datacentre.into_values() {
            let chosen = participants.len().min(OWNERS_PER_DATACENTRE);
            let ppm = floor / (count * chosen) as u64;
            owners.extend(
                participants[..chosen].iter().map(|it| Owner { participant: (*it).clone(), ppm }),
            );
        }
        add_main(&mut owners, &ranked, WHOLE_PPM - floor);
        owners
    }
}

/// Adds the part that is no floor to the first owners.
fn add_main(owners: &mut [Owner], ranked: &[&Participant], ppm: u64) {
    let mains = ranked.len().min(MAIN_OWNERS);
    for participant in &ranked[..mains] {
        if let Some(owner) = owners.iter_mut().find(|it| it.participant == **participant) {
            owner.ppm += ppm / mains as u64;
        }
    }
}
