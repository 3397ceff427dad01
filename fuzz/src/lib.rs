//! What the fuzz targets share.

use std::net::{Ipv4Addr, SocketAddr};

use siskinstile_platform::Codec;

/// Returns the platform's formats.
pub fn codec() -> Codec {
    Codec::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)))
}
