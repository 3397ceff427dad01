//! A small fleet in one process: a fake platform, fake endpoints and real instances on
//! loopback.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use clap::Parser as _;
use indexmap::IndexMap;
use serde_json::json;
use siskinstile_core::object::{self, Name, Role};
use siskinstile_fakes::{Engine, Plain, Platform, engine, plain};
use siskinstiled::{Daemon, Settings, settings};

/// Timeout for a configuration to take effect at all instances.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time per output token of the fake engines, in milliseconds.
const TOKEN_MS: f64 = 5.0;

/// A running fleet; dropping it stops all its parts.
pub struct Fleet {
    /// The fake platform.
    pub platform: Platform,
    /// Fake model engines by endpoint name.
    pub engines: IndexMap<Name, Engine>,
    /// Fake plain services by endpoint name.
    pub plains: IndexMap<Name, Plain>,
    /// The instances, in order of their start.
    pub daemons: Vec<Daemon>,
    objects: PathBuf,
}

impl Fleet {
    /// Starts a fleet, applies the objects of a directory and waits until they are in force.
    ///
    /// The endpoint addresses in the object files are replaced by the addresses of the fakes.
    ///
    /// # Errors
    ///
    /// The objects cannot be read, are refused or do not take effect within 10 s, or a part of the
    /// fleet cannot be started.
    pub fn spawn(dir: &Path, instances: usize) -> anyhow::Result<Fleet> {
        let platform = Platform::spawn()?;
        let (set, problems) = siskinctl::files::load(dir)?;
        if let Some(problem) = problems.first() {
            bail!("{problem}");
        }
        let endpoints: Vec<object::Endpoint> =
            set.pools.values().flat_map(|pool| pool.endpoints.clone()).collect();
        let (mut engines, mut plains) = (IndexMap::new(), IndexMap::new());
        let mut addresses = Vec::new();
        for endpoint in endpoints {
            let address = match endpoint.role {
                Role::Plain => {
                    let plain = spawn_plain(&endpoint)?;
                    let address = plain.address();
                    plains.insert(endpoint.name, plain);
                    address
                }
                Role::Prefill | Role::Decode => {
                    let engine = spawn_engine(&endpoint)?;
                    let address = engine.address();
                    engines.insert(endpoint.name, engine);
                    address
                }
            };
            addresses.push((endpoint.address, address));
        }
        let objects = copy_objects(dir, &addresses)?;
        let mut fleet = Fleet { platform, engines, plains, daemons: Vec::new(), objects };
        let datacentres: Vec<Name> = set
            .pools
            .values()
            .flat_map(|it| &it.endpoints)
            .map(|it| it.datacentre.clone())
            .collect();
        for index in 0..instances {
            let datacentre = datacentres.get(index % datacentres.len().max(1));
            let datacentre = datacentre.cloned().unwrap_or_else(|| "dc-1".into());
            fleet.add_instance(&format!("instance-{}", index + 1), datacentre, instances)?;
        }
        fleet.apply()?;
        Ok(fleet)
    }

    fn add_instance(&mut self, name: &str, datacentre: Name, size: usize) -> anyhow::Result<()> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = Settings {
            instance: settings::Instance { name: name.into(), datacentre: datacentre.clone() },
            frontend: settings::Frontend { listen: any, ..settings::Frontend::default() },
            admin: settings::Admin { listen: any },
            peer: Some(settings::Peer { listen: any, tls: settings::Tls::Off(settings::Off::Off) }),
            platform: settings::Platform { address: self.platform.address() },
            fleet: settings::Fleet { size: size as u64, balancer_lag_ms: 200 },
        };
        let daemon = Daemon::spawn(&settings)?;
        let record = json!({
            "name": name,
            "address": daemon.peer().context("no peer listener")?.to_string(),
            "admin": daemon.admin().to_string(),
            "datacentre": datacentre,
            "incarnation": 1,
            "state": "live",
        });
        let url = format!("http://{}/instances/{name}", self.platform.address());
        attohttpc::put(url).json(&record)?.send()?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Applies the objects and waits until they are in force at every instance.
    ///
    /// # Errors
    ///
    /// The objects are refused, or are not in force at every instance within 10 s.
    pub fn apply(&self) -> anyhow::Result<()> {
        let dir = self.objects.display().to_string();
        self.siskinctl(&["apply", &dir, "--platform", &self.platform.address().to_string()])?;
        let (set, _) = siskinctl::files::load(&self.objects)?;
        wait_until(APPLY_TIMEOUT, || {
            self.daemons.iter().all(|it| it.config().set == set && it.is_ready())
        })
        .context("the objects did not come into force at every instance")
    }

    /// Runs `siskinctl` with these arguments in this process and returns its output.
    ///
    /// # Errors
    ///
    /// The arguments are invalid or the command failed.
    pub fn siskinctl(&self, args: &[&str]) -> anyhow::Result<String> {
        let args = siskinctl::args::Args::try_parse_from(["siskinctl"].iter().chain(args))?;
        let mut out = Vec::new();
        let code = siskinctl::run(&args, &mut out)?;
        let text = String::from_utf8_lossy(&out).into_owned();
        match code {
            siskinctl::Code::Success => Ok(text),
            _ => bail!("siskinctl failed: {text}"),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.objects);
    }
}

/// Waits until `condition` returns true, checking it every 10 ms.
///
/// # Errors
///
/// The condition is still false after `timeout`.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > timeout {
            bail!("condition not met within {timeout:?}");
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn spawn_engine(endpoint: &object::Endpoint) -> anyhow::Result<Engine> {
    let role = match endpoint.role {
        Role::Prefill => engine::Role::Prefill,
        Role::Decode | Role::Plain => engine::Role::Decode,
    };
    Engine::spawn(engine::Config {
        name: endpoint.name.to_string(),
        role,
        slots: endpoint.slots,
        memory: endpoint.memory,
        token_ms: TOKEN_MS,
        fences: endpoint.fences,
        ..engine::Config::default()
    })
}

fn spawn_plain(endpoint: &object::Endpoint) -> anyhow::Result<Plain> {
    Plain::spawn(plain::Config { name: endpoint.name.to_string(), delay_ms: 2 })
}

/// Copies the object files into a new temporary directory, with replaced endpoint addresses.
fn copy_objects(dir: &Path, addresses: &[(Name, SocketAddr)]) -> anyhow::Result<PathBuf> {
    let target = std::env::temp_dir().join(format!("siskinstile-{:016x}", rand::random::<u64>()));
    fs::create_dir_all(&target)?;
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let Some(name) =
            path.file_name().filter(|_| path.extension().is_some_and(|it| it == "toml"))
        else {
            continue;
        };
        let mut text = fs::read_to_string(&path)?;
        for (old, new) in addresses {
            text = text.replace(&format!("\"{old}\""), &format!("\"{new}\""));
        }
        fs::write(target.join(name), text)?;
    }
    Ok(target)
}
