//! The parts of a prompt that requests share.

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a pool and the id of a part, identical on all hosts. Other pools run other engines, which
/// the part may not crash.
pub type PartKey = u64;
/// Hash of an account's name.
pub type AccountKey = u64;

/// Maximum number of parts of a request that are tracked; further ones are ignored.
const MAX_PARTS: usize = 256;
/// Maximum length of an id, in bytes; longer ones are ignored.
const MAX_ID_BYTES: usize = 64;

/// A part of a prompt that several requests may share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its id, in lower case.
    pub id: String,
    /// Its key.
    pub key: PartKey,
}

/// The parts of a request's prompt that other requests may share: all but the last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SharedParts {
    /// The account that sent the request.
    pub account: AccountKey,
    /// The parts in order, each once.
    pub parts: Vec<PromptPart>,
}

impl SharedParts {
    /// Reads a comma-separated list of `ID:TOKENS` entries. Entries without an id in hexadecimal are
    /// passed over, as the list is the caller's.
    pub fn parse(list: &str, pool: &str, account: &str) -> Self {
        let mut entries: Vec<&str> = list.split(',').collect();
        entries.pop();
        let mut parts: Vec<PromptPart> = Vec::new();
        let mut keys: Vec<PartKey> = Vec::new();
        for entry in entries {
            let id = entry_id(entry);
            if !is_valid_id(id) {
                continue;
            }
            let id = id.to_ascii_lowercase();
            let key = part_key(pool, &id);
            if let Err(index) = keys.binary_search(&key) {
                keys.insert(index, key);
                parts.push(PromptPart { id, key });
            }
            if parts.len() >= MAX_PARTS {
                break;
            }
        }
        Self {
            account: xxh3_64(account.as_bytes()),
            parts,
        }
    }

    /// Returns whether a part is among these.
    pub fn contains(&self, key: PartKey) -> bool {
        self.parts.iter().any(|part| part.key == key)
    }

    /// Returns the ids of the parts.
    pub fn ids(&self) -> Vec<String> {
        self.parts.iter().map(|part| part.id.clone()).collect()
    }
}

/// Returns the id of the last of comma-separated `ID:TOKENS` entries in its canonical form. That
/// part belongs to the request itself or to its session.
pub fn last_part(list: &str) -> Option<String> {
    list.rsplit(',')
        .next()
        .and_then(|entry| canonical_part(entry_id(entry)))
}

/// Returns an id in lower case without leading zeros, as targets write it; `None` if it is not
/// hexadecimal.
pub fn canonical_part(id: &str) -> Option<String> {
    if !is_valid_id(id) {
        return None;
    }
    let digits = id.trim_start_matches('0');
    Some(match digits.is_empty() {
        true => "0".to_owned(),
        false => digits.to_ascii_lowercase(),
    })
}

fn entry_id(entry: &str) -> &str {
    entry.split(':').next().unwrap_or_default().trim()
}

fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn part_key(pool: &str, id: &str) -> PartKey {
    let mut hasher = Xxh3::new();
    hasher.update(&(pool.len() as u64).to_le_bytes());
    hasher.update(pool.as_bytes());
    hasher.update(id.as_bytes());
    hasher.digest()
}
