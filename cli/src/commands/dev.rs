//! `bramleyshelf dev`: runs an entry, sidecars, a store and stand-in upstreams in one process, on
//! loopback.

use std::net;
use std::path;
use std::time;

use bpaf::Parser;
use bramleyshelf_lib::{
    check, config, entry_shell, gateway_settings, http, id, operator, settings, sidecar_shell,
    store, unit,
};
use bramleyshelf_testutils::{engine, instances, kv, model, plain, server};
use tokio::sync::watch;

use crate::commands;
use crate::failure;
use crate::output;
use crate::process;

/// Configuration that is used if no file is given.
const DEFAULT_CONFIG: &str = include_str!("../../../examples/takbaerer.json");
/// Number of upstreams that are started for each service.
const UPSTREAMS_PER_SERVICE: usize = 3;
/// Default of `--port`.
const DEFAULT_PORT: u16 = 8080;
/// Time that a stand-in engine takes for a token, and other stand-ins for a call.
const WORK_TIME: time::Duration = time::Duration::from_millis(10);
/// Calls that a stand-in runs concurrently.
const SLOTS: usize = 16;

/// Arguments of `dev`.
#[derive(Clone, Debug)]
pub struct DevArgs {
    /// Port for callers on loopback; 0 lets the system choose one.
    port: u16,
    file: Option<path::PathBuf>,
}

/// Parses the arguments of `dev`.
pub fn parser() -> impl Parser<DevArgs> {
    let port = bpaf::long("port")
        .help("Port for callers on 127.0.0.1; 0 chooses a free one")
        .argument::<u16>("PORT")
        .fallback(DEFAULT_PORT)
        .display_fallback();
    let file = bpaf::positional::<path::PathBuf>("FILE")
        .help("Configuration file in JSON; an example if absent")
        .optional();
    bpaf::construct!(DevArgs { port, file })
}

fn loopback(port: u16) -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, port).into()
}

/// Runs all parts until a stop signal arrives, then waits until all have stopped.
pub async fn run(args: DevArgs) -> Result<(), failure::Failure> {
    let text = match &args.file {
        Some(path) => commands::read_file(path)?,
        None => DEFAULT_CONFIG.to_owned(),
    };
    let config = check::parse(&text)?;
    let stand_ins = StandIns::start().await;
    let store = store::Etcd::new(&stand_ins.store_url());
    operator::apply(&store, &text, None, &commands::nonce()).await?;
    let callers = listen(loopback(args.port)).await?;
    let peers = listen(loopback(0)).await?;
    let peer_address = peers.local_addr().expect("a listener has an address");
    let (stop, stopping) = watch::channel(false);
    let mut upstreams = Vec::new();
    let mut sidecars = Vec::new();
    let mut listed = Vec::new();
    let domains = domains(&config);
    for (name, service) in &config.services {
        for number in 0..UPSTREAMS_PER_SERVICE {
            let domain = &domains[number % domains.len()];
            let upstream = start_upstream(service).await;
            let instance = format!("{name}-{number}");
            let listener = listen(loopback(0)).await?;
            let address = listener.local_addr().expect("a listener has an address");
            listed.push(instances::Instance {
                name: instance.clone(),
                service: name.to_string(),
                address,
                domain: domain.to_string(),
                leaving: false,
            });
            let settings = settings::SidecarSettings {
                instance: instance.parse().expect("a service's name and a number are a name"),
                listen: address,
                domain: domain.clone(),
                service: name.clone(),
                upstream: upstream.address,
                store: stand_ins.store_url(),
                peers: vec![peer_address],
                stop_ms: unit::Millis(2_000),
                capacity: gateway_settings::Capacity::default(),
            };
            let run = sidecar_shell::run_on(listener, settings, store.clone(), stopping.clone());
            sidecars.push(tokio::spawn(run));
            upstreams.push(upstream);
        }
    }
    stand_ins.instances.set(listed);
    let address = callers.local_addr().expect("a listener has an address");
    print_addresses(&config, address, &stand_ins)?;
    let settings = settings::EntrySettings {
        instance: "entry-0".parse().expect("the name is valid"),
        listen: address,
        peer_listen: peer_address,
        domain: domains[0].clone(),
        store: stand_ins.store_url(),
        instances: stand_ins.list_url(),
        peers: Vec::new(),
        notice_ms: unit::Millis(0),
        capacity: gateway_settings::Capacity::default(),
    };
    let listeners = entry_shell::Listeners { callers, peers };
    let entry = tokio::spawn(entry_shell::run_on(listeners, settings, store, stopping));
    let mut signal = process::stop_signal();
    // An error means that the signal task has ended, which also ends this command.
    let _ = signal.wait_for(|stop| *stop).await;
    stop.send_replace(true);
    for task in sidecars {
        let _ = task.await;
    }
    let _ = entry.await;
    drop(upstreams);
    Ok(())
}

async fn listen(address: net::SocketAddr) -> Result<tokio::net::TcpListener, failure::Failure> {
    http::listen(address).await.map_err(|source| failure::Failure::Listen { address, source })
}

/// Stand-ins for the store and the instance list that a deployment provides.
struct StandIns {
    store: server::Running,
    /// Server of the instance list.
    list: server::Running,
    instances: instances::InstanceList,
}

impl StandIns {
    async fn start() -> Self {
        let instances = instances::InstanceList::default();
        let list = server::start(loopback(0), instances.clone()).await;
        let store = server::start(loopback(0), kv::Kv::default()).await;
        Self { store, list, instances }
    }

    fn store_url(&self) -> String {
        format!("http://{}", self.store.address)
    }

    fn list_url(&self) -> String {
        format!("http://{}/apis/discovery.k8s.io/v1/endpointslices", self.list.address)
    }
}

fn domains(config: &config::Config) -> Vec<id::DomainId> {
    config.regions.values().flat_map(|region| region.domains.iter().cloned()).collect()
}

async fn start_upstream(service: &config::Service) -> server::Running {
    let address = loopback(0);
    match service.kind {
        config::Kind::Engine => server::start(address, engine::Engine::new(WORK_TIME, SLOTS)).await,
        config::Kind::Model => server::start(address, model::Model::new(WORK_TIME, SLOTS)).await,
        config::Kind::Plain => server::start(address, plain::Plain::new(WORK_TIME)).await,
    }
}

fn print_addresses(
    config: &config::Config,
    address: net::SocketAddr,
    stand_ins: &StandIns,
) -> Result<(), failure::Failure> {
    output::write_line(format_args!("store      {}", stand_ins.store_url()))?;
    output::write_line(format_args!("instances  {}", stand_ins.list_url()))?;
    for name in config.pipelines.keys() {
        output::write_line(format_args!("pipeline   http://{address}/pipelines/{name}"))?;
    }
    for (name, service) in &config.services {
        if service.public {
            output::write_line(format_args!("service    http://{address}/services/{name}"))?;
        }
    }
    output::write_line(format_args!("entry      http://{address}"))?;
    Ok(())
}
