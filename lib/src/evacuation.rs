//! Evacuated failure domains: which ones reads of the store state, and which of these reads count.
//!
//! Decisions only, without input or output. `gateway_reads` feeds it with reads; nothing else imports
//! it. The reducer gets the resulting set with each read, and [`crate::fleet`] leaves the upstreams of
//! these domains out.

mod tracker;

pub use tracker::Tracker;
