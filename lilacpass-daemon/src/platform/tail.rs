//! Reads one stream of the log service and goes on reading at its tail.

use std::{sync::Arc, time::Duration};

use lilacpass_control::{
    Event,
    event::{CallFailure, ReadRecord, Stream},
};
use lilacpass_core::ids::Offset;
use lilacpass_records::codec;
use lilacpass_schema::v1::{self, log_client::LogClient};

use crate::{
    control::EventSink,
    platform::{
        backoff::Backoff,
        remote::{self, Remote},
    },
};

/// Most records of one answer.
const MAX_RECORDS: u32 = 1_000;

/// How long the log service may wait for news. Also the time after which a reader at the tail
/// knows anew that it is there.
const WAIT: Duration = Duration::from_millis(500);

/// Reader of one stream.
#[derive(Debug)]
pub struct Tail {
    stream: Stream,
    name: String,
    log: Arc<Remote>,
    from: Offset,
}

impl Tail {
    /// A reader that starts at the oldest record that is still kept.
    pub fn new(stream: Stream, name: String, log: Arc<Remote>) -> Self {
        Self { stream, name, log, from: Offset(0) }
    }

    /// Reads for ever; each answer and each failure becomes an event.
    pub async fn run(mut self, sink: EventSink) {
        let mut backoff = Backoff::default();
        loop {
            match self.read().await {
                Ok(event) => {
                    backoff.reset();
                    sink.send(event).await;
                }
                Err(failure) => {
                    log::debug!(stream:% = self.name, failure:? = failure; "read failed");
                    sink.send(Event::ReadFailed { stream: self.stream }).await;
                    backoff.pause().await;
                }
            }
        }
    }

    async fn read(&mut self) -> Result<Event, CallFailure> {
        let sent_at = self.log.now();
        let request = self.log.request(v1::ReadRequest {
            stream: self.name.clone(),
            from_offset: self.from.0,
            max_records: MAX_RECORDS,
            wait_ms: WAIT.as_millis() as u64,
        });
        let answer = self
            .log
            .call(WAIT, async |link, service| {
                LogClient::with_origin(service, link.origin())
                    .max_decoding_message_size(remote::MAX_ANSWER_BYTES)
                    .read(request)
                    .await
            })
            .await?;
        let offsets = (answer.first_offset..).map(Offset);
        let records: Vec<_> = offsets.zip(answer.records.iter().map(|r| decode(r))).collect();
        self.from = next_offset(self.from, &answer);
        Ok(Event::Read {
            stream: self.stream,
            sent_at,
            records,
            tail: Offset(answer.tail_offset),
            oldest: Offset(answer.oldest_offset),
        })
    }
}

fn next_offset(from: Offset, answer: &v1::ReadAnswer) -> Offset {
    let end = answer.first_offset + answer.records.len() as u64;
    from.max(Offset(end))
}

fn decode(bytes: &[u8]) -> ReadRecord {
    match codec::decode(bytes) {
        Ok(record) => ReadRecord::Good(Box::new(record)),
        Err(error) => ReadRecord::Bad(error.to_string()),
    }
}
