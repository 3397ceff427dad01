//! An instance in a process of its own.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use anyhow::Context as _;
use serde_json::json;
use siskinstiled::{Daemon, Settings, settings};

use super::site::Site;
use crate::fleet::wait_until;

/// Limit on the first configuration.
const IN_FORCE: Duration = Duration::from_secs(10);
/// Ticks of processor time a second, as `/proc` counts on every architecture of Linux.
const TICKS: f64 = 100.0;

/// A process that runs an instance; it is killed when dropped.
pub(super) struct Process {
    child: Child,
    file: PathBuf,
    pub(super) door: SocketAddr,
}

impl Process {
    /// Starts this program again as an instance and waits until it takes requests.
    pub(super) fn spawn(site: &Site) -> anyhow::Result<Process> {
        let name = format!("siskinstile-bench-{:016x}.toml", rand::random::<u64>());
        let file = std::env::temp_dir().join(name);
        fs::write(&file, toml::to_string(&settings(site))?)?;
        let mut child = Command::new(std::env::current_exe()?)
            .arg("--instance")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().context("no output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let (door, admin) = line.trim().split_once(' ').context("no addresses")?;
        let (door, admin): (SocketAddr, SocketAddr) = (door.parse()?, admin.parse()?);
        let process = Process { child, file, door };
        register(site, door, admin)?;
        wait_until(IN_FORCE, || {
            let ready = attohttpc::get(format!("http://{admin}/ready")).send();
            ready.is_ok_and(|it| it.is_success())
        })?;
        Ok(process)
    }

    /// Returns the processor time used so far.
    pub(super) fn cpu(&self) -> anyhow::Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The name in parentheses may contain spaces; user and system time are fields 14 and 15.
        let (_, rest) = text.rsplit_once(')').context("no name")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        Ok(Duration::from_secs_f64(ticks as f64 / TICKS))
    }

    /// Returns the resident memory, in KiB.
    pub(super) fn memory_kib(&self) -> anyhow::Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:")).context("no VmRSS")?;
        let number = line.split_whitespace().next().context("no number")?;
        Ok(number.parse()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

fn settings(site: &Site) -> Settings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        instance: settings::Instance { name: "bench".into(), datacentre: "a".into() },
        frontend: settings::Frontend { listen: any, ..settings::Frontend::default() },
        admin: settings::Admin { listen: any },
        peer: None,
        platform: settings::Platform { address: site.platform.address() },
        fleet: settings::Fleet { size: 1, balancer_lag_ms: 0 },
    }
}

fn register(site: &Site, door: SocketAddr, admin: SocketAddr) -> anyhow::Result<()> {
    let record = json!({"name": "bench", "address": door.to_string(), "admin": admin.to_string(),
        "datacentre": "a", "incarnation": 1, "state": "live"});
    let url = format!("http://{}/instances/bench", site.platform.address());
    attohttpc::put(url).json(&record)?.send()?;
    Ok(())
}

/// Runs an instance in this process until it is killed.
///
/// # Errors
///
/// The settings are wrong or the instance cannot be started.
pub fn serve(file: &Path) -> anyhow::Result<()> {
    let daemon = Daemon::spawn(&Settings::open(file)?)?;
    println!("{} {}", daemon.frontend(), daemon.admin());
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}
