//! Library of bramleyshelf, a serving system for multi-stage model pipelines.
//!
//! The modules fall into two groups. The reducers ([`entry`], [`sidecar`], [`gateway`]) and the
//! modules that they use make all decisions: they are deterministic state machines without input,
//! output or clocks, and take random numbers only from a seed that is passed in. The shells
//! ([`entry_shell`], [`sidecar_shell`], [`gateway_shell`]) own the sockets and timers, pass events
//! to a reducer and carry out the effects that it returns.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod attempt_client;
pub mod auth;
pub mod batch;
pub mod caller_socket;
pub mod cancellation;
pub mod check;
pub mod claim;
pub mod clock;
pub mod cold;
pub mod config;
pub mod config_lease;
pub mod config_sync;
pub mod crash_report;
pub mod diagnostic;
pub mod dialect;
pub mod drop_guard;
pub mod engine_pace;
pub mod entry;
pub mod entry_http;
pub mod entry_shell;
pub mod evacuation;
pub mod event_stream;
pub mod fleet;
pub mod gateway;
pub mod gateway_calls;
pub mod gateway_http;
pub mod gateway_peers;
pub mod gateway_reads;
pub mod gateway_settings;
pub mod gateway_shell;
pub mod handoff;
pub mod http;
pub mod id;
pub mod instance_list;
pub mod key;
pub mod limit;
pub mod membership;
pub mod memory_budget;
pub mod operator;
pub mod order;
pub mod outlier;
pub mod owner_calls;
pub mod ownership;
pub mod peer;
pub mod placement;
pub mod plan;
pub mod pool_rate;
pub mod probe;
pub mod quarantine;
pub mod queue;

pub mod refusal;
pub mod registry;
pub mod relay;
pub mod request;
pub mod retry;
pub mod revision;
pub mod roster;
pub mod route_times;
pub mod routing;
pub mod server_connection;
pub mod settings;
pub mod shedding;
pub mod sidecar;
pub mod sidecar_http;
pub mod sidecar_shell;
pub mod stated_limits;
pub mod store;
pub mod store_era;
pub mod stream_log;
pub mod stream_versions;
pub mod table;
pub mod team;
pub mod telemetry;
pub mod template;
pub mod unit;
pub mod upstream;
pub mod upstream_notice;
pub mod upstream_pool;
pub mod wire;
