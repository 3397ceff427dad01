//! The participants among which each team's rate and burst are divided.
//!
//! A participant is identified by an instance name. The table is an object on the platform. It is
//! created once, by a conditional create, and changes only by conditional updates. Every instance
//! that has read it computes the same shares from it. The shares of a team add up to at most its
//! full rate and burst.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{member::rank, object::Name};

/// The full rate or burst of a team, in millionths.
pub const WHOLE_PPM: u64 = 1_000_000;
/// Number of owners of a team in each data centre.
pub const OWNERS_PER_DATACENTRE: usize = 2;
/// Largest number of data centres among which a full rate is divided evenly.
const EVEN_DATACENTRES: usize = 4;
/// Part that is divided evenly among more than [`EVEN_DATACENTRES`], in millionths.
const FLOOR_PPM: u64 = 400_000;
/// Number of owners that divide the remainder among them.
const MAIN_OWNERS: usize = 2;

/// An instance that takes part in the division of rates.
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
    /// The participants, ordered by name.
    #[serde(rename = "seats")]
    pub participants: Vec<Participant>,
}

/// A participant that owns a share of a team's rate and burst.
#[value(eq)]
pub struct Owner {
    /// The participant that owns the share.
    pub participant: Participant,
    /// Share of the rate and burst, in millionths.
    pub ppm: u64,
}

impl Table {
    /// Creates the table for the instances that exist at the first start of the fleet.
    pub fn new(mut participants: Vec<Participant>) -> Table {
        participants.sort_by(|a, b| a.name.cmp(&b.name));
        Table { participants }
    }

    /// Returns the owners of a team with their shares.
    pub fn owners(&self, team: &str) -> Vec<Owner> {
        let mut ranked: Vec<&Participant> = self.participants.iter().collect();
        ranked.sort_by_cached_key(|it| std::cmp::Reverse((rank(&it.name, team), it.name.clone())));
        let mut by_datacentre: IndexMap<&str, Vec<&Participant>> = IndexMap::new();
        for participant in &ranked {
            by_datacentre.entry(&participant.datacentre).or_default().push(participant);
        }
        let count = by_datacentre.len();
        let floor_ppm = if count <= EVEN_DATACENTRES { WHOLE_PPM } else { FLOOR_PPM };
        let mut owners = Vec::new();
        for participants in by_datacentre.into_values() {
            let chosen = participants.len().min(OWNERS_PER_DATACENTRE);
            let ppm = floor_ppm / (count * chosen) as u64;
            owners.extend(
                participants[..chosen].iter().map(|it| Owner { participant: (*it).clone(), ppm }),
            );
        }
        add_main_shares(&mut owners, &ranked, WHOLE_PPM - floor_ppm);
        owners
    }
}

/// Divides `ppm`, the remainder beyond the even part, among the highest-ranked owners.
fn add_main_shares(owners: &mut [Owner], ranked: &[&Participant], ppm: u64) {
    let main_owners = ranked.len().min(MAIN_OWNERS);
    for participant in &ranked[..main_owners] {
        if let Some(owner) = owners.iter_mut().find(|it| it.participant == **participant) {
            owner.ppm += ppm / main_owners as u64;
        }
    }
}
