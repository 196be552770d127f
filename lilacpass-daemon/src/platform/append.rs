//! Appends to one stream of the log service, one at a time.

use std::{sync::Arc, time::Duration};

use lilacpass_control::{Event, event::CallFailure};
use lilacpass_core::ids::Offset;
use lilacpass_records::codec;
use lilacpass_schema::v1::{self, log_client::LogClient, record::Body};
use tokio::sync::mpsc;

use crate::{
    clock,
    control::EventSink,
    platform::{AppendOrder, remote::Remote},
};

/// Carries out the appends of one stream in order. An append is never repeated here: after a lost
/// answer only reading tells whether it took effect, and the state machine settles that.
pub async fn run(
    name: String,
    log: Arc<Remote>,
    mut orders: mpsc::UnboundedReceiver<AppendOrder>,
    sink: EventSink,
) {
    while let Some(AppendOrder { call, records }) = orders.recv().await {
        let result = append(&name, &log, records).await;
        sink.send(Event::Appended { call, result }).await;
    }
}

async fn append(name: &str, log: &Remote, records: Vec<v1::Record>) -> Result<Offset, CallFailure> {
    let now_unix_ms = clock::unix_ms();
    let records = records.into_iter().map(|record| codec::encode(&dated(record, now_unix_ms)));
    let request = v1::AppendRequest { stream: name.to_owned(), records: records.collect() };
    let request = log.request(request);
    let answer = log
        .call(Duration::ZERO, async |link, service| {
            LogClient::with_origin(service, link.origin()).append(request).await
        })
        .await?;
    Ok(Offset(answer.first_offset))
}

/// Fills in the wall-clock time, which the state machine does not know.
fn dated(mut record: v1::Record, now_unix_ms: u64) -> v1::Record {
    if record.written_unix_ms == 0 {
        record.written_unix_ms = now_unix_ms;
    }
    if let Some(Body::Audit(entry)) = &mut record.body
        && entry.at_unix_ms == 0
    {
        entry.at_unix_ms = now_unix_ms;
    }
    record
}
