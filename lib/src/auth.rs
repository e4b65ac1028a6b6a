//! Team credentials. The configuration holds only their SHA-256 digests, which are compared in
//! constant time.

use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use crate::config;
use crate::id;

/// Length of a SHA-256 digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// Returns the SHA-256 digest of a credential or request body.
pub fn digest(bytes: &[u8]) -> [u8; DIGEST_BYTES] {
    sha2::Sha256::digest(bytes).into()
}

/// Parses a SHA-256 digest from 64 hexadecimal digits; returns `None` for any other text.
pub fn parse_digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(digest)
}

/// Digests of all teams' credentials, decoded once per configuration.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    teams: Vec<(id::TeamId, [u8; DIGEST_BYTES])>,
}

impl Credentials {
    /// Decodes the digests of a configuration; a team with an invalid one is left out.
    pub fn new(config: &config::Config) -> Self {
        let teams = config
            .teams
            .iter()
            .filter_map(|(name, team)| Some((name.clone(), parse_digest(&team.credential_sha256)?)))
            .collect();
        Self { teams }
    }

    /// Returns the team of a credential, or `None` if it belongs to none.
    ///
    /// Compares all digests, so that the time taken does not reveal which one matched.
    pub fn team(&self, credential: &str) -> Option<&id::TeamId> {
        let given = digest(credential.as_bytes());
        let mut found = None;
        for (name, digest) in &self.teams {
            if bool::from(digest.ct_eq(&given)) {
                found = Some(name);
            }
        }
        found
    }
}
