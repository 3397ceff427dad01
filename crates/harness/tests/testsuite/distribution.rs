use std::{path::Path, time::Duration};

use serde_json::json;
use siskinstile_core::{Effect, Instant, store::Call};
use siskinstile_harness::{
    rollout::{INSTANCES, Unused, instance, settings},
    world::{PLATFORM, World},
};

/// Time within which a change has to be in force everywhere.
const TARGET: Duration = Duration::from_secs(18);

fn world() -> World<Unused> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/association");
    let mut world = World::new(1, Unused);
    for (kind, name, value) in siskinctl::files::load(&dir).unwrap().0.values() {
        world.edit(&Call::Put { kind: kind.as_str().into(), name, value, if_version: None });
    }
    (0..INSTANCES).for_each(|it| world.start(settings(it), 0));
    pass(&mut world, Duration::from_secs(5));
    world
}

fn pass(world: &mut World<Unused>, length: Duration) {
    world.run(world.now() + length);
}

fn edit(world: &mut World<Unused>) {
    let team = world.store.of_kind("team").next().unwrap().clone();
    let mut value = team.value.unwrap();
    value["rate"] = json!(123);
    world.edit(&Call::Put { kind: team.kind, name: team.name, value, if_version: None });
}

fn generation(world: &World<Unused>, index: usize) -> u64 {
    world.state(&instance(index)).map_or(0, |it| it.config().generation)
}

/// Returns when an instance became ready last.
fn ready(world: &World<Unused>, index: usize) -> Option<Instant> {
    let of = |it: &&siskinstile_harness::world::Output| {
        it.instance == instance(index) && it.effect == Effect::Ready(true)
    };
    world.outputs.iter().rfind(of).map(|it| it.at)
}

#[test]
fn handed_over_without_platform() {
    let mut world = world();
    // All but the holder of the publish lease lose the platform.
    let lease = world.store.get("lease", "publisher").unwrap().value.clone().unwrap();
    for index in (0..INSTANCES).filter(|it| *instance(*it) != *lease["holder"].as_str().unwrap()) {
        world.links.set_cut(&instance(index), PLATFORM, true);
    }
    edit(&mut world);
    pass(&mut world, TARGET);
    let generations: Vec<u64> = (0..INSTANCES).map(|it| generation(&world, it)).collect();
    assert_eq!(generations, [2; INSTANCES]);
}

#[test]
fn joined_again_catches_up() {
    let mut world = world();
    let far = |index: usize| settings(index).datacentre != settings(1).datacentre;
    let cut = |world: &mut World<Unused>, on| {
        for index in [1, 4] {
            world.links.set_cut(&instance(index), PLATFORM, on);
            (0..INSTANCES)
                .filter(|it| far(*it))
                .for_each(|it| world.links.set_cut(&instance(index), &instance(it), on));
        }
    };
    cut(&mut world, true);
    edit(&mut world);
    pass(&mut world, 2 * TARGET);
    assert_eq!((generation(&world, 1), generation(&world, 4)), (1, 1));
    cut(&mut world, false);
    pass(&mut world, TARGET);
    assert_eq!((generation(&world, 1), generation(&world, 4)), (2, 2));
}

#[test]
fn newcomer_cut_off_waits() {
    let mut world = world();
    world.kill(&instance(1));
    world.links.set_cut(&instance(1), PLATFORM, true);
    pass(&mut world, Duration::from_secs(1));
    world.outputs.clear();
    let start = world.now();
    world.restart(&instance(1));
    pass(&mut world, TARGET);
    assert_eq!(generation(&world, 1), 1);
    let waited = ready(&world, 1).unwrap().since(start);
    assert!(waited >= Duration::from_secs(5), "ready after {waited:?}");
}

#[test]
fn newcomer_is_not_behind() {
    let mut world = world();
    world.kill(&instance(1));
    edit(&mut world);
    pass(&mut world, Duration::from_secs(3));
    world.outputs.clear();
    world.restart(&instance(1));
    pass(&mut world, TARGET);
    let first = world.outputs.iter().find_map(|it| match &it.effect {
        Effect::Adopt(config) if it.instance == instance(1) => Some(config.generation),
        _ => None,
    });
    assert!(ready(&world, 1).is_some());
    assert_eq!((first, generation(&world, 1)), (Some(2), 2));
}
