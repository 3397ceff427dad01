use std::time::Duration;

use proptest::prelude::*;
use siskinstile_core::{
    Instant, Set,
    burn::{Cause, Count, Report, Series, Snapshot, window::WINDOWS},
    object::Name,
};

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Every request of the last eleven twelfths of a window is counted, and none older than the
    /// window.
    #[test]
    fn series_windows(gaps in prop::collection::vec((0_u64..400, any::<bool>()), 1..200)) {
        let mut series = Series::default();
        let mut seen = Vec::new();
        let mut now = Instant::default();
        for (gap, bad) in gaps {
            now = now + Duration::from_secs(gap);
            series.count(now, bad.then_some(Cause::Queue));
            seen.push((now, bad));
            for (window, count) in WINDOWS.iter().zip(series.windows(now)) {
                let within = |length: Duration| {
                    seen.iter().filter(move |(at, _)| now.since(*at) < length)
                };
                let min_total = within(window.length * 11 / 12).count() as u64;
                let max_total = within(window.length).count() as u64;
                prop_assert!(min_total <= count.total && count.total <= max_total);
                let bad = within(window.length).filter(|(_, bad)| *bad).count() as u64;
                prop_assert!(count.bad <= bad);
            }
        }
    }
}

#[test]
fn series_idle_window_empties() {
    let mut series = Series::default();
    series.count(Instant::from_millis(1_000), Some(Cause::Decode));
    let later = Instant::from_millis(400_000);
    assert_eq!(series.windows(later)[0], Count::default());
    assert_eq!(series.windows(later)[1], Count { total: 1, bad: 1 });
}

#[test]
fn count_burn_rate() {
    let count = Count { total: 200, bad: 20 };
    assert!((count.burn_rate(95.0) - 2.0).abs() < 1e-9);
    assert!((count.budget_remaining(95.0) + 1.0).abs() < 1e-9);
    assert_eq!(Count::default().burn_rate(95.0), 0.0);
}

fn snapshot(first_ms: u64) -> Snapshot {
    let (service, team): (Name, Name) = ("assistant".into(), "wash-bays".into());
    let now = Instant::from_millis(10);
    let mut report = Report::default();
    report.record_good(now, &service, &team);
    report.record_bad(now, &service, &team, Cause::Prefill);
    report.record_latency(now, &service, first_ms, 20);
    report.snapshot(now, &Set::default())
}

#[test]
fn snapshot_merge_adds() {
    let mut merged = snapshot(100);
    merged.merge(&snapshot(900));
    let total = merged.total("assistant");
    assert_eq!(total.windows[0], Count { total: 4, bad: 2 });
    assert!((total.causes[&Cause::Prefill] - 2.0).abs() < 1e-3);
    let service = &merged.services[0];
    assert_eq!(service.first_token.count(), 2);
    let slowest = service.first_token.quantile(1.0).unwrap();
    assert!((890..=910).contains(&slowest), "{slowest}");
}

#[test]
fn snapshot_round_trip() {
    let before = snapshot(100);
    let after: Snapshot = serde_json::from_value(serde_json::to_value(&before).unwrap()).unwrap();
    assert_eq!(before, after);
}

#[test]
fn report_export_import() {
    let (service, team): (Name, Name) = ("assistant".into(), "wash-bays".into());
    let mut leaving = Report::default();
    leaving.record_good(Instant::from_millis(1_000), &service, &team);
    leaving.record_bad(Instant::from_millis(299_000), &service, &team, Cause::Prefill);
    let mut peer = Report::default();
    let now = Instant::from_millis(7_200_000);
    peer.record_good(now, &service, &team);
    for message in leaving.export(Instant::from_millis(299_000)) {
        peer.import(now, &message);
    }
    let rows = peer.snapshot(now, &Set::default()).rows;
    assert_eq!(rows[0].windows, [Count { total: 3, bad: 1 }; 4]);
    assert!((rows[0].causes[&Cause::Prefill] - 1.0).abs() < 1e-3);
}
