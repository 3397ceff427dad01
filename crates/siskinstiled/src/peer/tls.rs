//! TLS with certificates from files that are read again when they change.
//!
//! A certificate of the fleet bears two names: that of its instance, which has to be the sender's
//! name in each message, and [`FLEET_NAME`], by which a connecting instance knows that the other
//! end belongs to the fleet.

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

/// The name that every certificate of the fleet bears beside its instance's.
pub const FLEET_NAME: &str = "siskinstile-peer";
/// Time between two looks at the files.
const REREAD: Duration = Duration::from_secs(2);

/// How connections are protected.
#[derive(Clone)]
pub enum Mode {
    /// Not at all, by an explicit setting.
    Off,
    /// By mutual TLS.
    On(Arc<Tls>),
}

/// Both directions of mutual TLS.
pub struct Tls {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

/// The certificate of the other end, which has been verified.
pub(super) struct Certificate(CertificateDer<'static>);

impl Certificate {
    /// Returns whether the certificate bears `name`.
    pub(super) fn names(&self, name: &str) -> bool {
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

/// Reads the certificates and goes on to read them when they change.
///
/// # Errors
///
/// A file cannot be read or holds something else.
pub fn open(runtime: &Handle, wanted: &settings::Tls) -> anyhow::Result<watch::Receiver<Mode>> {
    match wanted {
        settings::Tls::Off(_) => {
            let (sender, receiver) = watch::channel(Mode::Off);
            // Connections end with the sender, which lives as long as someone listens.
            runtime.spawn(async move { sender.closed().await });
            Ok(receiver)
        }
        settings::Tls::Files(files) => follow(runtime, files.clone(), read_peer),
    }
}

/// Reads the certificate of the callers' listener and goes on to read it when it changes.
///
/// # Errors
///
/// A file cannot be read or holds something else.
pub fn open_frontend(
    runtime: &Handle,
    files: &settings::Certificate,
) -> anyhow::Result<watch::Receiver<TlsAcceptor>> {
    follow(runtime, files.clone(), read_frontend)
}

/// Files that a TLS configuration is read from.
trait Files: Clone + Send + Sync + 'static {
    /// Returns the content of all of them.
    fn content(&self) -> anyhow::Result<Vec<Vec<u8>>>;
}

impl Files for settings::TlsFiles {
    fn content(&self) -> anyhow::Result<Vec<Vec<u8>>> {
        [&self.certificate, &self.key, &self.authority].into_iter().map(|it| read(it)).collect()
    }
}

impl Files for settings::Certificate {
    fn content(&self) -> anyhow::Result<Vec<Vec<u8>>> {
        [&self.certificate, &self.key].into_iter().map(|it| read(it)).collect()
    }
}

fn read(path: &Path) -> anyhow::Result<Vec<u8>> {
    fs::read(path).with_context(|| format!("cannot read {}", path.display()))
}

/// Reads files now, and again for as long as someone listens; what cannot be read changes nothing.
fn follow<F: Files, T: Send + Sync + 'static>(
    runtime: &Handle,
    files: F,
    build: fn(&[Vec<u8>]) -> anyhow::Result<T>,
) -> anyhow::Result<watch::Receiver<T>> {
    let mut content = files.content()?;
    let (sender, receiver) = watch::channel(build(&content)?);
    runtime.spawn(async move {
        while !sender.is_closed() {
            time::sleep(REREAD).await;
            let Ok(fresh) = files.content() else { continue };
            if fresh == content {
                continue;
            }
            content = fresh;
            match build(&content) {
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

fn read_peer(content: &[Vec<u8>]) -> anyhow::Result<Mode> {
    let [certificate, key, authority] = content else { bail!("three files are needed") };
    let (chain, key) = identity(certificate, key)?;
    let mut roots = RootCertStore::empty();
    for root in certificates(authority)? {
        roots.add(root).context("a certificate of the authority")?;
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

fn read_frontend(content: &[Vec<u8>]) -> anyhow::Result<TlsAcceptor> {
    let [certificate, key] = content else { bail!("two files are needed") };
    let (chain, key) = identity(certificate, key)?;
    let config = ServerConfig::builder().with_no_client_auth().with_single_cert(chain, key)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn identity(
    certificate: &[u8],
    key: &[u8],
) -> anyhow::Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)> {
    let key = rustls_pemfile::private_key(&mut &*key)?.context("no private key in the key file")?;
    Ok((certificates(certificate)?, key))
}

fn certificates(text: &[u8]) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let found: Vec<_> = rustls_pemfile::certs(&mut &*text).collect::<Result<_, _>>()?;
    if found.is_empty() {
        bail!("no certificate in the file");
    }
    Ok(found)
}
