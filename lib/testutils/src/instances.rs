//! Stand-in for the platform's list of instances, a Kubernetes `EndpointSliceList`.

use std::collections;
use std::net;
use std::sync;

use bramleyshelf_lib::http;
use tokio::sync::watch;

use crate::server;

/// An instance in the list.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Name of the service that the instance belongs to.
    pub service: String,
    /// Address of the instance's sidecar.
    pub address: net::SocketAddr,
    /// Failure domain, listed as the zone of the endpoint.
    pub domain: String,
    /// Whether the instance is listed as terminating.
    #[serde(default)]
    pub leaving: bool,
}

/// Endpoint slices by name.
type Slices = collections::BTreeMap<String, serde_json::Value>;

/// Stand-in for the list, which can be read and watched; `PUT /instances` replaces its content.
#[derive(Clone, Debug)]
pub struct InstanceList {
    /// All contents of the list so far; the resource version is an index into it.
    history: sync::Arc<sync::Mutex<Vec<Vec<Instance>>>>,
    /// Current resource version; wakes the watches.
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
    /// Replaces the content of the list.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn set(&self, instances: Vec<Instance>) {
        let mut history = self.history.lock().expect("no holder panics");
        history.push(instances);
        self.version.send_replace(history.len() - 1);
    }

    fn slices(&self, version: usize) -> Slices {
        // All endpoints of a slice share its ports, but each sidecar may have a different one. So
        // there is one slice for each service and port.
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
            let key = (instance.service.clone(), instance.address.port());
            endpoints.entry(key).or_default().push(endpoint);
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

    /// Sends the changes since a version, and then each further change as it happens.
    async fn send_changes(self, mut sender: http::BodySender, mut sent_version: usize) {
        let mut version = self.version.subscribe();
        loop {
            let current = *version.borrow_and_update();
            let (old, new) = (self.slices(sent_version), self.slices(current));
            sent_version = current;
            let deleted = old.iter().filter(|(name, _)| !new.contains_key(*name));
            let deleted = deleted.map(|(_, slice)| ("DELETED", slice));
            let changed = new.iter().filter(|(name, slice)| old.get(*name) != Some(slice));
            let changed = changed.map(|(_, slice)| ("MODIFIED", slice));
            for (kind, slice) in deleted.chain(changed) {
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
