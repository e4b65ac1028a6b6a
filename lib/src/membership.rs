//! The platform's instance list, and how far it is believed.
//!
//! The list is late, has gaps and may be empty by mistake. An instance that vanishes from it is
//! kept for a while, and a service whose list empties at once keeps the instances it had: calls
//! and drain marks tell soon enough which of them are really gone.

use std::collections;
use std::net;
use std::time;

use crate::id;

/// How long an instance that vanished from the list is still used.
const GRACE: time::Duration = time::Duration::from_secs(15);
/// Label of an `EndpointSlice` with the name of its service.
const SERVICE_LABEL: &str = "kubernetes.io/service-name";
/// Name of the port on which sidecars take attempts.
const SIDECAR_PORT: &str = "sidecar";

/// An instance as the list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Service of the instance.
    pub service: id::ServiceId,
    /// Address of its sidecar.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// Instances by name.
pub type Instances = collections::BTreeMap<id::InstanceId, Listed>;

/// A list that cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the instance list could not be read ({message}); check that it is an EndpointSliceList")]
pub struct ListError {
    message: String,
}

#[derive(serde::Deserialize)]
struct SliceList {
    items: Vec<Slice>,
}

#[derive(serde::Deserialize)]
struct Slice {
    metadata: Metadata,
    #[serde(default)]
    endpoints: Vec<Endpoint>,
    #[serde(default)]
    ports: Vec<Port>,
}

#[derive(serde::Deserialize)]
struct Metadata {
    #[serde(default)]
    labels: collections::BTreeMap<String, String>,
}

#[derive(serde::Deserialize)]
struct Endpoint {
    addresses: Vec<net::IpAddr>,
    #[serde(default)]
    conditions: Conditions,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "targetRef")]
    target: Target,
}

#[derive(Default, serde::Deserialize)]
struct Conditions {
    ready: Option<bool>,
    serving: Option<bool>,
    terminating: Option<bool>,
}

#[derive(Default, serde::Deserialize)]
struct Target {
    #[serde(default)]
    name: String,
}

#[derive(serde::Deserialize)]
struct Port {
    name: Option<String>,
    port: Option<u16>,
}

/// Reads an `EndpointSliceList`. Endpoints without a usable name, zone or sidecar port, and those
/// that are neither ready nor serving nor leaving, are left out.
///
/// # Errors
/// Fails if the text is not such a list.
pub fn parse(text: &[u8]) -> Result<Instances, ListError> {
    let list: SliceList =
        serde_json::from_slice(text).map_err(|e| ListError { message: e.to_string() })?;
    let mut instances = Instances::new();
    for slice in list.items {
        let service = slice.metadata.labels.get(SERVICE_LABEL).and_then(|name| name.parse().ok());
        let port = slice.ports.iter().find(|port| port.name.as_deref() == Some(SIDECAR_PORT));
        let (Some(service), Some(port)) = (service, port.and_then(|port| port.port)) else {
            continue;
        };
        for endpoint in slice.endpoints {
            if let Some((instance, listed)) = read_endpoint(endpoint, &service, port) {
                instances.insert(instance, listed);
            }
        }
    }
    Ok(instances)
}

fn read_endpoint(
    endpoint: Endpoint,
    service: &id::ServiceId,
    port: u16,
) -> Option<(id::InstanceId, Listed)> {
    let conditions = endpoint.conditions;
    let leaving = conditions.terminating.unwrap_or(false);
    let ready = conditions.ready.unwrap_or(true) || conditions.serving.unwrap_or(false);
    if !ready && !leaving {
        return None;
    }
    let address = net::SocketAddr::new(*endpoint.addresses.first()?, port);
    let domain = endpoint.zone.parse().ok()?;
    let instance = endpoint.target.name.parse().ok()?;
    Some((instance, Listed { service: service.clone(), address, domain, leaving }))
}

/// What is believed of the instances.
#[derive(Debug, Default)]
pub struct Membership {
    known: Instances,
    missing: collections::BTreeMap<id::InstanceId, time::Duration>,
}

impl Membership {
    /// Takes in a new list.
    pub fn update(&mut self, now: time::Duration, list: Instances) {
        let emptied = self.emptied_services(&list);
        let vanished: Vec<_> =
            self.known.keys().filter(|instance| !list.contains_key(*instance)).cloned().collect();
        for instance in vanished {
            let since = *self.missing.entry(instance.clone()).or_insert(now);
            let kept = emptied.contains(&self.known[&instance].service) || since + GRACE > now;
            if !kept {
                self.known.remove(&instance);
                self.missing.remove(&instance);
            }
        }
        for (instance, listed) in list {
            self.missing.remove(&instance);
            self.known.insert(instance, listed);
        }
    }

    /// Returns the services that had instances and have none in the list.
    fn emptied_services(&self, list: &Instances) -> collections::BTreeSet<id::ServiceId> {
        let listed: collections::BTreeSet<_> = list.values().map(|l| &l.service).collect();
        let known = self.known.values().map(|l| &l.service);
        known.filter(|service| !listed.contains(service)).cloned().collect()
    }

    /// Returns the instances that are believed to exist.
    pub fn instances(&self) -> &Instances {
        &self.known
    }
}
