//! The platform's list of instances, as a Kubernetes `EndpointSliceList`.

use std::collections;
use std::net;
use std::sync;

use bramleyshelf_lib::http;
use tokio::sync::watch;

use crate::server;

/// An instance of the list.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Service of the instance.
    pub service: String,
    /// Address of its sidecar.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// Slices by name.
type Slices = collections::BTreeMap<String, serde_json::Value>;

/// Stand-in for the list; `PUT /instances` replaces its content. It can be read and watched.
#[derive(Clone, Debug)]
pub struct InstanceList {
    /// Every content that the list ever had; a version is a position in it.
    history: sync::Arc<sync::Mutex<Vec<Vec<Instance>>>>,
    version: watch::Sender<usize>,
}

impl Default for InstanceList {
    fn default() -> Self {
        Self {
            history: sync::Arc::new(sync::Mutex::new(vec![Vec::new()])),
            version: watch::Sender::new(0),
        }
    }
}

impl InstanceList {
    /// Replaces the content.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn set(&self, instances: Vec<Instance>) {
        let mut history = self.history.lock().expect("no holder panics");
        history.push(instances);
        self.version.send_replace(history.len() - 1);
    }

    fn slices(&self, version: usize) -> Slices {
        // Each sidecar may have a port of its own, so that a slice holds one service and port.
        let mut endpoints: collections::BTreeMap<(String, u16), Vec<serde_json::Value>> =
            collections::BTreeMap::new();
        let history = self.history.lock().expect("no holder panics");
        for instance in history.get(version).into_iter().flatten() {
            let endpoint = serde_json::json!({
                "addresses": [instance.address.ip()],
                "conditions": {
                    "ready": !instance.leaving, "serving": true, "terminating": instance.leaving,
                },
                "zone": instance.domain,
                "targetRef": { "kind": "Pod", "name": instance.name },
            });
            let place = (instance.service.clone(), instance.address.port());
            endpoints.entry(place).or_default().push(endpoint);
        }
        let slices = endpoints.into_iter().map(|((service, port), endpoints)| {
            let name = format!("{service}-{port}");
            let slice = serde_json::json!({
                "metadata": {
                    "name": name, "labels": { "kubernetes.io/service-name": service },
                },
                "addressType": "IPv4",
                "endpoints": endpoints,
                "ports": [{ "name": "sidecar", "port": port, "protocol": "TCP" }],
            });
            (name, slice)
        });
        slices.collect()
    }

    fn to_list(&self) -> serde_json::Value {
        let version = *self.version.borrow();
        let items: Vec<_> = self.slices(version).into_values().collect();
        serde_json::json!({
            "kind": "EndpointSliceList",
            "apiVersion": "discovery.k8s.io/v1",
            "metadata": { "resourceVersion": version.to_string() },
            "items": items,
        })
    }

    /// Sends what changed since a version, and goes on with each further change.
    async fn send_changes(self, mut sender: http::BodySender, mut seen: usize) {
        let mut version = self.version.subscribe();
        loop {
            let now = *version.borrow_and_update();
            let (old, new) = (self.slices(seen), self.slices(now));
            seen = now;
            let gone = old.iter().filter(|(name, _)| !new.contains_key(*name));
            let gone = gone.map(|(_, slice)| ("DELETED", slice));
            let changed = new.iter().filter(|(name, slice)| old.get(*name) != Some(slice));
            let changed = changed.map(|(_, slice)| ("MODIFIED", slice));
            for (kind, slice) in gone.chain(changed) {
                let event = serde_json::json!({ "type": kind, "object": slice });
                if !sender.send(format!("{event}\n").into()).await {
                    return;
                }
            }
            tokio::select! {
                change = version.changed() => if change.is_err() { return },
                () = sender.closed() => return,
            }
        }
    }
}

impl server::StandIn for InstanceList {
    async fn respond(&self, request: server::Request) -> server::Response {
        if request.method == hyper::Method::PUT {
            return match serde_json::from_slice(&request.body) {
                Ok(instances) => {
                    self.set(instances);
                    server::Response::Json(200, serde_json::json!({}))
                }
                Err(e) => server::Response::Text(400, e.to_string()),
            };
        }
        if request.query.contains("watch=true") {
            let version = request.query.split("resourceVersion=").nth(1).unwrap_or_default();
            let (sender, body) = http::Body::stream(16);
            tokio::spawn(self.clone().send_changes(sender, version.parse().unwrap_or(0)));
            return server::Response::Body(body);
        }
        server::Response::Json(200, self.to_list())
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!(self.history.lock().expect("no holder panics").last())
    }
}
