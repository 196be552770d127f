//! Reads the instance list now and then.

use std::{sync::Arc, time::Duration};

use lilacpass_control::{Event, event::CallFailure};
use lilacpass_schema::v1::{self, instance_list_client::InstanceListClient};

use crate::{
    control::EventSink,
    platform::{
        backoff::Backoff,
        remote::{self, Remote},
    },
};

/// Reads the list every `interval`, for ever. A failure keeps the last list in use.
pub async fn run(list: Arc<Remote>, interval: Duration, sink: EventSink) {
    let mut backoff = Backoff::default();
    loop {
        match read(&list).await {
            Ok(answer) => {
                backoff.reset();
                sink.send(Event::InstanceList(answer)).await;
                tokio::time::sleep(interval).await;
            }
            Err(failure) => {
                log::debug!(failure:? = failure; "instance list not read");
                backoff.pause().await;
            }
        }
    }
}

async fn read(list: &Remote) -> Result<v1::ListInstancesAnswer, CallFailure> {
    let request = list.request(v1::ListInstancesRequest {});
    list.call(Duration::ZERO, async |link, service| {
        InstanceListClient::with_origin(service, link.origin())
            .max_decoding_message_size(remote::MAX_ANSWER_BYTES)
            .list(request)
            .await
    })
    .await
}
