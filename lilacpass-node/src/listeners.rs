//! The listeners of an instance: for clients, for the platform's readiness checks, for peers and for metrics.

use std::{future, io, net::SocketAddr, rc::Rc};

use lilacpass_platform::{
    accepted::AcceptedConnections,
    desired::Limits,
    server::{self, ReceivedRequest, Reply},
};
use tokio::{net::TcpListener, task};

use crate::{frontend, metrics, node::Node, peers, resource_shares};

impl Node {
    /// Opens the listeners for clients, for readiness checks of the platform, for peers and for metrics.
    pub fn listen(self: &Rc<Self>) -> io::Result<()> {
        let peers = server::listen(parse(&self.peer_address())?)?;
        let ready = server::listen(parse(&self.settings.ready_address)?)?;
        let callers = server::listen_for_callers(parse(&self.settings.callers_address)?)?;
        self.serve_callers(callers);
        self.serve_peers(peers);
        let node = self.clone();
        serve_platform("readiness", ready, move |received| frontend::ready(node.clone(), received));
        self.listen_for_metrics();
        Ok(())
    }

    fn serve_callers(self: &Rc<Self>, listener: TcpListener) {
        let node = self.clone();
        let limits = move || node.limits();
        let node = self.clone();
        let check = move |received: &ReceivedRequest| frontend::check_head(&node, received);
        let node = self.clone();
        let handler = move |received| frontend::serve(node.clone(), received);
        let connections = self.callers.clone();
        task::spawn_local(server::serve_within(listener, connections, limits, check, handler));
    }

    fn serve_peers(self: &Rc<Self>, listener: TcpListener) {
        let node = self.clone();
        let handler = move |received| peers::serve(node.clone(), received);
        let (connections, check) = (self.peers.clone(), |_: &ReceivedRequest| Ok(()));
        let serving = server::serve_within(listener, connections, peers::limits, check, handler);
        task::spawn_local(serving);
    }

    /// Serves the metrics. If the metrics port is taken, the instance runs without them.
    fn listen_for_metrics(self: &Rc<Self>) {
        let address = format!("{}:{}", self.settings.ip, metrics::PORT);
        match parse(&address).and_then(server::listen) {
            Ok(listener) => {
                let node = self.clone();
                serve_platform("metrics", listener, move |received| {
                    future::ready(node.metrics_reply(&received.path))
                });
            }
            Err(err) => log::warn!(address, error:% = err; "listening for metrics requests failed"),
        }
    }

    fn metrics_reply(&self, path: &str) -> Reply {
        self.metrics.connections(&self.callers, &self.limits());
        self.metrics.connections(&self.peers, &peers::limits());
        self.metrics.reply(path)
    }
}

fn parse(address: &str) -> io::Result<SocketAddr> {
    address.parse().map_err(|err| io::Error::new(io::ErrorKind::InvalidInput, err))
}

/// Serves requests of the platform itself.
fn serve_platform<H, F>(name: &'static str, listener: TcpListener, handler: H)
where
    H: Fn(ReceivedRequest) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let connections = AcceptedConnections::new(name, resource_shares::PLATFORM);
    let check = |_: &ReceivedRequest| Ok(());
    let serving = server::serve_within(listener, connections, Limits::default, check, handler);
    task::spawn_local(serving);
}
