//! Signals of the platform: SIGTERM for a planned stop, SIGHUP for changed settings, which may also
//! change without one.

use std::{rc::Rc, time::Duration};

use lilacpass_platform::settings;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{self, Instant},
};

use crate::node::Node;

/// Kept back from the time that the platform gives to stop, for the deadline answers to get out.
const GRACE_MARGIN: Duration = Duration::from_millis(900);
/// How long a stopping instance stays for callers that have not noticed yet. The platform settings_checks once
/// a second whether it is ready, and takes it out of rotation after two misses.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Time between settings_checks whether requests are still being served.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between settings_checks at the settings file. A look costs one system call; nothing of the settings is
/// urgent.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Handles signals until the process is to end.
pub async fn run(node: Rc<Node>) {
    let (mut terminate, mut hangup) =
        match (signal(SignalKind::terminate()), signal(SignalKind::hangup())) {
            (Ok(terminate), Ok(hangup)) => (terminate, hangup),
            (Err(err), _) | (_, Err(err)) => {
                log::error!(error:% = err; "signals can't be handled");
                return;
            }
        };
    let mut modified = settings::written_at();
    let mut settings_checks = time::interval(SETTINGS_INTERVAL);
    settings_checks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&node),
            _ = settings_checks.tick() => {
                let now = settings::written_at();
                if now != modified {
                    modified = now;
                    reload(&node);
                }
            }
        }
    }
    stop(&node).await;
}

/// Reads the settings again. Addresses stay as they are for the life of a process.
fn reload(node: &Node) {
    match settings::read() {
        Ok(settings) if settings == node.settings => log::info!("settings read again, no change"),
        Ok(_) => log::info!("settings read again; what has changed holds from the next start"),
        Err(err) => log::error!(error:% = err; "settings can't be read again, the old ones stay"),
    }
}

/// A planned stop: hands the lead over, serves what comes until callers have moved, then ends.
async fn stop(node: &Node) {
    log::info!(leads = node.leads(); "asked to stop");
    node.leaving.send_replace(true);
    if let Some(lead) = node.leader_handle.borrow().as_ref() {
        lead.resign();
    }
    let start = Instant::now();
    let grace = Duration::from_millis(node.settings.bounds.grace_ms);
    let deadline = start + grace.saturating_sub(GRACE_MARGIN);
    time::sleep_until((start + DRAIN_TIME).min(deadline)).await;
    while node.open_requests.get() > 0 && Instant::now() < deadline {
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
