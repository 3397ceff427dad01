//! A small fleet in one process: a platform, endpoints and instances on loopback.

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

/// Time for the whole fleet to take up a configuration.
const IN_FORCE: Duration = Duration::from_secs(10);
/// Time between two looks at something that is awaited.
const POLL: Duration = Duration::from_millis(10);
/// Time of one output token of the stand-in engines, in milliseconds.
const TOKEN_MS: f64 = 5.0;

/// A running fleet; everything stops when dropped.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// Model engines by endpoint name.
    pub engines: IndexMap<Name, Engine>,
    /// Plain services by endpoint name.
    pub plains: IndexMap<Name, Plain>,
    /// The instances.
    pub daemons: Vec<Daemon>,
    objects: PathBuf,
}

impl Fleet {
    /// Starts a fleet for the objects of a directory and puts them in force.
    ///
    /// The addresses of endpoints in the files are replaced by those of the stand-ins.
    ///
    /// # Errors
    ///
    /// The objects cannot be read or are refused, or something cannot be started.
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
    /// The objects are refused, or not in force in time.
    pub fn apply(&self) -> anyhow::Result<()> {
        let dir = self.objects.display().to_string();
        self.siskinctl(&["apply", &dir, "--platform", &self.platform.address().to_string()])?;
        let (set, _) = siskinctl::files::load(&self.objects)?;
        wait_until(IN_FORCE, || {
            self.daemons.iter().all(|it| it.config().set == set && it.is_ready())
        })
        .context("the objects are not in force everywhere")
    }

    /// Runs the command line and returns what it printed.
    ///
    /// # Errors
    ///
    /// The command failed.
    pub fn siskinctl(&self, args: &[&str]) -> anyhow::Result<String> {
        let args = siskinctl::args::Args::try_parse_from(["siskinctl"].iter().chain(args))?;
        let mut out = Vec::new();
        let code = siskinctl::run(&args, &mut out)?;
        let text = String::from_utf8_lossy(&out).into_owned();
        match code {
            siskinctl::Code::Success => Ok(text),
            _ => bail!("siskinctl refused: {text}"),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.objects);
    }
}

/// Waits until `done` holds.
///
/// # Errors
///
/// It does not within `limit`.
pub fn wait_until(limit: Duration, done: impl Fn() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !done() {
        if start.elapsed() > limit {
            bail!("not within {limit:?}");
        }
        thread::sleep(POLL);
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

/// Copies object files with other endpoint addresses.
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
