//! The cases.

mod drain_after_outage;
mod huge_limit;
mod in_place_upgrade;
mod plain_stream;
mod silent_worker;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use crate::{
    Verdict,
    gateway::{self, Folder, Gateway, Place},
    record::Record,
    store::{Door, Store},
    worker::{Pace, Role, Runs, Worker},
};

/// Plays a case by its name.
pub fn play(case: &str, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "plain-stream" => plain_stream::play(trouble, record),
        "huge-limit" => huge_limit::play(trouble, record),
        "in-place-upgrade" => in_place_upgrade::play(trouble, record),
        "drain-after-outage" => drain_after_outage::play(trouble, record),
        "silent-worker" => silent_worker::play(trouble, record),
        _ => Err(format!("there is no case {case:?}")),
    }
}

/// A deployment in one zone.
struct Deployment {
    ips: Vec<IpAddr>,
    store: Store,
    runs: Runs,
    record: Record,
    folder: Folder,
}

impl Deployment {
    /// Creates a deployment with addresses for some gateways, and writes its configuration.
    fn open(gateways: usize, configuration: String, record: &Record) -> Result<Deployment, String> {
        let store = Store::open();
        store.put("config", "main", Some(configuration));
        // The last address is that of the store and the workers.
        let ips = gateway::free_ips(gateways + 1)?;
        let folder = Folder::create()?;
        Ok(Deployment { ips, store, runs: Arc::default(), record: record.clone(), folder })
    }

    fn own_ip(&self) -> IpAddr {
        self.ips[self.ips.len() - 1]
    }

    /// Opens an address of the store.
    fn door(&self) -> Door {
        self.store.door(self.own_ip())
    }

    fn worker(&self, id: &str, stage: Option<&'static str>, version: &str, pace: Pace) -> Worker {
        let (id, service, zone) = (id.to_owned(), "drafts".to_owned(), ZONE.to_owned());
        let role = Role { id, service, zone, stage, pace };
        let address = SocketAddr::new(self.own_ip(), 0);
        Worker::start(address, role, version, (&self.store, &self.runs, &self.record))
    }

    /// Starts a gateway that reaches the store at the given address.
    fn gateway(&self, number: usize, door: &Door) -> Result<Gateway, String> {
        let name = name(number);
        let place = Place { name: &name, zone: ZONE, ip: self.ips[number], store: door.address };
        Gateway::start(&place, &self.folder, &self.record)
    }
}

/// The only zone.
const ZONE: &str = "colombo-a";

/// Returns a configuration with a route of resumable streams, one of requests that may not be repeated,
/// and one service; `engine` is whether
/// that is one of model workers.
fn configuration(engine: bool) -> String {
    let engine = match engine {
        true => {
            r#","engine":{"slots":64,"kv_cache_tokens":57728,"kv_token_bytes":35136,"link_mbps":330000.0,"moves":true,"backups":true,"stride":6,"most":12,"handle_retention_s":0.5,"reconfigure_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}"#
        }
        false => "",
    };
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"board.example","path_prefix":"/review/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"drafts","attempts":2,"public":true,"sticky":true,"resumable":true,"target_gap_ms":300}},{{"name":"r-2","host":"board.example","path_prefix":"/issue/","kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"drafts","attempts":1,"public":true,"sticky":false,"resumable":false}}],"services":[{{"name":"drafts","health_check":"/health","connection_limit":360,"protocol":"h1","tls":false{engine}}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    )
}

/// Returns the name of a gateway.
fn name(number: usize) -> String {
    format!("front-{}", number + 1)
}

/// Returns the time in milliseconds.
const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}
