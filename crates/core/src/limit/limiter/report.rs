//! What operators are told of teams' rights.

use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{super::participant::WHOLE_PPM, Limiter};

impl Limiter {
    /// Tells where a team's rights are, as this instance sees it.
    pub fn explain(&mut self, now: Instant, team: &Team) -> String {
        let (ppm, asked, owners, borrowed) = match self.accounts.get(&team.name) {
            Some(it) => (it.own_ppm, it.tried, it.owners.len(), it.loans.tokens(now)),
            None => (0, 0, 0, 0),
        };
        let here = if ppm > 0 { self.ledger.tokens(now, team, ppm) } else { 0 };
        let share = self.datacentre_ppm(&team.name) as f64 / WHOLE_PPM as f64;
        format!(
            "team {} has rate {} and burst {}; {here} tokens in the part kept here, {borrowed} \
             borrowed, {} lent to others; share of data centre {} is {share:.3}; \
             {asked} of {owners} other owners asked",
            team.name,
            team.rate,
            team.burst,
            self.ledger.lent(&team.name),
            self.datacentre,
        )
    }

    /// Returns the use, rights and refusals of the teams that are kept.
    pub fn status(&mut self, now: Instant) -> Value {
        let teams: Vec<Team> = self.accounts.values().map(|it| it.team.clone()).collect();
        let mut values = serde_json::Map::new();
        for team in teams {
            let ppm = self.accounts[&team.name].own_ppm;
            let here = if ppm > 0 { self.ledger.tokens(now, &team, ppm) } else { 0 };
            let account = &self.accounts[&team.name];
            let value = json!({
                "use": account.usage.value(),
                "part_ppm": ppm,
                "here": here,
                "borrowed": account.loans.tokens(now),
                "lent": self.ledger.lent(&team.name),
                "rights_ppm": self.rights(&team.name),
            });
            values.insert(team.name.to_string(), value);
        }
        Value::Object(values)
    }

    /// Returns the part of each data centre.
    fn rights(&self, team: &str) -> IndexMap<Name, u64> {
        let mut rights = IndexMap::new();
        for owner in self.table.owners(team) {
            *rights.entry(owner.participant.datacentre).or_default() += owner.ppm;
        }
        rights
    }

    fn datacentre_ppm(&self, team: &str) -> u64 {
        self.rights(team).get(&self.datacentre).copied().unwrap_or(0)
    }
}
