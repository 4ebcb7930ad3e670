//! The digest that peers compare to check that they hold the same document.

use sha2::Digest;
use sha2::Sha256;

use super::FleetDocument;

/// The SHA-256 of a document's canonical JSON.
pub type DocumentDigest = [u8; 32];

/// Returns the SHA-256 of the document's canonical JSON.
///
/// The typed document is serialized without whitespace, with fields in
/// declaration order, labels sorted and defaults filled in, so two texts with
/// the same content have the same digest.
pub fn document_digest(document: &FleetDocument) -> DocumentDigest {
    // Serialization can't fail: the document holds only strings, numbers and lists.
    let canonical = serde_json::to_vec(document).unwrap_or_default();
    Sha256::digest(&canonical).into()
}
