//! Gateways: the project's own program, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Ports of a gateway: callers, readiness, control, first and last between instances, metrics.
const PORTS: [u16; 6] = [8221, 8224, 8229, 7600, 7615, 9464];

/// Identifiers of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all gateways that this process has started; for an end without a result.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().iter() {
        send_signal("-KILL", *pid);
    }
}

fn send_signal(signal: &str, pid: u32) {
    // The process may have ended already.
    let _ = Command::new("sh").args(["-c", &format!("kill {signal} {pid}")]).status();
}

/// A running gateway; it is killed when this is dropped.
pub struct Gateway {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    record: Record,
}

/// Settings of a gateway.
pub struct Place<'a> {
    /// Name.
    pub name: &'a str,
    /// Its zone, and all zones.
    pub zone: &'a str,
    /// Its own loopback address.
    pub ip: IpAddr,
    /// Address of the store.
    pub store: SocketAddr,
}

/// A temporary folder, which is removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates the folder.
    pub fn create() -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("siskinstile-review-{}", process::id()));
        fs::create_dir_all(&path).map_err(|it| it.to_string())?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that remains does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns loopback addresses at which all ports of a gateway are free.
pub fn free_ips(count: usize) -> Result<Vec<IpAddr>, String> {
    let pid = process::id();
    let network = [127, 64 + (pid % 128) as u8, (pid / 128 % 256) as u8];
    let ips =
        (1..=250).map(|host| IpAddr::V4(Ipv4Addr::new(network[0], network[1], network[2], host)));
    let is_free = |ip: &IpAddr| {
        PORTS.iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
            && UdpSocket::bind((*ip, PORTS[3])).is_ok()
    };
    let free: Vec<IpAddr> = ips.filter(is_free).take(count).collect();
    if free.len() == count { Ok(free) } else { Err("no free loopback addresses".to_owned()) }
}

impl Gateway {
    /// Starts a gateway and waits until it is ready.
    pub fn start(place: &Place, folder: &Folder, record: &Record) -> Result<Gateway, String> {
        let Place { name, ip, .. } = place;
        let settings = folder.0.join(format!("{name}.json"));
        fs::write(&settings, text(place, true)).map_err(|it| it.to_string())?;
        let root = PathBuf::from("../..").canonicalize().map_err(|it| it.to_string())?;
        let log =
            File::create(folder.0.join(format!("{name}.log"))).map_err(|it| it.to_string())?;
        let errors = log.try_clone().map_err(|it| it.to_string())?;
        let child = Command::new(root.join("target/release/siskinstile-gateway"))
            .args(["--metrics-port", "9464"])
            .env("SISKINSTILE_SETTINGS", &settings)
            .current_dir(&root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|it| format!("target/release/siskinstile-gateway: {it}"))?;
        RUNNING.lock().unwrap().push(child.id());
        record.line(&format!("gateway {name} starts at {ip}"));
        let gateway = Gateway {
            name: (*name).to_owned(),
            front: SocketAddr::new(*ip, PORTS[0]),
            ready: SocketAddr::new(*ip, PORTS[1]),
            child,
            record: record.clone(),
        };
        // Any later start is not the first one of the system.
        let deadline = Instant::now() + Duration::from_secs(20);
        while http::get(gateway.ready, "/readiness") != 200 {
            if Instant::now() > deadline {
                return Err(format!("gateway {name} is not ready within 20 s"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        fs::write(&settings, text(place, false)).map_err(|it| it.to_string())?;
        Ok(gateway)
    }

    /// Returns the status of its readiness check.
    pub fn readiness(&self) -> u16 {
        http::get(self.ready, "/readiness")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.record.line(&format!("SIGTERM to gateway {}", self.name));
        send_signal("-TERM", self.child.id());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|it| *it != self.child.id());
    }
}

/// Returns the settings, with the figures of the small deployments.
fn text(place: &Place, is_first_start: bool) -> String {
    let Place { name, zone, ip, store } = place;
    let [front, ready, control, first, last, _] = PORTS;
    format!(
        r#"{{
  "node_name": "{name}", "role": "gateway", "machine_class": "front", "serves": ["front", "control"],
  "ip_address": "{ip}", "zone": "{zone}", "region": "lk-west", "zones": {{"{zone}": "lk-west"}},
  "bind_addresses": {{"front": "{ip}:{front}", "ready": "{ip}:{ready}", "control": "{ip}:{control}"}},
  "internal_ports": [{first}, {last}], "seeds": [], "bootstrap": {is_first_start},
  "count_in_tolerance": false,
  "limits": {{"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "fd_limit": 4100, "link_mbps": 1000.0, "disk_mb": 0}},
  "data_directory": null, "discovery": "platform", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "quota", "platform"],
  "tolerated_failures": {{"machines": 2, "zones": 1, "regions": 0}},
  "bounds": {{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "config_propagation_ms": 2000,
    "downgrade_slack_ms": 250, "outer_ms": 5000, "strict_revocation": false, "revocation_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "quota_window_s": 8,
    "quota_overshoot": 0.1, "quota_slack": 190000, "recovery_s": 12, "transit_ms": 120,
    "reuse_window_s": 8.2, "require_fencing": false, "lease_ms": 3000, "thaw_slack_ms": 300}},
  "platform": {{"address": "{store}", "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
    "history_s": 20, "value_bytes": 1048576, "ttl_minimum_ms": 1000}}
}}"#
    )
}
