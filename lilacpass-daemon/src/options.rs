//! From the settings of a process to the options of its parts.

use std::{sync::Arc, time::Duration};

use lilacpass_config::settings::Settings;
use lilacpass_core::ids::Incarnation;

use crate::{
    clock::Clock,
    http::{FrontOptions, access, input::InputLimits},
    link::{LinkOptions, stream::ByteCounts},
    platform::PlatformOptions,
};

/// Time for connecting to a worker or peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two pings on a connection with calls under way.
const PING: Duration = Duration::from_secs(1);

/// Longest wait for the answer to a ping; longer than the pauses of a busy machine, since all
/// calls on the connection end with it.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to workers.
pub fn worker_links(settings: &Settings, clock: Clock) -> LinkOptions {
    links(clock, CONNECT_TIMEOUT, settings.holding.start_flight)
}

/// Connections to other entry instances.
pub fn peer_links(settings: &Settings, clock: Clock) -> LinkOptions {
    let silent = settings.peers.silent;
    LinkOptions { ping_timeout: silent, ..links(clock, CONNECT_TIMEOUT, silent) }
}

/// The platform.
pub fn platform(settings: &Settings, clock: Clock) -> PlatformOptions {
    let platform = &settings.platform;
    // Half of a call's time, so that a second address gets its turn within the same call.
    let connect_timeout = platform.call_timeout / 2;
    PlatformOptions {
        me: settings.instance.name.clone(),
        data_centre: settings.instance.data_centre.clone(),
        log_addresses: platform.log_addresses.clone(),
        list_addresses: platform.instance_list_addresses.clone(),
        call_timeout: platform.call_timeout,
        list_interval: platform.list_interval,
        stream_prefix: platform.stream_prefix.clone(),
        link: links(clock, connect_timeout, platform.call_timeout),
    }
}

/// The HTTP interface. The bootstrap token comes from the environment.
pub fn front(settings: &Settings, incarnation: Incarnation, clock: Clock) -> FrontOptions {
    let bootstrap_token = std::env::var(access::BOOTSTRAP_VARIABLE).ok();
    FrontOptions {
        instance: settings.instance.name.clone(),
        incarnation,
        clock,
        limits: InputLimits {
            max_body_bytes: usize::try_from(settings.traffic.max_body.0).unwrap_or(usize::MAX),
            max_deadline: settings.traffic.max_deadline,
        },
        bootstrap_token: bootstrap_token.filter(|token| !token.is_empty()),
    }
}

fn links(clock: Clock, connect_timeout: Duration, user_timeout: Duration) -> LinkOptions {
    let bytes = Arc::new(ByteCounts::default());
    LinkOptions {
        clock,
        connect_timeout,
        user_timeout,
        ping: PING,
        ping_timeout: PING_TIMEOUT,
        bytes,
    }
}
