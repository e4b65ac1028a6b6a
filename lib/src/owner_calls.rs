//! Store calls of a sidecar's ownership protocol.

use std::sync;

use crate::claim;
use crate::clock;
use crate::clock::Clock as _;
use crate::id;
use crate::order;
use crate::sidecar;
use crate::store;
use crate::wire;

/// Makes the ownership protocol's calls for one sidecar.
#[derive(Clone, Debug)]
pub struct OwnershipClient<S> {
    store: S,
    clock: clock::SystemClock,
    identity: sidecar::Identity,
    mirror: sync::Arc<tokio::sync::Mutex<store::Mirror>>,
}

impl<S: store::Store> OwnershipClient<S> {
    /// Makes a client with an empty copy of the service's keys.
    pub fn new(store: S, clock: clock::SystemClock, identity: sidecar::Identity) -> Self {
        Self { store, clock, identity, mirror: sync::Arc::default() }
    }

    /// Makes a call and returns its result. Errors of the store become replies.
    pub async fn call(&self, call: claim::Call) -> claim::Reply {
        let is_lease_call = call.is_lease_call();
        let is_offered = matches!(call, claim::Call::Take { offered: true, .. });
        match self.try_call(call).await {
            Ok(reply) => reply,
            Err(e) => {
                log::warn!("event=ownership_call_failed error={:?}", e.to_string());
                if is_lease_call {
                    claim::Reply::LeaseCallFailed
                } else if is_offered {
                    claim::Reply::TakeFailed
                } else {
                    claim::Reply::Failed
                }
            }
        }
    }

    /// Claims the key whose holder may send orders to the upstream. Its revision becomes the
    /// fencing token of the orders.
    pub async fn claim_upstream(&self, lease: claim::LeaseId) -> order::Reply {
        let key = format!("{}upstreams/{}", store::PREFIX, self.identity.instance);
        let value = bytes::Bytes::from(self.identity.incarnation.to_string());
        let compare = store::Compare::Absent(key.clone());
        let write = store::Write::Put(key, value, Some(lease));
        match self.store.commit(&[compare], &[write]).await {
            Ok(outcome) if outcome.is_applied => {
                order::Reply::Held(lease, id::FencingToken(outcome.revision))
            }
            // If the answer to an earlier claim was lost, the key exists until its lease ends. The
            // next lease then claims it again.
            _ => order::Reply::NotHeld,
        }
    }

    async fn try_call(&self, call: claim::Call) -> Result<claim::Reply, store::StoreError> {
        match call {
            claim::Call::Grant { ttl } => self.grant(ttl).await,
            claim::Call::KeepAlive { lease } => self.keep_alive(lease).await,
            claim::Call::Revoke { lease } => {
                self.store.revoke(lease).await?;
                Ok(claim::Reply::LeaseExpired)
            }
            claim::Call::Deregister => {
                self.store.commit(&[], &[store::Write::Delete(self.member_key())]).await?;
                Ok(claim::Reply::Failed)
            }
            claim::Call::Read => {
                let prefix = store::service_prefix(&self.identity.service);
                let snapshot = self.mirror.lock().await.update(&self.store, &prefix).await?;
                Ok(store::read_service(&self.identity.service, &snapshot))
            }
            claim::Call::Claim { lease, ranges, never_owned } => {
                self.claim(lease, ranges, never_owned).await
            }
            claim::Call::Take { lease, ranges, offered } => {
                self.take(lease, &ranges, offered).await
            }
            claim::Call::Offer { ranges, .. } => {
                let ranges = ranges.into_keys().collect();
                Ok(claim::Reply::OfferEnded { ranges, accepted: false })
            }
        }
    }

    async fn grant(&self, ttl: std::time::Duration) -> Result<claim::Reply, store::StoreError> {
        let requested_at = self.clock.now();
        let (id, ttl) = self.store.grant(ttl).await?;
        let member = claim::Member {
            address: self.identity.address,
            incarnation: self.identity.incarnation,
        };
        let value = serde_json::json!(member).to_string().into();
        let write = store::Write::Put(self.member_key(), value, Some(id));
        self.store.commit(&[], &[write]).await?;
        Ok(claim::Reply::LeaseGranted { id, requested_at, ttl })
    }

    async fn keep_alive(&self, lease: claim::LeaseId) -> Result<claim::Reply, store::StoreError> {
        let requested_at = self.clock.now();
        let ttl = self.store.keep_alive(lease).await?;
        Ok(ttl.map_or(claim::Reply::LeaseExpired, |ttl| claim::Reply::LeaseGranted {
            id: lease,
            requested_at,
            ttl,
        }))
    }

    async fn claim(
        &self,
        lease: claim::LeaseId,
        ranges: Vec<u32>,
        never_owned: bool,
    ) -> Result<claim::Reply, store::StoreError> {
        let mut compares = Vec::new();
        let mut writes = Vec::new();
        for range in &ranges {
            compares.push(store::Compare::Absent(self.owner_key(*range)));
            writes.push(store::Write::Put(self.owner_key(*range), self.owner_value(), Some(lease)));
            if never_owned {
                // The mark is not attached to a lease. It shows later owners that the range has
                // been owned before.
                let mark = self.mark_key(*range);
                compares.push(store::Compare::Absent(mark.clone()));
                writes.push(store::Write::Put(mark, bytes::Bytes::new(), None));
            }
        }
        let outcome = self.store.commit(&compares, &writes).await?;
        if !outcome.is_applied {
            return Ok(claim::Reply::ClaimRefused);
        }
        let fence = id::FencingToken(outcome.revision);
        Ok(claim::Reply::Claimed { lease, ranges, fence, never_owned })
    }

    async fn take(
        &self,
        lease: claim::LeaseId,
        tokens: &claim::RangeTokens,
        offered: bool,
    ) -> Result<claim::Reply, store::StoreError> {
        let mut compares = Vec::new();
        let mut writes = Vec::new();
        for (range, fence) in tokens {
            compares.push(store::Compare::ModRevision(self.owner_key(*range), fence.0));
            writes.push(store::Write::Put(self.owner_key(*range), self.owner_value(), Some(lease)));
        }
        let outcome = self.store.commit(&compares, &writes).await?;
        if outcome.is_applied {
            let fence = id::FencingToken(outcome.revision);
            let ranges = tokens.keys().copied().collect();
            return Ok(claim::Reply::Taken { lease, ranges, fence, offered });
        }
        Ok(if offered { claim::Reply::TakeFailed } else { claim::Reply::Failed })
    }

    fn member_key(&self) -> String {
        let prefix = store::service_prefix(&self.identity.service);
        format!("{prefix}members/{}", self.identity.instance)
    }

    fn owner_key(&self, range: u32) -> String {
        format!("{}owners/{range}", store::service_prefix(&self.identity.service))
    }

    fn mark_key(&self, range: u32) -> String {
        format!("{}marks/{range}", store::service_prefix(&self.identity.service))
    }

    fn owner_value(&self) -> bytes::Bytes {
        let owner = wire::Owner {
            instance: self.identity.instance.clone(),
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            fence: id::FencingToken(0),
        };
        serde_json::json!(owner).to_string().into()
    }
}
