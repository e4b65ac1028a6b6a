//! What of a request may crash engines.

use crate::placement;

/// Bit that tells suspects that are requests from those that are parts.
const REQUEST_BIT: u64 = 1 << 63;

/// Returns the id under which a request with a digest is a suspect.
pub fn request_suspect(digest: u64) -> u64 {
    digest | REQUEST_BIT
}

/// Returns whether a suspect is a request, not a part.
pub fn is_request(suspect: u64) -> bool {
    suspect & REQUEST_BIT != 0
}

/// What of a prompt, or of a request without one, may crash engines.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Its parts, of which the last one belongs to the request itself; empty without a prompt.
    pub parts: &'a [placement::PromptPart],
    /// Digest of the whole request, the same for a request that is sent again; `None` if it is not
    /// known.
    pub content: Option<u64>,
}

impl<'a, P: AsRef<[placement::PromptPart]>> From<&'a P> for Prompt<'a> {
    fn from(parts: &'a P) -> Self {
        Self { parts: parts.as_ref(), content: None }
    }
}

impl Prompt<'_> {
    /// Returns the ids of the parts that other prompts may share, and that of the request.
    pub(super) fn suspects(&self) -> impl Iterator<Item = u64> + '_ {
        let parts = placement::shared_parts(self.parts).map(|part| part.id & !REQUEST_BIT);
        parts.chain(self.content.map(request_suspect))
    }

    /// Returns whether it is a request without a prompt.
    pub(super) fn is_plain(&self) -> bool {
        self.parts.is_empty()
    }
}
