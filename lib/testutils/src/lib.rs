//! Test utilities: stand-ins for the platform and the upstreams, clusters of real processes, soak
//! tests and benchmarks.
//!
//! Each stand-in is a small HTTP server. It accepts faults at run time (`POST /_fault`) and returns
//! what it received (`GET /_log`), so that a test can compare the calls that ran with the responses
//! that callers received.

pub mod bench;
pub mod cluster;
pub mod engine;
pub mod fault;
pub mod instances;
pub mod kv;
pub mod link;
pub mod model;
pub mod plain;
pub mod raw_server;
pub mod server;
pub mod soak;
pub mod values;
