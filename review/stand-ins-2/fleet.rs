//! Gateways as processes of their own, started with the command of the deploy file, and the record of a run.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http;

const PORTS: [u16; 6] = [8221, 8224, 8229, 7600, 7615, 9464];

/// The record of a run, with seconds since its start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Mutex::default() }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let line = format!("{seconds:9.3} {}", text.as_ref());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    /// Writes `record.txt` in the folder of the case.
    pub fn save(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let _ = fs::write(folder.join("record.txt"), lines.join("\n") + "\n");
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A network of loopback addresses of which nothing listens at the ports of a gateway.
pub fn free_network() -> [u8; 3] {
    let pid = std::process::id();
    for number in 0..200u32 {
        let it = pid.wrapping_mul(31).wrapping_add(number);
        let network = [127, 1 + (it >> 8) as u8 % 250, it as u8];
        let is_free = |host: u8| {
            let ip = Ipv4Addr::new(network[0], network[1], network[2], host);
            PORTS.iter().all(|port| TcpListener::bind(SocketAddrV4::new(ip, *port)).is_ok())
        };
        if (1..=4).all(is_free) {
            return network;
        }
    }
    panic!("no free addresses");
}

/// What differs between gateways.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: Ipv4Addr,
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

/// A gateway's process; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// Starts a gateway with settings like those of the small deployments.
    pub fn start(program: &Path, folder: &Path, place: &Place, seeds: &[Ipv4Addr]) -> Gateway {
        let Place { name, zone, ip, store, bootstrap } = place;
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}:8229\"")).collect();
        let settings = format!(
            r#"{{"node_name":"{name}","role":"gateway","machine_class":"front","serves":["front","control"],
"ip_address":"{ip}","zone":"{zone}","region":"north","zones":{{"north-a":"north","north-b":"north"}},
"bind_addresses":{{"front":"{ip}:8221","ready":"{ip}:8224","control":"{ip}:8229"}},
"internal_ports":[7600,7615],"seeds":[{}],"bootstrap":{bootstrap},"count_in_tolerance":false,
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":110,"fd_limit":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_directory":null,"discovery":"platform","entry":"virtual_ip","heartbeat_interval_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"],
"tolerated_failures":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"acknowledge_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_period_s":8,"loss_slack_ms":200,"config_propagation_ms":2000,"downgrade_slack_ms":250,"outer_ms":5000,
"strict_revocation":false,"revocation_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":52,
"quota_window_s":8,"quota_overshoot":0.1,"quota_slack":190000,"recovery_s":12,"transit_ms":120,"reuse_window_s":8.2,
"require_fencing":false,"lease_ms":3000,"thaw_slack_ms":300}},
"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,
"value_bytes":1048576,"ttl_minimum_ms":1000}}}}"#,
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.json"));
        fs::File::create(&path)
            .and_then(|mut it| it.write_all(settings.as_bytes()))
            .expect("settings");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(program)
            .args(["--metrics-port", "9464"])
            .env("SISKINSTILE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway's program");
        let address = |port| SocketAddr::V4(SocketAddrV4::new(*ip, port));
        Gateway { child, front: address(8221), ready: address(8224) }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::request(self.ready, text, Duration::from_secs(1));
        answer.is_some_and(|it| it.status() == 200)
    }

    /// Waits until the gateway is ready; returns whether it is.
    pub fn await_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(8);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Sleeps until a moment.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
