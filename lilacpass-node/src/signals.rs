//! Signal handling: SIGTERM for a planned stop, and SIGHUP for changed settings, which may also change without a
//! signal.

use std::{rc::Rc, time::Duration};

use lilacpass_platform::settings;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{self, Instant},
};

use crate::node::Node;

/// Subtracted from the platform's grace period, so that the last responses can be sent.
const GRACE_MARGIN: Duration = Duration::from_millis(900);
/// How long a stopping instance stays up for clients that have not been redirected yet. The platform checks its
/// readiness once a second, and takes it out of rotation after two failed checks.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Interval between checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks of the settings file. A check costs one system call, and changes of the settings are not
/// urgent.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Handles signals until the process should end.
pub async fn run(node: Rc<Node>) {
    let (mut terminate, mut hangup) =
        match (signal(SignalKind::terminate()), signal(SignalKind::hangup())) {
            (Ok(terminate), Ok(hangup)) => (terminate, hangup),
            (Err(err), _) | (_, Err(err)) => {
                log::error!(error:% = err; "signals cannot be handled");
                return;
            }
        };
    let mut last_written = settings::written_at();
    let mut settings_checks = time::interval(SETTINGS_INTERVAL);
    settings_checks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&node),
            _ = settings_checks.tick() => {
                let written = settings::written_at();
                if written != last_written {
                    last_written = written;
                    reload(&node);
                }
            }
        }
    }
    stop(&node).await;
}

/// Reads the settings again and logs whether they have changed. Addresses stay the same for the life of a process, so
/// changes only take effect at the next start.
fn reload(node: &Node) {
    match settings::read() {
        Ok(settings) if settings == node.settings => log::info!("settings reloaded, no change"),
        Ok(_) => log::info!("settings changed; the changes take effect at the next start"),
        Err(err) => log::error!(error:% = err; "settings cannot be reloaded, keeping the old ones"),
    }
}

/// Performs a planned stop: hands leadership over, serves requests until clients have been redirected, then ends.
///
/// A leader that could not hand over yet stays until its grace period is nearly over. While the store is out nobody can
/// replace it, and it still knows the states of all jobs and stores what comes as soon as the store is back.
pub async fn stop(node: &Node) {
    log::info!(leads = node.leads(); "stop requested");
    node.leaving.send_replace(true);
    if let Some(leader) = node.leader_handle.borrow().as_ref() {
        leader.resign();
    }
    let start = Instant::now();
    let grace = Duration::from_millis(node.settings.bounds.grace_ms);
    let deadline = start + grace.saturating_sub(GRACE_MARGIN);
    time::sleep_until((start + DRAIN_TIME).min(deadline)).await;
    while (node.open_requests.get() > 0 || node.leads()) && Instant::now() < deadline {
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
