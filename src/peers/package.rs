//! Packages: large values encoded and compressed for transfer between hosts in chunks.

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
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a package, compressed.
pub(crate) const MAX_PACKAGE_BYTES: usize = 2 << 20;
/// Maximum size of the value in a package, decompressed; a faulty peer can't make a host
/// allocate more.
const MAX_VALUE_BYTES: usize = 16 << 20;

const VALUE_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_VALUE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_VALUE_BYTES>();

/// Encodes and compresses a value; returns no bytes if it is too large to be sent.
pub(crate) fn pack_value<T: Serialize>(value: &T) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let encoded = bincode::serde::encode_to_vec(value, VALUE_CODEC);
    let written = encoded.is_ok_and(|encoded| encoder.write_all(&encoded).is_ok());
    match encoder.finish() {
        Ok(package) if written && package.len() <= MAX_PACKAGE_BYTES => package.into(),
        _ => Bytes::new(),
    }
}

/// Decodes the value of a package; `None` if it is truncated, malformed or too large.
pub(crate) fn unpack_value<T: DeserializeOwned>(package: &[u8]) -> Option<T> {
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(package).take(MAX_VALUE_BYTES as u64);
    decoder.read_to_end(&mut encoded).ok()?;
    let (value, length) = bincode::serde::decode_from_slice(&encoded, VALUE_CODEC).ok()?;
    (length == encoded.len()).then_some(value)
}
