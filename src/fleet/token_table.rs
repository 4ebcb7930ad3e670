//! Constant-time lookup of an account by its bearer token.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConditionallySelectable;
use subtle::ConstantTimeEq;

use super::compiled_entries::CompiledAccount;

/// Marks that no account was found; no table is that long.
const NOT_FOUND: u64 = u64::MAX;

/// A SHA-256 as four words: comparing words takes a tenth of the time of comparing
/// 32 bytes.
type TokenHash = [u64; 4];

/// The token hashes of all accounts, in the order of the accounts.
#[derive(Clone, Debug)]
pub(super) struct TokenTable {
    hashes: Vec<TokenHash>,
}

impl TokenTable {
    /// Decodes the hashes; validation has checked that each has 64 hexadecimal digits.
    pub(super) fn build(accounts: &[CompiledAccount]) -> Self {
        let hashes = accounts
            .iter()
            .map(|view| hash_words(&decode_hash(&view.account.token_sha256)))
            .collect();
        Self { hashes }
    }

    /// Returns the index of the account that the token belongs to.
    ///
    /// Every hash is compared, each in constant time, so the duration reveals neither
    /// the length of a matching prefix nor which account matched.
    pub(super) fn find(&self, token: &str) -> Option<usize> {
        let presented = hash_words(&Sha256::digest(token.as_bytes()).into());
        let mut found = NOT_FOUND;
        for (index, hash) in self.hashes.iter().enumerate() {
            let is_equal = difference(hash, &presented).ct_eq(&0);
            found.conditional_assign(&(index as u64), is_equal);
        }
        if found == NOT_FOUND {
            return None;
        }
        usize::try_from(found).ok()
    }
}

/// Returns 0 if the hashes are equal, without branching.
fn difference(left: &TokenHash, right: &TokenHash) -> u64 {
    let pairs = left.iter().zip(right);
    pairs.fold(0, |bits, (left, right)| bits | (left ^ right))
}

fn decode_hash(digits: &str) -> [u8; 32] {
    let mut hash = [0; 32];
    // An account whose hash can't be decoded is never found: no token is known to
    // hash to all zeros.
    let _ = hex::decode_to_slice(digits, &mut hash);
    hash
}

fn hash_words(hash: &[u8; 32]) -> TokenHash {
    let mut words = [0; 4];
    for (word, bytes) in words.iter_mut().zip(hash.chunks_exact(8)) {
        *word = bytes
            .iter()
            .fold(0, |word, byte| (word << 8) | u64::from(*byte));
    }
    words
}
