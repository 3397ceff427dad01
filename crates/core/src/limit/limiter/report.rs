//! Reports for operators on teams' tokens.

use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{super::participant::WHOLE_PPM, Limiter};

impl Limiter {
    /// Describes where a team's tokens are according to this instance's records.
    pub fn explain(&mut self, now: Instant, team: &Team) -> String {
        let (ppm, tried, owners, borrowed) = match self.accounts.get(&team.name) {
            Some(it) => (it.own_ppm, it.tried, it.owners.len(), it.loans.tokens(now)),
            None => (0, 0, 0, 0),
        };
        let own_tokens = if ppm > 0 { self.ledger.tokens(now, team, ppm) } else { 0 };
        let share = self.datacentre_ppm(&team.name) as f64 / WHOLE_PPM as f64;
        format!(
            "team {} has rate {} and burst {}; {own_tokens} tokens in its own share, {borrowed} \
             borrowed, {} lent to others; share of data centre {} is {share:.3}; \
             {tried} of {owners} other owners queried",
            team.name,
            team.rate,
            team.burst,
            self.ledger.lent(&team.name),
            self.datacentre,
        )
    }

    /// Returns usage, shares and refusals of the teams with state at this instance.
    pub fn status(&mut self, now: Instant) -> Value {
        let teams: Vec<Team> = self.accounts.values().map(|it| it.team.clone()).collect();
        let mut values = serde_json::Map::new();
        for team in teams {
            let ppm = self.accounts[&team.name].own_ppm;
            let own_tokens = if ppm > 0 { self.ledger.tokens(now, &team, ppm) } else { 0 };
            let account = &self.accounts[&team.name];
            let value = json!({
                "use": account.usage.to_json(),
                "part_ppm": ppm,
                "here": own_tokens,
                "borrowed": account.loans.tokens(now),
                "lent": self.ledger.lent(&team.name),
                "rights_ppm": self.datacentre_shares(&team.name),
            });
            values.insert(team.name.to_string(), value);
        }
        Value::Object(values)
    }

    /// Returns the share of each data centre, in millionths.
    fn datacentre_shares(&self, team: &str) -> IndexMap<Name, u64> {
        let mut shares = IndexMap::new();
        for owner in self.table.owners(team) {
            *shares.entry(owner.participant.datacentre).or_default() += owner.ppm;
        }
        shares
    }

    fn datacentre_ppm(&self, team: &str) -> u64 {
        self.datacentre_shares(team).get(&self.datacentre).copied().unwrap_or(0)
    }
}
