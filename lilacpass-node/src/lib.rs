//! One instance of lilacpass on the platform. It accepts client requests, and either leads the cell or follows the
//! instance that does.
//!
//! All work runs on a single thread, except that another one writes the log, and that a leader renews its record on a
//! third. Instances have a fraction of one CPU core, and passing work between threads would cost additional wake-ups.

pub mod access;
pub mod announcement;
pub mod append;
pub mod clock;
pub mod desired_message;
pub mod desired_relay;
pub mod desired_watch;
pub mod election;
pub mod former_leaders;
pub mod forward_slots;
pub mod frontend;
pub mod handover;
pub mod intake;
pub mod leader_handle;
pub mod leader_loop;
pub mod listeners;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod node;
pub mod operator_api;
pub mod orders;
pub mod peers;
pub mod registered_workers;
pub mod registry_watch;
pub mod relay_choice;
pub mod relay_client;
pub mod relay_messages;
pub mod relay_server;
pub mod relays;
pub mod renewal;
pub mod resource_shares;
pub mod signals;
pub mod stated_admission;
pub mod store_contact;
pub mod takeover;
pub mod trace;
pub mod worker_connections;

use std::{process::ExitCode, rc::Rc};

use lilacpass_platform::settings;
use tokio::{runtime, task::LocalSet};

use crate::node::Node;

/// Runs an instance until it is asked to stop.
pub fn run() -> ExitCode {
    logging::init();
    let settings = match settings::read() {
        Ok(settings) => settings,
        Err(err) => {
            log::error!(error:% = err; "settings cannot be read");
            logging::flush();
            return ExitCode::FAILURE;
        }
    };
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            log::error!(error:% = err; "runtime cannot be started");
            logging::flush();
            return ExitCode::FAILURE;
        }
    };
    let node = Rc::new(Node::new(settings));
    let code = LocalSet::new().block_on(&runtime, serve(node));
    logging::flush();
    code
}

async fn serve(node: Rc<Node>) -> ExitCode {
    log::info!(
        instance = node.settings.instance.as_str(),
        data_centre = node.settings.data_centre.as_str();
        "instance started"
    );
    if let Err(err) = node.listen() {
        log::error!(error:% = err; "listening failed");
        return ExitCode::FAILURE;
    }
    tokio::task::spawn_local(desired_watch::run(node.clone()));
    tokio::task::spawn_local(desired_relay::run(node.clone()));
    tokio::task::spawn_local(election::run(node.clone()));
    tokio::task::spawn_local(worker_connections::run(node.clone()));
    signals::run(node).await;
    log::info!("instance stopped");
    ExitCode::SUCCESS
}
