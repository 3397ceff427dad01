use std::{path::Path, time::Duration};

use serde_json::json;
use siskinstile_core::{Effect, Instant, store::Call};
use siskinstile_harness::{
    rollout::{INSTANCES, NoEndpoints, instance, settings},
    world::{PLATFORM, World},
};

/// Time within which a change must be in force at every instance.
const MAX_DELAY: Duration = Duration::from_secs(18);

fn world() -> World<NoEndpoints> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/association");
    let mut world = World::new(1, NoEndpoints);
    for (kind, name, value) in siskinctl::files::load(&dir).unwrap().0.values() {
        world.edit(&Call::Put { kind: kind.as_str().into(), name, value, if_version: None });
    }
    (0..INSTANCES).for_each(|it| world.start(settings(it), 0));
    advance(&mut world, Duration::from_secs(5));
    world
}

fn advance(world: &mut World<NoEndpoints>, length: Duration) {
    world.run(world.now() + length);
}

fn edit(world: &mut World<NoEndpoints>) {
    let team = world.store.of_kind("team").next().unwrap().clone();
    let mut value = team.value.unwrap();
    value["rate"] = json!(123);
    world.edit(&Call::Put { kind: team.kind, name: team.name, value, if_version: None });
}

fn generation(world: &World<NoEndpoints>, index: usize) -> u64 {
    world.state(&instance(index)).map_or(0, |it| it.config().generation)
}

/// Returns the time at which an instance last became ready.
fn last_ready_at(world: &World<NoEndpoints>, index: usize) -> Option<Instant> {
    let is_ready = |it: &&siskinstile_harness::world::Output| {
        it.instance == instance(index) && it.effect == Effect::Ready(true)
    };
    world.outputs.iter().rfind(is_ready).map(|it| it.at)
}

/// Instances that cannot reach the platform adopt a change from their peers.
#[test]
fn distribution_without_platform() {
    let mut world = world();
    // All instances except the holder of the publish lease lose the platform.
    let lease = world.store.get("lease", "publisher").unwrap().value.clone().unwrap();
    for index in (0..INSTANCES).filter(|it| *instance(*it) != *lease["holder"].as_str().unwrap()) {
        world.links.set_cut(&instance(index), PLATFORM, true);
    }
    edit(&mut world);
    advance(&mut world, MAX_DELAY);
    let generations: Vec<u64> = (0..INSTANCES).map(|it| generation(&world, it)).collect();
    assert_eq!(generations, [2; INSTANCES]);
}

/// Instances cut off from the platform and from all other data centres keep the old generation, and
/// adopt the new one when the links are restored.
#[test]
fn distribution_after_partition() {
    let mut world = world();
    let is_remote = |index: usize| settings(index).datacentre != settings(1).datacentre;
    let set_cut = |world: &mut World<NoEndpoints>, is_cut| {
        for index in [1, 4] {
            world.links.set_cut(&instance(index), PLATFORM, is_cut);
            (0..INSTANCES)
                .filter(|it| is_remote(*it))
                .for_each(|it| world.links.set_cut(&instance(index), &instance(it), is_cut));
        }
    };
    set_cut(&mut world, true);
    edit(&mut world);
    advance(&mut world, 2 * MAX_DELAY);
    assert_eq!((generation(&world, 1), generation(&world, 4)), (1, 1));
    set_cut(&mut world, false);
    advance(&mut world, MAX_DELAY);
    assert_eq!((generation(&world, 1), generation(&world, 4)), (2, 2));
}

/// An instance that starts without the platform adopts the configuration of its peers, but reports
/// ready only after a delay.
#[test]
fn ready_delayed_without_platform() {
    let mut world = world();
    world.kill(&instance(1));
    world.links.set_cut(&instance(1), PLATFORM, true);
    advance(&mut world, Duration::from_secs(1));
    world.outputs.clear();
    let start = world.now();
    world.restart(&instance(1));
    advance(&mut world, MAX_DELAY);
    assert_eq!(generation(&world, 1), 1);
    let delay = last_ready_at(&world, 1).unwrap().since(start);
    assert!(delay >= Duration::from_secs(5), "ready after {delay:?}");
}

/// An instance that restarts after a change adopts the newest generation first, not an older one.
#[test]
fn ready_with_newest_generation() {
    let mut world = world();
    world.kill(&instance(1));
    edit(&mut world);
    advance(&mut world, Duration::from_secs(3));
    world.outputs.clear();
    world.restart(&instance(1));
    advance(&mut world, MAX_DELAY);
    let first = world.outputs.iter().find_map(|it| match &it.effect {
        Effect::Adopt(config) if it.instance == instance(1) => Some(config.generation),
        _ => None,
    });
    assert!(last_ready_at(&world, 1).is_some());
    assert_eq!((first, generation(&world, 1)), (Some(2), 2));
}
