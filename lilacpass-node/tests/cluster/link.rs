//! A network link of an instance. It forwards connections to another address on loopback. All connections share a
//! limited bandwidth towards the instance, and are closed once the link is cut.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream, tcp},
    select,
    time::{self, Instant},
};

/// Bytes of one connection that are forwarded before another connection has its turn.
const CHUNK_BYTES: usize = 8 * 1_024;
/// Interval between checks for a cut.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A network link with limited bandwidth.
pub struct Link {
    /// Address that the instance connects to.
    pub address: String,
    bytes_per_second: u64,
    /// When all data accepted so far will have passed the link.
    free_at: Cell<Instant>,
    is_cut: Cell<bool>,
}

impl Link {
    /// Opens a link from `port` to an address.
    pub fn open(port: u16, to: &str, bytes_per_second: u64) -> Rc<Self> {
        let address = format!("127.0.0.1:{port}");
        let listener = std::net::TcpListener::bind(&address).expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let listener = TcpListener::from_std(listener).expect("a listener");
        let link = Rc::new(Self {
            address,
            bytes_per_second,
            free_at: Cell::new(Instant::now()),
            is_cut: Cell::new(false),
        });
        let to = to.parse().expect("an address");
        tokio::task::spawn_local(link.clone().accept(listener, to));
        link
    }

    /// Closes all connections, and each new one at once.
    pub fn cut(&self) {
        self.is_cut.set(true);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, to: SocketAddr) {
        loop {
            let (near, _) = listener.accept().await.expect("a connection");
            tokio::task::spawn_local(self.clone().forward(near, to));
        }
    }

    async fn forward(self: Rc<Self>, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect(to).await else { return };
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        select! {
            _ = copy(&mut near_read, &mut far_write) => {}
            () = self.copy_throttled(&mut far_read, &mut near_write) => {}
            () = self.wait_until_cut() => {}
        }
    }

    async fn copy_throttled(&self, from: &mut tcp::OwnedReadHalf, to: &mut tcp::OwnedWriteHalf) {
        let mut chunk = [0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let transfer_time =
                Duration::from_secs_f64(length as f64 / self.bytes_per_second as f64);
            let passed_at = self.free_at.get().max(Instant::now()) + transfer_time;
            self.free_at.set(passed_at);
            time::sleep_until(passed_at).await;
            if to.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_until_cut(&self) {
        while !self.is_cut.get() {
            time::sleep(CUT_POLL_INTERVAL).await;
        }
    }
}
