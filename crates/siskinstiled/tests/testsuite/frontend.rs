//! The listener for callers over TLS.

use std::sync::Arc;

use siskinstile_fakes::Platform;
use siskinstiled::{Daemon, Settings};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio_rustls::{
    TlsConnector,
    rustls::{ClientConfig, RootCertStore, pki_types::ServerName},
};

#[test]
fn frontend_over_tls() {
    let dir = std::env::temp_dir().join(format!("siskinstile-{:016x}", rand::random::<u64>()));
    std::fs::create_dir_all(&dir).unwrap();
    let certified = rcgen::generate_simple_self_signed(vec!["door".to_owned()]).unwrap();
    std::fs::write(dir.join("crt"), certified.cert.pem()).unwrap();
    std::fs::write(dir.join("key"), certified.signing_key.serialize_pem()).unwrap();
    let platform = Platform::spawn().unwrap();
    let settings = Settings::parse(&format!(
        "[instance]\nname = \"a\"\ndatacentre = \"d\"\n[platform]\naddress = \"{}\"\n\
         [admin]\nlisten = \"127.0.0.1:0\"\n[door]\nlisten = \"127.0.0.1:0\"\n\
         tls = {{ certificate = {:?}, key = {:?} }}\n",
        platform.address(),
        dir.join("crt"),
        dir.join("key"),
    ));
    let daemon = Daemon::spawn(&settings.unwrap()).unwrap();
    std::fs::remove_dir_all(&dir).unwrap();

    let mut roots = RootCertStore::empty();
    roots.add(certified.cert.der().clone()).unwrap();
    let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let response = runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(daemon.frontend()).await.unwrap();
        let name = ServerName::try_from("door").unwrap();
        let mut stream = TlsConnector::from(Arc::new(config)).connect(name, stream).await.unwrap();
        let request = b"GET /v1/models HTTP/1.1\r\nhost: door\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        String::from_utf8_lossy(&response).into_owned()
    });
    assert!(response.starts_with("HTTP/1.1 "), "{response}");
}
