//! Small fakes that several tests share.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its own part")]

pub mod http;
pub mod worker;

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use lilacpass_config::settings::{self, Settings};
use lilacpass_control::{Counters, Effect, Event};
use lilacpass_core::{MonoTime, ids::Incarnation};
use lilacpass_daemon::{
    clock::Clock,
    control::Machine,
    daemon::{self, Daemon, MachineParts},
    link::{LinkOptions, stream::ByteCounts},
};

/// Longest wait for something that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A state machine that a test writes as one closure.
pub struct Script<F>(pub F);

impl<F: FnMut(Event, &mut Vec<Effect>) + Send + 'static> Machine for Script<F> {
    fn handle(&mut self, event: Event, _now: MonoTime, out: &mut Vec<Effect>) {
        (self.0)(event, out);
    }

    fn next_wake(&self, now: MonoTime) -> MonoTime {
        now + Duration::from_secs(1)
    }
}

/// Options for connections in tests.
pub fn links() -> LinkOptions {
    LinkOptions {
        clock: Clock::start(),
        connect_timeout: Duration::from_secs(2),
        user_timeout: Duration::from_secs(2),
        ping: Duration::from_secs(60),
        ping_timeout: Duration::from_secs(60),
        bytes: Arc::new(ByteCounts::default()),
    }
}

/// Settings of a process on loopback whose platform is not there.
pub fn settings(traffic: &str) -> Settings {
    let text = format!(
        r#"
        [instance]
        name = "entry-1"
        data_centre = "hal-a"
        http_address = "127.0.0.1:0"
        peer_address = "127.0.0.1:0"
        [platform]
        log_addresses = ["{0}"]
        instance_list_addresses = ["{0}"]
        [traffic]
        {traffic}
        "#,
        closed_address()
    );
    settings::parse(&text).expect("valid settings")
}

/// Starts a daemon around a scripted state machine.
pub async fn daemon(
    settings: &Settings,
    script: impl FnMut(Event, &mut Vec<Effect>) + Send + 'static,
) -> Daemon {
    let make =
        |_, _| MachineParts { machine: Script(script), counters: Arc::new(Counters::default()) };
    daemon::start_with(settings, Incarnation(1), make).await.expect("daemon starts")
}

/// An address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

/// Waits until `receive` gives something that `wanted` accepts.
pub async fn wait_for<T: Send + 'static>(
    receiver: mpsc::Receiver<T>,
    wanted: impl Fn(&T) -> bool + Send + 'static,
) -> (T, mpsc::Receiver<T>) {
    let wait = move || {
        // One limit for the whole wait: other events may come for ever.
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let item = receiver.recv_timeout(left).expect("the awaited event comes");
            if wanted(&item) {
                return (item, receiver);
            }
        }
    };
    tokio::task::spawn_blocking(wait).await.expect("waiter runs")
}
