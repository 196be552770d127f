//! The platform's log service and instance list.
//!
//! Only the modules below know the platform's protocol; the rest sees events.

pub mod append;
pub mod backoff;
pub mod list;
pub mod remote;
pub mod tail;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use lilacpass_control::event::{CallId, Stream};
use lilacpass_core::ids::{DataCentreId, InstanceId};
use lilacpass_schema::v1;
use tokio::sync::mpsc;

use crate::{control::EventSink, link::LinkOptions, platform::remote::Remote};

/// How the platform is reached.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// This instance, as the platform is told.
    pub me: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Addresses of the log service; the next one is tried where one fails.
    pub log_addresses: Vec<SocketAddr>,
    /// Addresses of the instance list.
    pub list_addresses: Vec<SocketAddr>,
    /// Deadline of one call, on top of what a read may wait for news.
    pub call_timeout: Duration,
    /// How often the instance list is read.
    pub list_interval: Duration,
    /// Name that stands before the names of this cell's streams.
    pub stream_prefix: String,
    /// How connections are opened.
    pub link: LinkOptions,
}

impl PlatformOptions {
    /// Name of a stream at the log service.
    pub fn stream_name(&self, stream: Stream) -> String {
        let prefix = &self.stream_prefix;
        match stream {
            Stream::Config => format!("{prefix}/config"),
            Stream::Holding => format!("{prefix}/holding/{}", self.data_centre),
            Stream::Jobs => format!("{prefix}/jobs"),
            Stream::Audit => format!("{prefix}/audit"),
        }
    }
}

/// Records to append in one piece.
#[derive(Debug)]
pub struct AppendOrder {
    /// The call that ends with the append.
    pub call: CallId,
    /// The records.
    pub records: Vec<v1::Record>,
}

/// The tasks that read and append; they run until the traffic threads end.
#[derive(Debug)]
pub struct Platform {
    appenders: HashMap<Stream, mpsc::UnboundedSender<AppendOrder>>,
}

impl Platform {
    /// Starts reading all streams and the instance list. Runs inside the traffic runtime.
    pub fn start(options: &PlatformOptions, sink: &EventSink) -> Self {
        let log = Arc::new(Remote::new(&options.log_addresses, options));
        let list = Arc::new(Remote::new(&options.list_addresses, options));
        tokio::spawn(list::run(list, options.list_interval, sink.clone()));
        Stream::ALL.into_iter().for_each(|stream| {
            let tail = tail::Tail::new(stream, options.stream_name(stream), log.clone());
            tokio::spawn(tail.run(sink.clone()));
        });
        let appender = |stream| {
            let (sender, orders) = mpsc::unbounded_channel();
            let name = options.stream_name(stream);
            tokio::spawn(append::run(name, log.clone(), orders, sink.clone()));
            (stream, sender)
        };
        Self { appenders: Stream::ALL.into_iter().map(appender).collect() }
    }

    /// Queues an append; the appends of one stream keep their order.
    pub fn append(&self, stream: Stream, order: AppendOrder) {
        // The receiver only goes away with the runtime, and with it everyone who waits.
        let _ = self.appenders[&stream].send(order);
    }
}
