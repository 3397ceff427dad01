//! Messages between two instances: reconnection, mutual TLS and the setting `tls`.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use crossbeam::channel::{Receiver, unbounded};
use rcgen::{CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rstest::rstest;
use siskinstile_core::{Event, object::Name};
use siskinstile_wire::{Body, message::member};
use siskinstiled::{
    peer::{Identity, Peers, tls::FLEET_NAME},
    settings::{Off, Peer, Tls, TlsFiles},
};

/// Time within which an expected message must arrive.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time for which a test checks that no message arrives.
const ABSENCE: Duration = Duration::from_millis(700);

struct Authority {
    dir: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Authority {
        let dir = std::env::temp_dir().join(format!("siskinstile-{:016x}", rand::random::<u64>()));
        fs::create_dir_all(&dir).unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
        Authority { dir, issuer }
    }

    /// Writes the files of an instance whose certificate contains `name`.
    fn issue(&self, file: &str, name: &str) -> TlsFiles {
        let names = vec![name.to_owned(), FLEET_NAME.to_owned()];
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(names).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let path = |suffix: &str| self.dir.join(format!("{file}.{suffix}"));
        fs::write(path("key"), key.serialize_pem()).unwrap();
        fs::write(path("crt"), certificate.pem()).unwrap();
        fs::write(path("ca"), self.issuer.as_ref().pem()).unwrap();
        TlsFiles { certificate: path("crt"), key: path("key"), authority: path("ca") }
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

struct Instance {
    peers: Peers,
    inbox: Receiver<Event>,
    _runtime: tokio::runtime::Runtime,
}

fn open_at(listen: SocketAddr, name: &str, tls: Tls) -> Instance {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let (events, inbox) = unbounded();
    let identity = Identity { name: name.into(), incarnation: 1 };
    let peers = Peers::bind(runtime.handle(), &Peer { listen, tls }, identity, events).unwrap();
    Instance { peers, inbox, _runtime: runtime }
}

fn open(name: &str, tls: Tls) -> Instance {
    open_at(SocketAddr::from(([127, 0, 0, 1], 0)), name, tls)
}

fn off() -> Tls {
    Tls::Off(Off::Off)
}

impl Instance {
    fn address(&self) -> Name {
        self.peers.address().to_string().into()
    }

    /// Sends messages until the peer has received one or `limit` has passed.
    ///
    /// Returns whether it has received one.
    fn reaches(&self, to: &Instance, limit: Duration) -> bool {
        let start = std::time::Instant::now();
        while start.elapsed() < limit {
            let kind = Some(member::Kind::Heartbeat(member::Heartbeat::default()));
            self.peers.send(&to.address(), Body::Member(member::Message { kind }));
            if to.inbox.recv_timeout(Duration::from_millis(50)).is_ok() {
                return true;
            }
        }
        false
    }
}

#[test]
fn peer_without_tls() {
    let (a, b) = (open("a", off()), open("b", off()));
    assert!(a.reaches(&b, MAX_WAIT));
    assert!(b.reaches(&a, MAX_WAIT));
}

#[test]
fn peer_reconnects() {
    let (a, b) = (open("a", off()), open("b", off()));
    assert!(a.reaches(&b, MAX_WAIT));
    let address = b.peers.address();
    drop(b);
    let restarted = open_at(address, "b", off());
    assert!(a.reaches(&restarted, MAX_WAIT));
}

/// Messages whose sender's name is not in its certificate are refused.
#[rstest]
#[case::own_name("a", true)]
#[case::other_name("c", false)]
fn peer_certificate_name(#[case] certified: &str, #[case] accepted: bool) {
    let authority = Authority::new();
    let a = open("a", Tls::Files(authority.issue("a", certified)));
    let b = open("b", Tls::Files(authority.issue("b", "b")));
    assert_eq!(a.reaches(&b, if accepted { MAX_WAIT } else { ABSENCE }), accepted);
}

/// Messages from an instance with another authority's certificate, or without TLS, are refused.
#[test]
fn peer_untrusted_refused() {
    let (authority, untrusted) = (Authority::new(), Authority::new());
    let b = open("b", Tls::Files(authority.issue("b", "b")));
    let other = open("a", Tls::Files(untrusted.issue("a", "a")));
    let plain = open("a", off());
    assert!(!other.reaches(&b, ABSENCE));
    assert!(!plain.reaches(&b, ABSENCE));
}

/// Changed certificate files are loaded without a restart.
#[test]
fn peer_certificate_reloaded() {
    let (old, new) = (Authority::new(), Authority::new());
    let files = old.issue("a", "a");
    let a = open("a", Tls::Files(files.clone()));
    let b = open("b", Tls::Files(new.issue("b", "b")));
    assert!(!a.reaches(&b, ABSENCE));
    let fresh = new.issue("a", "a");
    fs::copy(fresh.authority, files.authority).unwrap();
    fs::copy(fresh.key, files.key).unwrap();
    fs::copy(fresh.certificate, files.certificate).unwrap();
    assert!(a.reaches(&b, MAX_WAIT));
}

#[rstest]
#[case::off("tls = \"off\"", true)]
#[case::files("tls = { certificate = \"a\", key = \"b\", authority = \"c\" }", true)]
#[case::absent("", false)]
#[case::other_word("tls = \"on\"", false)]
fn peer_settings(#[case] tls: &str, #[case] valid: bool) {
    let text = format!(
        "[instance]\nname = \"a\"\ndatacentre = \"d\"\n[platform]\naddress = \"127.0.0.1:1\"\n\
         [peer]\nlisten = \"127.0.0.1:0\"\n{tls}\n"
    );
    assert_eq!(siskinstiled::Settings::parse(&text).is_ok(), valid);
}
