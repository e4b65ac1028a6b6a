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
const REMOVAL_GRACE: time::Duration = time::Duration::from_secs(15);
/// Label of an `EndpointSlice` with the name of its service.
const SERVICE_LABEL: &str = "kubernetes.io/service-name";
/// Name of the port on which sidecars take attempts.
const SIDECAR_PORT: &str = "sidecar";

/// An instance as the list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
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
pub type Instances = collections::BTreeMap<id::InstanceId, ListedInstance>;

/// A list that cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the instance list could not be read ({message}); check that it is an EndpointSliceList")]
pub struct ListError {
    message: String,
}

#[derive(serde::Deserialize)]
struct SliceList {
    #[serde(default)]
    metadata: Metadata,
    items: Vec<Slice>,
}

#[derive(serde::Deserialize)]
struct WatchEvent {
    #[serde(rename = "type")]
    kind: String,
    object: serde_json::Value,
}

#[derive(Debug, serde::Deserialize)]
struct Slice {
    metadata: Metadata,
    #[serde(default)]
    endpoints: Vec<Endpoint>,
    #[serde(default)]
    ports: Vec<Port>,
}

#[derive(Debug, Default, serde::Deserialize)]
struct Metadata {
    #[serde(default)]
    name: String,
    #[serde(default, rename = "resourceVersion")]
    version: String,
    #[serde(default)]
    labels: collections::BTreeMap<String, String>,
}

#[derive(Debug, serde::Deserialize)]
struct Endpoint {
    addresses: Vec<net::IpAddr>,
    #[serde(default)]
    conditions: Conditions,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "targetRef")]
    target: TargetRef,
}

#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
struct Conditions {
    ready: Option<bool>,
    serving: Option<bool>,
    terminating: Option<bool>,
}

#[derive(Debug, Default, serde::Deserialize)]
struct TargetRef {
    #[serde(default)]
    name: String,
}

#[derive(Debug, serde::Deserialize)]
struct Port {
    name: Option<String>,
    port: Option<u16>,
}

/// Slices of the list, as last read or changed by a watch.
#[derive(Debug, Default)]
pub struct EndpointSlices {
    slices: collections::BTreeMap<String, Slice>,
    version: String,
}

impl EndpointSlices {
    /// Reads an `EndpointSliceList`.
    ///
    /// # Errors
    /// Fails if the text is not such a list.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        let list: SliceList = serde_json::from_slice(text).map_err(|e| parse_error(&e))?;
        let mut slices = collections::BTreeMap::new();
        for (number, slice) in list.items.into_iter().enumerate() {
            // A list without names can be read, but not watched.
            let name = match slice.metadata.name.as_str() {
                "" => format!("#{number}"),
                name => name.to_owned(),
            };
            slices.insert(name, slice);
        }
        Ok(Self { slices, version: list.metadata.version })
    }

    /// Returns the version from which changes can be watched; empty if they cannot.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Takes in one line of a watch.
    ///
    /// # Errors
    /// Fails if the line is not an event, or tells that the list has to be read again.
    pub fn apply(&mut self, line: &[u8]) -> Result<(), ListError> {
        let event: WatchEvent = serde_json::from_slice(line).map_err(|e| parse_error(&e))?;
        if event.kind == "ERROR" {
            return Err(ListError { message: event.object.to_string() });
        }
        if event.kind == "BOOKMARK" {
            return Ok(());
        }
        let slice: Slice = serde_json::from_value(event.object).map_err(|e| parse_error(&e))?;
        let name = slice.metadata.name.clone();
        if event.kind == "DELETED" {
            self.slices.remove(&name);
        } else {
            self.slices.insert(name, slice);
        }
        Ok(())
    }

    /// Returns the instances. Endpoints without a usable name, zone or sidecar port, and those that
    /// are neither ready nor serving nor leaving, are left out.
    pub fn instances(&self) -> Instances {
        let mut instances = Instances::new();
        for slice in self.slices.values() {
            let service = slice.metadata.labels.get(SERVICE_LABEL).and_then(|n| n.parse().ok());
            let port = slice.ports.iter().find(|port| port.name.as_deref() == Some(SIDECAR_PORT));
            let (Some(service), Some(port)) = (service, port.and_then(|port| port.port)) else {
                continue;
            };
            let endpoints = slice.endpoints.iter();
            instances.extend(endpoints.filter_map(|e| parse_endpoint(e, &service, port)));
        }
        instances
    }
}

fn parse_error(error: &serde_json::Error) -> ListError {
    ListError { message: error.to_string() }
}

fn parse_endpoint(
    endpoint: &Endpoint,
    service: &id::ServiceId,
    port: u16,
) -> Option<(id::InstanceId, ListedInstance)> {
    let conditions = endpoint.conditions;
    let leaving = conditions.terminating.unwrap_or(false);
    let ready = conditions.ready.unwrap_or(true) || conditions.serving.unwrap_or(false);
    if !ready && !leaving {
        return None;
    }
    let address = net::SocketAddr::new(*endpoint.addresses.first()?, port);
    let domain = endpoint.zone.parse().ok()?;
    let instance = endpoint.target.name.parse().ok()?;
    Some((instance, ListedInstance { service: service.clone(), address, domain, leaving }))
}

/// What is believed of the instances.
#[derive(Debug, Default)]
pub struct Membership {
    known: Instances,
    missing_since: collections::BTreeMap<id::InstanceId, time::Duration>,
}

impl Membership {
    /// Takes in a new list.
    pub fn update(&mut self, now: time::Duration, list: Instances) {
        let emptied = self.emptied_services(&list);
        let vanished: Vec<_> =
            self.known.keys().filter(|instance| !list.contains_key(*instance)).cloned().collect();
        for instance in vanished {
            let since = *self.missing_since.entry(instance.clone()).or_insert(now);
            let kept =
                emptied.contains(&self.known[&instance].service) || since + REMOVAL_GRACE > now;
            if !kept {
                self.known.remove(&instance);
                self.missing_since.remove(&instance);
            }
        }
        for (instance, listed) in list {
            self.missing_since.remove(&instance);
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
