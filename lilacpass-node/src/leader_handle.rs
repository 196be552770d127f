//! Handle to the leader loop within its own instance, and the messages that it accepts.

use lilacpass_jobs::JobKey;
use lilacpass_lead::{
    Event,
    event::{Request, Response},
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::node::Node;

/// A message to the leader loop.
#[derive(Debug)]
pub enum Message {
    /// An event for the leader's state machine.
    Event(Event),
    /// A client's request, with the channel for the response.
    Request(Request, oneshot::Sender<Response>),
    /// The store has stored the append in progress, but for the records that it rejects.
    Appended {
        /// Sequence number of the next append.
        next_sequence: u64,
        /// Keys of the rejected records.
        rejected: Vec<String>,
    },
    /// The store has certainly not stored the append in progress.
    NotAppended {
        /// Sequence number of the next append.
        next_sequence: u64,
    },
    /// An operator's query, with the channel for the response.
    Inspect(OperatorQuery, oneshot::Sender<serde_json::Value>),
    /// Another instance leads.
    Deposed,
    /// Hand leadership over, and continue to lead until that is done.
    Resign,
}

/// A query of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorQuery {
    /// The state of the cell.
    Status,
    /// Why a job is in its current state.
    Job(JobKey),
}

/// Handle to the leader loop within its own instance.
#[derive(Clone)]
pub struct LeaderHandle {
    messages: mpsc::UnboundedSender<Message>,
    ended: watch::Receiver<bool>,
}

impl LeaderHandle {
    /// Creates a handle to a leader loop that receives `messages`, and sets `ended` when it stops leading.
    pub fn new(messages: mpsc::UnboundedSender<Message>, ended: watch::Receiver<bool>) -> Self {
        Self { messages, ended }
    }

    /// Sends a request to the leader. Returns `None` if the leader loop ended before it responded; the request may have
    /// been executed.
    pub async fn request(&self, request: Request) -> Option<Response> {
        let (sender, receiver) = oneshot::channel();
        self.messages.send(Message::Request(request, sender)).ok()?;
        receiver.await.ok()
    }

    /// Answers an operator's query. Returns `None` if the leader loop ended before it responded.
    pub async fn inspect(&self, query: OperatorQuery) -> Option<serde_json::Value> {
        let (sender, receiver) = oneshot::channel();
        self.messages.send(Message::Inspect(query, sender)).ok()?;
        receiver.await.ok()
    }

    /// Passes an event to the leader.
    pub fn report(&self, event: Event) {
        // The leader loop may have ended already.
        let _stopped = self.messages.send(Message::Event(event));
    }

    /// Requests that the leader hand over.
    pub fn resign(&self) {
        // The leader loop may have ended already.
        let _stopped = self.messages.send(Message::Resign);
    }
}

/// Waits until this instance does not lead any more.
pub async fn wait_until_ended(node: &Node) {
    let Some(mut leader) = node.leader_handle.borrow().clone() else { return };
    // The wait also ends when the leader loop drops its sender.
    let _dropped = leader.ended.wait_for(|ended| *ended).await;
}
