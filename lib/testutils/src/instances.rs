//! The platform's list of instances, as a Kubernetes `EndpointSliceList`.

use std::collections;
use std::net;
use std::sync;

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

/// Stand-in for the list; `PUT /instances` replaces its content.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    instances: sync::Arc<sync::Mutex<Vec<Instance>>>,
}

impl Instances {
    /// Replaces the content.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn set(&self, instances: Vec<Instance>) {
        *self.instances.lock().expect("no holder panics") = instances;
    }

    fn to_list(&self) -> serde_json::Value {
        // Each sidecar may have a port of its own, so that a slice holds one service and port.
        let mut slices: collections::BTreeMap<(String, u16), Vec<serde_json::Value>> =
            collections::BTreeMap::new();
        for instance in &*self.instances.lock().expect("no holder panics") {
            let endpoint = serde_json::json!({
                "addresses": [instance.address.ip()],
                "conditions": {
                    "ready": !instance.leaving, "serving": true, "terminating": instance.leaving,
                },
                "zone": instance.domain,
                "targetRef": { "kind": "Pod", "name": instance.name },
            });
            let place = (instance.service.clone(), instance.address.port());
            slices.entry(place).or_default().push(endpoint);
        }
        let items: Vec<_> = slices
            .into_iter()
            .map(|((service, port), endpoints)| {
                serde_json::json!({
                    "metadata": { "labels": { "kubernetes.io/service-name": service } },
                    "addressType": "IPv4",
                    "endpoints": endpoints,
                    "ports": [{ "name": "sidecar", "port": port, "protocol": "TCP" }],
                })
            })
            .collect();
        serde_json::json!({
            "kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1", "items": items,
        })
    }
}

impl server::Work for Instances {
    async fn answer(&self, request: server::Request) -> server::Answer {
        if request.method == hyper::Method::PUT {
            return match serde_json::from_slice(&request.body) {
                Ok(instances) => {
                    self.set(instances);
                    server::Answer::Json(200, serde_json::json!({}))
                }
                Err(e) => server::Answer::Text(400, e.to_string()),
            };
        }
        server::Answer::Json(200, self.to_list())
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!(*self.instances.lock().expect("no holder panics"))
    }
}
