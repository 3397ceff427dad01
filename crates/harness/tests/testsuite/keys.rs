use std::{
    path::{Path, PathBuf},
    sync::{Arc, Mutex, Once, PoisonError},
    time::Duration,
};

use serde_json::json;
use siskinstile_core::{
    Effect, Event,
    error::Kind,
    key::Secret,
    object::Set,
    request::{Arrival, Id, Target},
    store::Call,
};
use siskinstile_harness::{
    client,
    fleet::Fleet,
    rollout::{INSTANCES, NoEndpoints, instance, settings},
    world::{PLATFORM, World},
};

/// Offline grace of every team in these tests, in seconds.
const GRACE_S: u64 = 15;
const MODEL_KEY: &str = "member-staff-key.demo-yek-ffats-rebmem";
const PLAIN_KEY: &str = "wash-bays-key.demo-yek-syab-hsaw";

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/association")
}

fn association() -> Set {
    let mut set = siskinctl::files::load(&directory()).unwrap().0;
    set.teams.values_mut().for_each(|it| it.offline_grace_s = Some(GRACE_S));
    set
}

fn world() -> World<NoEndpoints> {
    let mut world = World::new(1, NoEndpoints);
    for (kind, name, value) in association().values() {
        world.edit(&Call::Put { kind: kind.as_str().into(), name, value, if_version: None });
    }
    (0..INSTANCES).for_each(|it| world.start(settings(it), 0));
    advance(&mut world, 5);
    world
}

fn advance(world: &mut World<NoEndpoints>, seconds: u64) {
    world.run(world.now() + Duration::from_secs(seconds));
}

fn send_request(world: &mut World<NoEndpoints>, id: u64) {
    let arrival = Arrival {
        id: Id(id),
        key: Some(Secret::new(MODEL_KEY)),
        target: Target::Model("assistant-1".into()),
        idempotency_key: None,
        digest: 0,
        prompt_tokens: 10,
        max_tokens: 8,
        prefixes: Arc::new([]),
    };
    world.send_event(&instance(0), Event::Arrival(arrival));
    world.run(world.now() + Duration::from_millis(10));
}

fn failure_count(world: &World<NoEndpoints>, kind: Kind) -> usize {
    let of_kind = |it: &&siskinstile_harness::world::Output| matches!(&it.effect, Effect::Fail { failure, .. } if failure.kind == kind);
    world.outputs.iter().filter(of_kind).count()
}

/// The offline grace of a key expires only while no instance reaches the platform.
#[test]
fn grace_expires_without_platform() {
    let mut world = world();
    advance(&mut world, 3 * GRACE_S);
    send_request(&mut world, 1);
    assert_eq!(failure_count(&world, Kind::OfflineGrace), 0);
    for index in 0..INSTANCES {
        world.links.set_cut(&instance(index), PLATFORM, true);
    }
    advance(&mut world, 2 * GRACE_S);
    send_request(&mut world, 2);
    assert_eq!(failure_count(&world, Kind::OfflineGrace), 1);
}

/// An instance without the platform keeps accepting a key while its peers reach the platform.
#[test]
fn grace_renewed_by_peers() {
    let mut world = world();
    // Only instance 0 cannot reach the platform; its peers send it the changes.
    world.links.set_cut(&instance(0), PLATFORM, true);
    advance(&mut world, 3 * GRACE_S);
    send_request(&mut world, 1);
    assert_eq!(failure_count(&world, Kind::OfflineGrace), 0);
}

/// When a key is withdrawn, its waiting requests fail and its running requests continue; new
/// requests with the key are refused.
#[test]
fn withdrawal_ends_waiting_requests() {
    let mut world = world();
    (0..100).for_each(|id| send_request(&mut world, id));
    let open = |world: &World<NoEndpoints>| world.state(&instance(0)).unwrap().open_requests();
    let open_before = open(&world);
    let mut value = world.store.get("key", "member-staff-key").unwrap().value.clone().unwrap();
    value["withdrawn"] = json!(true);
    let (kind, name) = ("key".into(), "member-staff-key".into());
    world.edit(&Call::Put { kind, name, value, if_version: None });
    advance(&mut world, 3);
    let refused = failure_count(&world, Kind::Unauthorized);
    assert!(refused > 0 && refused < open_before, "{refused} of {open_before}");
    assert_eq!(open(&world), open_before - refused);
    send_request(&mut world, 1_000);
    assert_eq!(failure_count(&world, Kind::Unauthorized), refused + 1);
}

#[test]
fn secret_not_in_effects() {
    let mut world = world();
    send_request(&mut world, 1);
    let texts = format!("{:?} {:?}", world.outputs, world.state(&instance(0)));
    assert!(!texts.contains("ffats-rebmem"), "a secret is in the state or an output");
}

/// Logger that collects the text of every record.
struct CollectingLogger;

static LOG_LINES: Mutex<String> = Mutex::new(String::new());

impl log::Log for CollectingLogger {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = LOG_LINES.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_str(&format!("{}\n", record.args()));
    }

    fn flush(&self) {}
}

fn get(address: std::net::SocketAddr, path: &str) -> String {
    attohttpc::get(format!("http://{address}{path}")).send().unwrap().text().unwrap()
}

/// No response, admin page, call to the platform or an endpoint, or log line contains the secret of
/// a key, valid or not.
#[test]
fn secret_not_in_output() {
    static LOGGER: Once = Once::new();
    LOGGER.call_once(|| {
        log::set_logger(&CollectingLogger).unwrap();
        log::set_max_level(log::LevelFilter::Trace);
    });
    let fleet = Fleet::spawn(&directory(), 2).unwrap();
    let frontend = fleet.daemons[0].frontend();
    let mut texts = Vec::new();
    let stream = client::stream(frontend, MODEL_KEY, "assistant-1", "a prompt", 4).unwrap();
    let id = stream.request_id.clone();
    for key in [PLAIN_KEY, "wash-bays-key.demo-wrong-secret", "nobody.demo-wrong-secret"] {
        let response = client::plain(frontend, "GET", "/billing/plans/77", key, None, "").unwrap();
        texts.push(format!("{response:?}"));
    }
    let admin = fleet.daemons[0].admin();
    for path in ["/metrics", "/status", "/burn", &format!("/explain/{id}")] {
        texts.push(get(admin, path));
    }
    texts.extend(fleet.platform.transcripts());
    texts.extend(fleet.engines.values().flat_map(|it| it.transcripts()));
    texts.extend(fleet.plains.values().flat_map(|it| it.transcripts()));
    texts.push(LOG_LINES.lock().unwrap().clone());
    for secret in ["ffats-rebmem", "syab-hsaw", "demo-wrong-secret"] {
        let leaked = texts.iter().find(|it| it.contains(secret));
        assert_eq!(leaked, None, "{secret}");
    }
}
