//! Regions in which a request must be processed, by its route and its team.

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Catalog, Name,
    catalog::{Problem, Route, Team},
    record::{self, Record},
};

/// The data centres that may process a request.
#[value(eq, default)]
pub struct Residency {
    /// `None` for all.
    datacentres: Option<Vec<Name>>,
}

impl Residency {
    /// Creates the restriction on requests of a team on a route; `regions` is the region of each data
    /// centre. Where both name regions, only those in both are allowed.
    pub fn new(route: &Route, team: Option<&Team>, regions: &IndexMap<Name, Name>) -> Residency {
        let lists = [Some(&route.regions), team.map(|it| &it.regions)];
        let lists: Vec<&Vec<Name>> =
            lists.into_iter().flatten().filter(|it| !it.is_empty()).collect();
        if lists.is_empty() {
            return Residency::default();
        }
        let is_allowed = |region: &Name| lists.iter().all(|it| it.contains(region));
        let allowed = regions.iter().filter(|(_, region)| is_allowed(region));
        Residency { datacentres: Some(allowed.map(|(datacentre, _)| datacentre.clone()).collect()) }
    }

    /// Returns whether a data centre may process the request.
    pub fn allows(&self, datacentre: &str) -> bool {
        self.datacentres.as_ref().is_none_or(|it| it.iter().any(|it| **it == *datacentre))
    }

    /// Returns whether all data centres may process the request.
    pub fn is_unrestricted(&self) -> bool {
        self.datacentres.is_none()
    }
}

/// A region that no data centre has, and the object that names it.
#[value(eq)]
pub struct UnknownRegion {
    /// The region.
    pub region: Name,
    /// The route that names it.
    pub route: Option<Name>,
    /// The team that names it.
    pub team: Option<Name>,
}

impl UnknownRegion {
    /// Returns the log line on the region in a configuration of the given version.
    pub fn log_record(&self, version: u64) -> Record {
        Record::new(record::REGION_UNKNOWN)
            .with("region", &*self.region)
            .with("route", self.route.as_deref())
            .with("team", self.team.as_deref())
            .with("version", version)
    }
}

/// Returns the regions in a configuration that no data centre has; `regions` is the region of each
/// data centre.
///
/// The endpoints that are listed now are not looked at: instances would come to different results.
///
/// # Errors
///
/// Fails if a route has regions and no data centre has any of them.
pub fn check(
    catalog: &Catalog,
    regions: &IndexMap<Name, Name>,
) -> Result<Vec<UnknownRegion>, Problem> {
    let is_unknown = |it: &&Name| !regions.values().any(|region| region == *it);
    let mut unknown = Vec::new();
    for route in catalog.routes() {
        let of_route = route.regions.iter().filter(is_unknown).map(|it| UnknownRegion {
            region: it.clone(),
            route: Some(route.name.clone()),
            team: None,
        });
        let before = unknown.len();
        unknown.extend(of_route);
        if !route.regions.is_empty() && unknown.len() - before == route.regions.len() {
            return Err(Problem::UnknownRegions { route: route.name.clone() });
        }
    }
    for team in catalog.teams() {
        let of_team = team.regions.iter().filter(is_unknown).map(|it| UnknownRegion {
            region: it.clone(),
            route: None,
            team: Some(team.name.clone()),
        });
        unknown.extend(of_team);
    }
    Ok(unknown)
}
