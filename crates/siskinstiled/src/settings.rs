//! The daemon's settings, read from a TOML file and checked before anything starts.

mod check;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::Context as _;
use siskinstile_core::object::Name;
use siskinstile_macros::value;

/// The settings of one instance.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance itself.
    pub instance: Instance,
    /// The listener for callers.
    #[serde(rename = "door", default)]
    pub frontend: Frontend,
    /// The listener for operators.
    #[serde(default)]
    pub admin: Admin,
    /// The listener for other instances; without it the instance sends and hears no messages.
    #[serde(default)]
    pub peer: Option<Peer>,
    /// The platform.
    pub platform: Platform,
    /// What all instances share.
    #[serde(default)]
    pub fleet: Fleet,
}

/// Who the instance is.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: Name,
    /// Name of its data centre.
    pub datacentre: Name,
}

/// The listener for callers.
#[value(serde)]
#[serde(deny_unknown_fields, default, expecting = "struct Door")]
pub struct Frontend {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Most connections at once.
    pub max_connections: usize,
    /// Limit on the arrival of a request's head, in milliseconds.
    pub head_limit_ms: u64,
    /// Limit on the arrival of a request's body, in milliseconds.
    pub body_limit_ms: u64,
    /// Time without taking a byte after which a caller's connection is closed, in milliseconds.
    pub silence_limit_ms: u64,
    /// Certificate by which callers are served over TLS.
    pub tls: Option<Certificate>,
}

/// A certificate and its key, in PEM files that are read again when they change.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Certificate {
    /// File with the certificate and its chain.
    pub certificate: PathBuf,
    /// File with the private key.
    pub key: PathBuf,
}

/// The listener for other instances.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Address to listen on; the platform's list of instances has to show it.
    pub listen: SocketAddr,
    /// How instances prove who they are.
    pub tls: Tls,
}

/// How instances prove who they are to one another.
#[value(serde)]
#[serde(untagged)]
pub enum Tls {
    /// Not at all; written as `tls = "off"`.
    Off(Off),
    /// By certificates of the fleet.
    Files(TlsFiles),
}

/// The word that turns TLS off.
#[value(serde)]
#[serde(rename_all = "lowercase")]
pub enum Off {
    /// TLS is off.
    Off,
}

/// Certificates of the fleet, in PEM files that are read again when they change.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// File with the instance's certificate and its chain.
    pub certificate: PathBuf,
    /// File with the private key.
    pub key: PathBuf,
    /// File with the certificates of the fleet's authority.
    pub authority: PathBuf,
}

impl Default for Frontend {
    fn default() -> Frontend {
        Frontend {
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            max_connections: 1_024,
            head_limit_ms: 10_000,
            body_limit_ms: 10_000,
            silence_limit_ms: 10_000,
            tls: None,
        }
    }
}

impl Frontend {
    /// Returns the limit on the arrival of a request's head.
    pub fn head_limit(&self) -> Duration {
        Duration::from_millis(self.head_limit_ms)
    }

    /// Returns the limit on the arrival of a request's body.
    pub fn body_limit(&self) -> Duration {
        Duration::from_millis(self.body_limit_ms)
    }

    /// Returns the time without taking a byte after which a caller's connection is closed.
    pub fn silence_limit(&self) -> Duration {
        Duration::from_millis(self.silence_limit_ms)
    }
}

/// The listener for operators.
#[value(serde)]
#[serde(deny_unknown_fields, default)]
pub struct Admin {
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl Default for Admin {
    fn default() -> Admin {
        Admin { listen: SocketAddr::from(([127, 0, 0, 1], 8081)) }
    }
}

/// The platform's object API.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
}

/// What all instances share.
#[value(serde)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of instances among which rates are split.
    pub size: u64,
    /// Milliseconds that the balancer takes to stop sending to an instance that is not ready.
    pub balancer_lag_ms: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { size: 6, balancer_lag_ms: 2_000 }
    }
}

impl Fleet {
    /// Returns the time that the balancer takes to stop sending to an instance that is not ready.
    pub fn balancer_lag(&self) -> Duration {
        Duration::from_millis(self.balancer_lag_ms)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the line and what would be right.
    pub fn open(path: &Path) -> anyhow::Result<Settings> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("cannot read settings {}", path.display()))?;
        Settings::parse(&text).with_context(|| format!("settings {}", path.display()))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the line and what would be right.
    pub fn parse(text: &str) -> anyhow::Result<Settings> {
        let settings: Settings = toml::from_str(text)?;
        check::check(&settings, text)?;
        Ok(settings)
    }
}
