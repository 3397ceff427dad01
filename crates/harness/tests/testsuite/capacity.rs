use siskinstile_harness::capacity::{Slopes, model};

#[test]
fn page_matches_slopes() {
    let page = include_str!("../../../../docs/CAPACITY.md");
    let slopes = Slopes::parse(include_str!("../../../../docs/capacity-slopes.toml")).unwrap();
    assert_eq!(model::replace(page, &slopes).unwrap(), page);
}
