//! Runs one stand-in as a process of its own: `standin KIND ADDRESS [MILLISECONDS] [SLOTS]`.
//!
//! The kinds are `kv`, `instances`, `engine`, `model` and `plain`. `MILLISECONDS` is the time for
//! one token of an engine, or for one call of a model or plain service. `SLOTS` is the number of
//! requests that an engine or model runs concurrently.

use std::env;
use std::net;
use std::time;

use bramleyshelf_testutils::{engine, instances, kv, model, plain, server};

const USAGE: &str = "standin kv|instances|engine|model|plain ADDRESS [MILLISECONDS] [SLOTS]";
const DEFAULT_MILLIS: u64 = 5;
const DEFAULT_SLOTS: usize = 16;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    env_logger::init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let kind = arguments.first().expect(USAGE).as_str();
    let address: net::SocketAddr =
        arguments.get(1).and_then(|text| text.parse().ok()).expect(USAGE);
    let millis = arguments.get(2).map_or(DEFAULT_MILLIS, |text| text.parse().expect(USAGE));
    let slots = arguments.get(3).map_or(DEFAULT_SLOTS, |text| text.parse().expect(USAGE));
    let pause = time::Duration::from_millis(millis);
    let running = match kind {
        "kv" => server::start(address, kv::Kv::default()).await,
        "instances" => server::start(address, instances::InstanceList::default()).await,
        "engine" => server::start(address, engine::Engine::new(pause, slots)).await,
        "model" => server::start(address, model::Model::new(pause, slots)).await,
        "plain" => server::start(address, plain::Plain::new(pause)).await,
        _ => panic!("{USAGE}"),
    };
    println!("{kind} on {}", running.address);
    std::future::pending::<()>().await;
}
