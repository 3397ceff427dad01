//! The seats among which every team's rate and burst are divided.
//!
//! A seat belongs to the name of an instance. The table is an object on the platform, made once by
//! conditional create and changed by conditional update only; every instance that knows it computes
//! the same parts from it. Their sum is at most the whole.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{member::rank, object::Name};

/// The whole of a rate or burst, in millionths.
pub const WHOLE_PPM: u64 = 1_000_000;
/// Homes of a team in each data centre.
pub const HOMES_PER_DATACENTRE: usize = 2;
/// Most data centres among which the whole is divided evenly.
const EVEN_DATACENTRES: usize = 4;
/// With more data centres, the part that stays divided evenly as their floors.
const FLOOR_PPM: u64 = 400_000;
/// Homes that share what is not a floor.
const MAIN_HOMES: usize = 2;

/// One instance's seat.
#[value(serde, eq)]
pub struct Seat {
    /// Name of the instance.
    pub name: Name,
    /// Name of its data centre.
    pub datacentre: Name,
}

/// The seats of the fleet.
#[value(serde, default)]
pub struct Table {
    /// The seats, in order of name.
    pub seats: Vec<Seat>,
}

/// A holder of a part of a team's rights.
#[value(eq)]
pub struct Home {
    /// Its seat.
    pub seat: Seat,
    /// Its part, in millionths.
    pub ppm: u64,
}

impl Table {
    /// Creates the table of the instances that are there at the first start.
    pub fn new(mut seats: Vec<Seat>) -> Table {
        seats.sort_by(|a, b| a.name.cmp(&b.name));
        Table { seats }
    }

    /// Returns the homes of a team with their parts.
    pub fn homes(&self, team: &str) -> Vec<Home> {
        let mut ranked: Vec<&Seat> = self.seats.iter().collect();
        ranked.sort_by_cached_key(|it| std::cmp::Reverse((rank(&it.name, team), it.name.clone())));
        let mut by_datacentre: IndexMap<&str, Vec<&Seat>> = IndexMap::new();
        for seat in &ranked {
            by_datacentre.entry(&seat.datacentre).or_default().push(seat);
        }
        let count = by_datacentre.len();
        let floor = if count <= EVEN_DATACENTRES { WHOLE_PPM } else { FLOOR_PPM };
        let mut homes = Vec::new();
        for seats in by_datacentre.into_values() {
            let chosen = seats.len().min(HOMES_PER_DATACENTRE);
            let ppm = floor / (count * chosen) as u64;
            homes.extend(seats[..chosen].iter().map(|it| Home { seat: (*it).clone(), ppm }));
        }
        add_main(&mut homes, &ranked, WHOLE_PPM - floor);
        homes
    }
}

/// Adds the part that is no floor to the first homes.
fn add_main(homes: &mut [Home], ranked: &[&Seat], ppm: u64) {
    let mains = ranked.len().min(MAIN_HOMES);
    for seat in &ranked[..mains] {
        if let Some(home) = homes.iter_mut().find(|it| it.seat == **seat) {
            home.ppm += ppm / mains as u64;
        }
    }
}
