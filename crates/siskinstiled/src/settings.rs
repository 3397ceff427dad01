//! The daemon's settings, read from a TOML file and validated before anything starts.

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
    /// Identity of the instance.
    pub instance: Instance,
    /// The listener for callers.
    #[serde(rename = "door", default)]
    pub frontend: Frontend,
    /// The listener for operators.
    #[serde(default)]
    pub admin: Admin,
    /// The listener for other instances; without it, no messages are sent or received.
    #[serde(default)]
    pub peer: Option<Peer>,
    /// The platform's object API.
    pub platform: Platform,
    /// Properties of the fleet, which are the same for all instances.
    #[serde(default)]
    pub fleet: Fleet,
}

/// Identity of the instance.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the instance, unique within the fleet.
    pub name: Name,
    /// Name of the data centre that the instance runs in.
    pub datacentre: Name,
}

/// The listener for callers.
#[value(serde)]
#[serde(
    deny_unknown_fields,
    default,
    expecting = "a table with the settings of the listener for callers"
)]
pub struct Frontend {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Time limit on receiving the head of a request and on the TLS handshake, in milliseconds.
    pub head_limit_ms: u64,
    /// Time limit on receiving the body of a request, in milliseconds.
    pub body_limit_ms: u64,
    /// Time after which a connection is closed if its caller accepts no bytes, in milliseconds.
    pub silence_limit_ms: u64,
    /// Certificate of the listener; without it, callers are served over plain HTTP.
    pub tls: Option<Certificate>,
}

/// A certificate and its key, in PEM files that are reloaded when they change.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Certificate {
    /// Path of the certificate and its chain.
    pub certificate: PathBuf,
    /// Path of the private key.
    pub key: PathBuf,
}

/// The listener for other instances.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Address to listen on, which must be the one in the platform's list of instances.
    pub listen: SocketAddr,
    /// Mutual authentication of instances.
    pub tls: Tls,
}

/// Mutual authentication of instances.
#[value(serde)]
#[serde(untagged)]
pub enum Tls {
    /// No authentication and no encryption; written as `tls = "off"`.
    Off(Off),
    /// TLS with certificates of the fleet.
    Files(TlsFiles),
}

/// The value `"off"` of the setting `tls`.
#[value(serde)]
#[serde(rename_all = "lowercase")]
pub enum Off {
    /// No TLS.
    Off,
}

/// Certificates of the fleet, in PEM files that are reloaded when they change.
#[value(serde)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Path of the instance's certificate and its chain.
    pub certificate: PathBuf,
    /// Path of the private key.
    pub key: PathBuf,
    /// Path of the certificates of the fleet's certificate authority.
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
    /// Returns the time limit on receiving the head of a request.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_limit_ms)
    }

    /// Returns the time limit on receiving the body of a request.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_limit_ms)
    }

    /// Returns the time after which a connection is closed if its caller accepts no bytes.
    pub fn write_timeout(&self) -> Duration {
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
    /// Address of the API.
    pub address: SocketAddr,
}

/// Properties of the fleet, which are the same for all instances.
#[value(serde)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of instances that the first start of the fleet waits for before it divides the teams'
    /// rates among them.
    pub size: u64,
    /// Time that the load balancer takes to stop sending to an unready instance, in milliseconds.
    pub balancer_lag_ms: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { size: 6, balancer_lag_ms: 2_000 }
    }
}

impl Fleet {
    /// Returns the time that the load balancer takes to stop sending to an unready instance.
    pub fn balancer_lag(&self) -> Duration {
        Duration::from_millis(self.balancer_lag_ms)
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid; the message gives the file, the line and the valid
    /// values.
    pub fn open(path: &Path) -> anyhow::Result<Settings> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("cannot read settings {}", path.display()))?;
        Settings::parse(&text).with_context(|| format!("settings {}", path.display()))
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// The text is invalid; the message gives the line and the valid values.
    pub fn parse(text: &str) -> anyhow::Result<Settings> {
        let settings: Settings = toml::from_str(text)?;
        check::check(&settings, text)?;
        Ok(settings)
    }
}
