//! The way to the leader within its own instance, and what it is told on it.

use lilacpass_jobs::JobKey;
use lilacpass_lead::{
    Event,
    event::{Request, Response},
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::node::Node;

/// What is told to the loop of the leader.
#[derive(Debug)]
pub enum Message {
    /// Something happened.
    Event(Event),
    /// A caller asks.
    Ask(Request, oneshot::Sender<Response>),
    /// The store has surely done nothing of the append under way.
    NotAppended {
        /// Number of the next append.
        next_sequence: u64,
    },
    /// An operator asks.
    Inspect(Inspect, oneshot::Sender<serde_json::Value>),
    /// Another leads.
    Deposed,
    /// Hand the lead over, and lead on until that is done.
    Resign,
}

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inspect {
    /// The state of the cell.
    Status,
    /// Why a job is where it is.
    Job(JobKey),
}

/// The way to the leader within its own instance.
#[derive(Clone)]
pub struct LeaderHandle {
    messages: mpsc::UnboundedSender<Message>,
    ended: watch::Receiver<bool>,
}

impl LeaderHandle {
    /// A way to a leader that takes `messages`, and that sets `ended` when it leads no more.
    pub fn new(messages: mpsc::UnboundedSender<Message>, ended: watch::Receiver<bool>) -> Self {
        Self { messages, ended }
    }

    /// Asks the leader. None where it ended before it answered: it may have done what was asked.
    pub async fn ask(&self, ask: Request) -> Option<Response> {
        let (sender, receiver) = oneshot::channel();
        self.messages.send(Message::Ask(ask, sender)).ok()?;
        receiver.await.ok()
    }

    /// Tells an operator. None where the leader ended before it answered.
    pub async fn inspect(&self, inspect: Inspect) -> Option<serde_json::Value> {
        let (sender, receiver) = oneshot::channel();
        self.messages.send(Message::Inspect(inspect, sender)).ok()?;
        receiver.await.ok()
    }

    /// Has the leader hand over.
    pub fn resign(&self) {
        // A leader that has ended needs no telling.
        let _stopped = self.messages.send(Message::Resign);
    }
}

/// Waits until this instance does not lead any more.
pub async fn wait_until_ended(node: &Node) {
    let Some(mut lead) = node.leader_handle.borrow().clone() else { return };
    // The sender is dropped when the loop ends, which is what is waited for.
    let _dropped = lead.ended.wait_for(|ended| *ended).await;
}
