//! TLS with certificates from files that are reloaded when they change.
//!
//! A certificate of the fleet contains two names: the name of its instance, which must be the
//! sender's name in each message, and [`FLEET_NAME`], by which a connecting instance verifies that
//! the peer belongs to the fleet.

use std::{fs, io, path::Path, sync::Arc, time::Duration};

use anyhow::{Context as _, bail};
use siskinstile_core::log as events;
use tokio::{net::TcpStream, runtime::Handle, sync::watch, time};
use tokio_rustls::{
    TlsAcceptor, TlsConnector,
    rustls::{
        ClientConfig, RootCertStore, ServerConfig,
        client::verify_server_name,
        pki_types::{CertificateDer, PrivateKeyDer, ServerName},
        server::{ParsedCertificate, WebPkiClientVerifier},
    },
};

use crate::settings;

/// Name that every certificate of the fleet contains in addition to the name of its instance.
pub const FLEET_NAME: &str = "siskinstile-peer";
/// Interval at which the files are checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Protection of connections between instances.
#[derive(Clone)]
pub enum Mode {
    /// Plain TCP, by an explicit setting.
    Off,
    /// Mutual TLS.
    On(Arc<Tls>),
}

/// Mutual TLS for outgoing and accepted connections.
pub struct Tls {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

/// The verified certificate of a peer.
pub(super) struct Certificate(CertificateDer<'static>);

impl Certificate {
    /// Returns whether the certificate is valid for `name`.
    pub(super) fn matches_name(&self, name: &str) -> bool {
        let (Ok(parsed), Ok(name)) =
            (ParsedCertificate::try_from(&self.0), ServerName::try_from(name))
        else {
            return false;
        };
        verify_server_name(&parsed, &name).is_ok()
    }
}

impl Tls {
    pub(super) async fn connect(
        &self,
        stream: TcpStream,
    ) -> io::Result<tokio_rustls::client::TlsStream<TcpStream>> {
        let name = ServerName::try_from(FLEET_NAME).map_err(io::Error::other)?;
        self.connector.connect(name, stream).await
    }

    pub(super) async fn accept(
        &self,
        stream: TcpStream,
    ) -> io::Result<(tokio_rustls::server::TlsStream<TcpStream>, Certificate)> {
        let stream = self.acceptor.accept(stream).await?;
        let chain = stream.get_ref().1.peer_certificates().unwrap_or_default();
        let first = chain.first().ok_or_else(|| io::Error::other("no certificate"))?;
        let certificate = Certificate(first.clone().into_owned());
        Ok((stream, certificate))
    }
}

/// Loads the certificates for connections between instances, and reloads them when they change.
///
/// # Errors
///
/// A file cannot be read, or its content is invalid.
pub fn load(runtime: &Handle, setting: &settings::Tls) -> anyhow::Result<watch::Receiver<Mode>> {
    match setting {
        settings::Tls::Off(_) => {
            let (sender, receiver) = watch::channel(Mode::Off);
            // Dropping the sender would close the connections, so the task holds it until the last
            // receiver is dropped.
            runtime.spawn(async move { sender.closed().await });
            Ok(receiver)
        }
        settings::Tls::Files(files) => reload_on_change(runtime, files.clone(), build_mode),
    }
}

/// Loads the certificate of the listener for callers, and reloads it when it changes.
///
/// # Errors
///
/// A file cannot be read, or its content is invalid.
pub fn load_frontend(
    runtime: &Handle,
    files: &settings::Certificate,
) -> anyhow::Result<watch::Receiver<TlsAcceptor>> {
    reload_on_change(runtime, files.clone(), build_acceptor)
}

/// The files of a TLS configuration.
trait Files: Clone + Send + Sync + 'static {
    /// Returns the contents of all files, in the order that the build function expects.
    fn contents(&self) -> anyhow::Result<Vec<Vec<u8>>>;
}

impl Files for settings::TlsFiles {
    fn contents(&self) -> anyhow::Result<Vec<Vec<u8>>> {
        [&self.certificate, &self.key, &self.authority]
            .into_iter()
            .map(|it| read_file(it))
            .collect()
    }
}

impl Files for settings::Certificate {
    fn contents(&self) -> anyhow::Result<Vec<Vec<u8>>> {
        [&self.certificate, &self.key].into_iter().map(|it| read_file(it)).collect()
    }
}

fn read_file(path: &Path) -> anyhow::Result<Vec<u8>> {
    fs::read(path).with_context(|| format!("cannot read {}", path.display()))
}

/// Builds a value from files, and again when they change, as long as there is a receiver.
///
/// Files that cannot be read or used leave the last value in place.
fn reload_on_change<F: Files, T: Send + Sync + 'static>(
    runtime: &Handle,
    files: F,
    build: fn(&[Vec<u8>]) -> anyhow::Result<T>,
) -> anyhow::Result<watch::Receiver<T>> {
    let mut contents = files.contents()?;
    let (sender, receiver) = watch::channel(build(&contents)?);
    runtime.spawn(async move {
        while !sender.is_closed() {
            time::sleep(POLL_INTERVAL).await;
            let Ok(fresh) = files.contents() else { continue };
            if fresh == contents {
                continue;
            }
            contents = fresh;
            match build(&contents) {
                Ok(built) => {
                    sender.send_replace(built);
                    events::Record::new(events::CERTIFICATES_RELOADED, "").write();
                }
                Err(error) => {
                    let detail = format!("{error:#}");
                    events::Record::new(events::CERTIFICATES_UNREADABLE, detail).write();
                }
            }
        }
    });
    Ok(receiver)
}

fn build_mode(contents: &[Vec<u8>]) -> anyhow::Result<Mode> {
    let [certificate, key, authority] = contents else { bail!("three files are needed") };
    let (chain, key) = parse_identity(certificate, key)?;
    let mut roots = RootCertStore::empty();
    for root in parse_certificates(authority)? {
        roots.add(root).context("invalid certificate of the authority")?;
    }
    let roots = Arc::new(roots);
    let verifier = WebPkiClientVerifier::builder(roots.clone()).build()?;
    let server = ServerConfig::builder()
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    let client =
        ClientConfig::builder().with_root_certificates(roots).with_client_auth_cert(chain, key)?;
    let connector = TlsConnector::from(Arc::new(client));
    let acceptor = TlsAcceptor::from(Arc::new(server));
    Ok(Mode::On(Arc::new(Tls { connector, acceptor })))
}

fn build_acceptor(contents: &[Vec<u8>]) -> anyhow::Result<TlsAcceptor> {
    let [certificate, key] = contents else { bail!("two files are needed") };
    let (chain, key) = parse_identity(certificate, key)?;
    let config = ServerConfig::builder().with_no_client_auth().with_single_cert(chain, key)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn parse_identity(
    certificate: &[u8],
    key: &[u8],
) -> anyhow::Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)> {
    let key = rustls_pemfile::private_key(&mut &*key)?.context("no private key in the key file")?;
    Ok((parse_certificates(certificate)?, key))
}

fn parse_certificates(text: &[u8]) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let found: Vec<_> = rustls_pemfile::certs(&mut &*text).collect::<Result<_, _>>()?;
    if found.is_empty() {
        bail!("no certificate in the file");
    }
    Ok(found)
}
