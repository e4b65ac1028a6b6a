//! Decides what is delayed or turned away when more work is queued than can be done in time, by
//! what that costs callers.
//!
//! Load pattern: for seconds, 2.5 times the usual number of requests arrive. Any capacity that goes
//! to a request which then misses its deadline is lost to another one, and its caller has waited in
//! vain. The modules answer three questions: what a request loses if it is shed ([`loss`]), which
//! queued groups can still be on time and which have to yield or be given up ([`plan`]), and which
//! new requests are admitted ([`arrival`], and [`shares`] for the balance between ranks).
//!
//! All decisions are pure. [`crate::batch`] and [`crate::gateway`] import these modules; these
//! modules import neither of them.

pub mod arrival;
pub mod loss;
pub mod plan;
pub mod shares;

/// Rule by which requests are delayed or turned away under overload.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Overload {
    /// By due time: requests that can be on time come first, and late ones wait until their
    /// deadline.
    #[default]
    Due,
    /// By the loss of callers per unit of work. Requests that cannot be answered before their
    /// deadline are refused as soon as that is known.
    Loss,
}
