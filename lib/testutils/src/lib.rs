//! Stand-ins for the platform and the upstreams, each a small HTTP server.
//!
//! All of them take faults at run time (`POST /_fault`) and tell what they received (`GET /_log`),
//! so that a test can compare what ran with what callers were told.

pub mod bench;
pub mod cluster;
pub mod engine;
pub mod fault;
pub mod instances;
pub mod kv;
pub mod link;
pub mod model;
pub mod plain;
pub mod server;
pub mod soak;
pub mod values;
