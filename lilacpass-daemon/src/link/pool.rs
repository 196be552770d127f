//! One connection per callee, replaced when it is closed or has gone silent.

use std::{
    collections::HashMap,
    hash::Hash,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::Mutex as AsyncMutex;

use crate::link::connection::{Link, LinkOptions};

/// Connections, one per key.
#[derive(Debug)]
pub struct Pool<K> {
    options: LinkOptions,
    slots: Mutex<HashMap<K, Arc<Slot>>>,
}

// Held while connecting, so that calls that come together share one connection.
type Slot = AsyncMutex<Option<Arc<Link>>>;

impl<K: Eq + Hash> Pool<K> {
    /// A pool without connections.
    pub fn new(options: LinkOptions) -> Self {
        Self { options, slots: Mutex::default() }
    }

    /// How connections are opened.
    pub fn options(&self) -> &LinkOptions {
        &self.options
    }

    /// The connection for new calls to `key`; opened where there is none to `address`.
    ///
    /// # Errors
    ///
    /// No connection could be made.
    pub async fn get(&self, key: K, address: SocketAddr) -> io::Result<Arc<Link>> {
        let slot = self.slot(key);
        let mut current = slot.lock().await;
        let usable = |link: &&Arc<Link>| !link.is_closed() && link.address() == address;
        if let Some(link) = current.as_ref().filter(usable) {
            return Ok(link.clone());
        }
        *current = None;
        let link = Arc::new(Link::connect(address, &self.options).await?);
        *current = Some(link.clone());
        Ok(link)
    }

    /// The slot of `key`. A new one throws out those of callees that are gone, so that instances
    /// which are replaced day by day leave nothing behind.
    fn slot(&self, key: K) -> Arc<Slot> {
        let mut slots = self.slots();
        if let Some(slot) = slots.get(&key) {
            return slot.clone();
        }
        slots.retain(|_, slot| is_in_use(slot));
        slots.entry(key).or_default().clone()
    }

    /// Has new calls to `key` use another connection than `link`; calls under way stay on it.
    pub async fn retire(&self, key: &K, link: &Arc<Link>) {
        let Some(slot) = self.slots().get(key).cloned() else { return };
        let mut current = slot.lock().await;
        if current.as_ref().is_some_and(|now| Arc::ptr_eq(now, link)) {
            *current = None;
        }
    }

    /// Forgets the connection to `key`; it closes once the calls on it have ended.
    pub fn close(&self, key: &K) {
        self.slots().remove(key);
    }

    /// Number of callees with a slot.
    pub fn len(&self) -> usize {
        self.slots().len()
    }

    /// Whether there is no slot.
    pub fn is_empty(&self) -> bool {
        self.slots().is_empty()
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<K, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_in_use(slot: &Arc<Slot>) -> bool {
    let Ok(current) = slot.try_lock() else { return true };
    Arc::strong_count(slot) > 1 || current.as_ref().is_some_and(|link| !link.is_closed())
}
