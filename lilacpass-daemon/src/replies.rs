//! Places where answers of the state machine are waited for.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use lilacpass_control::event::ReplyId;
use tokio::sync::oneshot;

/// Gives out ids; callers and peers share one source, so that no id stands for two places.
#[derive(Clone, Debug, Default)]
pub struct ReplyIds(Arc<AtomicU64>);

impl ReplyIds {
    /// An id that was not given out before.
    pub fn next(&self) -> ReplyId {
        ReplyId(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Places where answers of type `T` are waited for.
#[derive(Debug)]
pub struct Replies<T> {
    ids: ReplyIds,
    waiting: Mutex<HashMap<ReplyId, oneshot::Sender<T>>>,
}

impl<T> Replies<T> {
    /// No places yet.
    pub fn new(ids: ReplyIds) -> Arc<Self> {
        Arc::new(Self { ids, waiting: Mutex::default() })
    }

    /// A new place.
    pub fn open(self: &Arc<Self>) -> Waiter<T> {
        let id = self.ids.next();
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(id, sender);
        Waiter { id, receiver, replies: self.clone() }
    }

    /// Hands over an answer. Gives false where nobody waits for it any more.
    pub fn answer(&self, to: ReplyId, answer: T) -> bool {
        let sender = self.waiting().remove(&to);
        sender.is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// Number of places that wait.
    pub fn len(&self) -> usize {
        self.waiting().len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting().is_empty()
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<ReplyId, oneshot::Sender<T>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One place; it is given up when dropped.
#[derive(Debug)]
pub struct Waiter<T> {
    id: ReplyId,
    receiver: oneshot::Receiver<T>,
    replies: Arc<Replies<T>>,
}

impl<T> Waiter<T> {
    /// The id to give to the state machine.
    pub fn id(&self) -> ReplyId {
        self.id
    }

    /// Waits for the answer; `None` where there will never be one.
    pub async fn answer(&mut self) -> Option<T> {
        (&mut self.receiver).await.ok()
    }
}

impl<T> Drop for Waiter<T> {
    fn drop(&mut self) {
        self.replies.waiting().remove(&self.id);
    }
}
