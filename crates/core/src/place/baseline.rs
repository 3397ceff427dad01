//! Simple placement policies, which serve as baselines for comparison.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Job, endpoint::Record};
use crate::object::{Name, Policy};

/// Returns the endpoint that a simple policy chooses for a job; none if all endpoints are leaving
/// or, with [`Policy::LeastUsed`], have no free slot.
///
/// `rotation` is the number of placements so far; `prefill` is whether the records are those of
/// prefill endpoints.
pub(super) fn choose<'a>(
    policy: Policy,
    records: impl Iterator<Item = &'a Record>,
    job: &Job,
    rotation: usize,
    prefill: bool,
) -> Option<Name> {
    let records: Vec<&Record> = records.filter(|it| !it.endpoint.leaving).collect();
    let chosen = match policy {
        Policy::LeastUsed => {
            records.iter().filter(|it| it.used < it.endpoint.slots).min_by_key(|it| {
                let utilization = u64::from(it.used) * 1_000 / u64::from(it.endpoint.slots.max(1));
                (job.excluded.contains(&it.endpoint.name), !it.local, utilization)
            })
        }
        Policy::LeastLoad => {
            let count = records.len().max(1);
            records
                .iter()
                .enumerate()
                .min_by_key(|(index, it)| (it.reported, (index + rotation) % count))
                .map(|(_, it)| it)
        }
        Policy::PrefixAffinity if prefill => {
            let key = job.prefixes.first().copied().unwrap_or(job.request.0);
            records.iter().max_by_key(|it| xxh3_64_with_seed(it.endpoint.name.as_bytes(), key))
        }
        _ => records.get(rotation % records.len().max(1)),
    };
    chosen.map(|it| it.endpoint.name.clone())
}
