//! The platform's instance list, and the set of instances that the process uses.
//!
//! The list can be outdated, incomplete or empty by mistake. An instance that is missing from it is
//! used for some more time, and a service without any listed instance keeps those it had. Failed
//! calls and load reports show soon enough which of them are gone.

use std::collections;
use std::net;
use std::time;

use crate::id;

/// How long an instance is still used after it disappeared from the list.
const REMOVAL_GRACE: time::Duration = time::Duration::from_secs(15);
/// Label of an `EndpointSlice` that holds the name of its service.
const SERVICE_LABEL: &str = "kubernetes.io/service-name";
/// Name of the port on which sidecars accept attempts.
const SIDECAR_PORT: &str = "sidecar";

/// An instance of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Service of the instance.
    pub service: id::ServiceId,
    /// Address of its sidecar.
    pub address: net::SocketAddr,
    /// Failure domain of the instance, from the `zone` of its endpoint.
    pub domain: id::DomainId,
    /// Whether the instance is terminating.
    pub leaving: bool,
}

/// Instances by name.
pub type Instances = collections::BTreeMap<id::InstanceId, ListedInstance>;

/// An instance list, or a change of it, that cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the instance list could not be read ({message}); check that it is an EndpointSliceList")]
pub struct ListError {
    message: String,
}

/// JSON values that are decoded one by one, so that one that is no `T` does not affect the others.
#[derive(Debug)]
struct Lenient<T>(Vec<T>);

impl<T> Default for Lenient<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<'de, T: serde::de::DeserializeOwned> serde::Deserialize<'de> for Lenient<T> {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let all = Vec::<Box<serde_json::value::RawValue>>::deserialize(input)?;
        Ok(Self(all.iter().filter_map(|raw| decode_or_skip(raw)).collect()))
    }
}

/// Decodes a value; returns `None` and logs the reason if it has another form.
fn decode_or_skip<T: serde::de::DeserializeOwned>(raw: &serde_json::value::RawValue) -> Option<T> {
    match serde_json::from_str(raw.get()) {
        Ok(value) => Some(value),
        Err(e) => {
            log::warn!("event=list_entry_skipped error={:?}", e.to_string());
            None
        }
    }
}

#[derive(serde::Deserialize)]
struct SliceList {
    #[serde(default)]
    metadata: Metadata,
    items: Lenient<Slice>,
}

#[derive(serde::Deserialize)]
struct WatchEvent {
    #[serde(rename = "type")]
    kind: String,
    object: Box<serde_json::value::RawValue>,
}

#[derive(Debug, serde::Deserialize)]
struct Slice {
    metadata: Metadata,
    #[serde(default)]
    endpoints: Lenient<Endpoint>,
    #[serde(default)]
    ports: Lenient<Port>,
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

/// The instance list as a set of `EndpointSlice`s, read once and then updated from a watch.
#[derive(Debug, Default)]
pub struct EndpointSlices {
    slices: collections::BTreeMap<String, Slice>,
    version: String,
}

impl EndpointSlices {
    /// Parses an `EndpointSliceList`.
    ///
    /// # Errors
    /// Fails if the text is not such a list.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        let list: SliceList = serde_json::from_slice(text).map_err(|e| parse_error(&e))?;
        let mut slices = collections::BTreeMap::new();
        for (number, slice) in list.items.0.into_iter().enumerate() {
            // Slices without a name can be read but not updated by a watch.
            let name = match slice.metadata.name.as_str() {
                "" => format!("#{number}"),
                name => name.to_owned(),
            };
            slices.insert(name, slice);
        }
        Ok(Self { slices, version: list.metadata.version })
    }

    /// Returns the resource version from which changes can be watched; empty if they cannot.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Applies one line of a watch. An event about something that is no slice is skipped.
    ///
    /// # Errors
    /// Fails if the line is not an event, or is an error event, after which the list has to be read
    /// again.
    pub fn apply(&mut self, line: &[u8]) -> Result<(), ListError> {
        let event: WatchEvent = serde_json::from_slice(line).map_err(|e| parse_error(&e))?;
        if event.kind == "ERROR" {
            return Err(ListError { message: event.object.get().to_owned() });
        }
        if event.kind == "BOOKMARK" {
            return Ok(());
        }
        let Some(slice) = decode_or_skip::<Slice>(&event.object) else { return Ok(()) };
        let name = slice.metadata.name.clone();
        if event.kind == "DELETED" {
            self.slices.remove(&name);
        } else {
            self.slices.insert(name, slice);
        }
        Ok(())
    }

    /// Returns the instances of all slices. Endpoints without a valid name, zone or sidecar port
    /// are skipped, and so are those that are neither ready nor serving nor terminating.
    pub fn instances(&self) -> Instances {
        let mut instances = Instances::new();
        for slice in self.slices.values() {
            let service = slice.metadata.labels.get(SERVICE_LABEL).and_then(|n| n.parse().ok());
            let port = slice.ports.0.iter().find(|port| port.name.as_deref() == Some(SIDECAR_PORT));
            let (Some(service), Some(port)) = (service, port.and_then(|port| port.port)) else {
                continue;
            };
            let endpoints = slice.endpoints.0.iter();
            instances.extend(endpoints.filter_map(|e| parse_endpoint(e, &service, port)));
        }
        instances
    }
}

fn parse_error(error: &serde_json::Error) -> ListError {
    ListError { message: error.to_string() }
}

/// Returns the instance of an endpoint, or `None` if the endpoint is skipped.
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
    if port == 0 || address.ip().is_unspecified() {
        return None;
    }
    let domain = endpoint.zone.parse().ok()?;
    let instance = endpoint.target.name.parse().ok()?;
    Some((instance, ListedInstance { service: service.clone(), address, domain, leaving }))
}

/// Instances that are assumed to exist.
#[derive(Debug, Default)]
pub struct Membership {
    instances: Instances,
    missing_since: collections::BTreeMap<id::InstanceId, time::Duration>,
}

impl Membership {
    /// Updates the instances from a new list. An instance that is missing from it is removed after
    /// [`REMOVAL_GRACE`], but not while the list has no instance of its service.
    pub fn update(&mut self, now: time::Duration, list: Instances) {
        let emptied = self.emptied_services(&list);
        let unlisted: Vec<_> = self
            .instances
            .keys()
            .filter(|instance| !list.contains_key(*instance))
            .cloned()
            .collect();
        for instance in unlisted {
            let since = *self.missing_since.entry(instance.clone()).or_insert(now);
            let is_kept =
                emptied.contains(&self.instances[&instance].service) || since + REMOVAL_GRACE > now;
            if !is_kept {
                self.instances.remove(&instance);
                self.missing_since.remove(&instance);
            }
        }
        for (instance, listed) in list {
            self.missing_since.remove(&instance);
            self.instances.insert(instance, listed);
        }
    }

    /// Returns the services that had instances and have none in the new list.
    fn emptied_services(&self, list: &Instances) -> collections::BTreeSet<id::ServiceId> {
        let listed: collections::BTreeSet<_> = list.values().map(|l| &l.service).collect();
        let services = self.instances.values().map(|l| &l.service);
        services.filter(|service| !listed.contains(service)).cloned().collect()
    }

    /// Returns the instances that are assumed to exist.
    pub fn instances(&self) -> &Instances {
        &self.instances
    }
}
