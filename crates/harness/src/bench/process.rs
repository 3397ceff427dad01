//! The measured instance, in its own process.

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

/// Timeout for the instance to become ready with its first configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc`; 100 on every Linux architecture.
const TICKS_PER_SECOND: f64 = 100.0;

/// A process that runs an instance; dropping it kills the process.
pub(super) struct Process {
    child: Child,
    settings_file: PathBuf,
    pub(super) frontend: SocketAddr,
}

impl Process {
    /// Starts this program as an instance in a child process and waits until it is ready.
    pub(super) fn spawn(site: &Site) -> anyhow::Result<Process> {
        let name = format!("siskinstile-bench-{:016x}.toml", rand::random::<u64>());
        let settings_file = std::env::temp_dir().join(name);
        fs::write(&settings_file, toml::to_string(&settings(site))?)?;
        let mut child = Command::new(std::env::current_exe()?)
            .arg("--instance")
            .arg(&settings_file)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().context("the instance has no standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let (frontend, admin) =
            line.trim().split_once(' ').context("the instance printed no addresses")?;
        let (frontend, admin): (SocketAddr, SocketAddr) = (frontend.parse()?, admin.parse()?);
        let process = Process { child, settings_file, frontend };
        register(site, frontend, admin)?;
        wait_until(READY_TIMEOUT, || {
            let ready = attohttpc::get(format!("http://{admin}/ready")).send();
            ready.is_ok_and(|it| it.is_success())
        })?;
        Ok(process)
    }

    /// Returns the user and system time that the process has used so far.
    pub(super) fn cpu(&self) -> anyhow::Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The process name in parentheses may contain spaces; user and system time are fields 14
        // and 15 of the line, so 11 and 12 after the name.
        let (_, after_name) = text.rsplit_once(')').context("no process name in /proc")?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        Ok(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
    }

    /// Returns the resident set size, in KiB.
    pub(super) fn memory_kib(&self) -> anyhow::Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line =
            text.lines().find_map(|it| it.strip_prefix("VmRSS:")).context("no VmRSS in /proc")?;
        let number = line.split_whitespace().next().context("no value for VmRSS")?;
        Ok(number.parse()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_file);
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

fn register(site: &Site, frontend: SocketAddr, admin: SocketAddr) -> anyhow::Result<()> {
    let record = json!({"name": "bench", "address": frontend.to_string(), "admin": admin.to_string(),
        "datacentre": "a", "incarnation": 1, "state": "live"});
    let url = format!("http://{}/instances/bench", site.platform.address());
    attohttpc::put(url).json(&record)?.send()?;
    Ok(())
}

/// Runs an instance in this process until the process is killed.
///
/// # Errors
///
/// The settings are invalid or the instance cannot be started.
pub fn serve(settings_file: &Path) -> anyhow::Result<()> {
    let daemon = Daemon::spawn(&Settings::open(settings_file)?)?;
    println!("{} {}", daemon.frontend(), daemon.admin());
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}
