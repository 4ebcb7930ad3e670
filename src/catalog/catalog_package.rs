//! A catalog as hosts send it to each other: encoded and compressed.

use std::io::Read;
use std::io::Write;

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use bincode::config::Varint;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use super::CatalogParts;

/// The largest package, in bytes.
pub const MAX_PACKAGE_BYTES: usize = 2 << 20;
/// The largest catalog that a package may hold, in bytes; a faulty peer can't make a host
/// hold more.
const MAX_CATALOG_BYTES: usize = 16 << 20;

const CATALOG_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_CATALOG_BYTES>> =
    bincode::config::standard().with_limit::<MAX_CATALOG_BYTES>();

/// Encodes and compresses a catalog; empty if it is too large to be sent.
pub(super) fn pack_catalog(parts: &CatalogParts) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let encoded = bincode::serde::encode_to_vec(parts, CATALOG_CODEC);
    let written = encoded.is_ok_and(|encoded| encoder.write_all(&encoded).is_ok());
    match encoder.finish() {
        Ok(package) if written && package.len() <= MAX_PACKAGE_BYTES => package.into(),
        _ => Bytes::new(),
    }
}

/// Returns the catalog of a package; `None` if it is cut, malformed or too large.
pub fn unpack_catalog(package: &[u8]) -> Option<CatalogParts> {
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(package).take(MAX_CATALOG_BYTES as u64);
    decoder.read_to_end(&mut encoded).ok()?;
    let (parts, length) = bincode::serde::decode_from_slice(&encoded, CATALOG_CODEC).ok()?;
    (length == encoded.len()).then_some(parts)
}
