//! A plain TCP forwarder that can cut, freeze or delay what passes through it.

use std::{io, net::SocketAddr, str::FromStr, time::Duration};

use lilacpass_core::error::{self, Error};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

const BUFFER_BYTES: usize = 16 * 1024;

/// What the forwarder does with bytes and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards.
    #[default]
    Pass,
    /// Drops open connections and closes new ones at once.
    Cut,
    /// Keeps connections open and forwards nothing; connections that were open then stay silent
    /// for good, as when something in between has lost track of them.
    Freeze,
    /// Forwards each piece after this time.
    Delay(Duration),
}

impl FromStr for Mode {
    type Err = Error;

    /// Reads `pass`, `cut`, `freeze` or `delay MS`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || error::malformed("Mode", text);
        let mut words = text.split_whitespace();
        match (words.next(), words.next()) {
            (Some("pass"), None) => Ok(Self::Pass),
            (Some("cut"), None) => Ok(Self::Cut),
            (Some("freeze"), None) => Ok(Self::Freeze),
            (Some("delay"), Some(ms)) => {
                ms.parse().map(|ms| Self::Delay(Duration::from_millis(ms))).map_err(|_| malformed())
            }
            _ => Err(malformed()),
        }
    }
}

/// A running forwarder; it ends when this is dropped.
#[derive(Debug)]
pub struct Shim {
    /// Address that it listens on.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    accepting: tokio::task::JoinHandle<()>,
}

impl Shim {
    /// Starts to forward from `listen` to `to`.
    pub async fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (mode, watcher) = watch::channel(Mode::Pass);
        let accepting = tokio::spawn(accept(listener, to, watcher));
        Ok(Self { address, mode, accepting })
    }

    /// Changes what is done with bytes and connections from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        self.accepting.abort();
        self.mode.send_replace(Mode::Cut);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, mode: watch::Receiver<Mode>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        if *mode.borrow() == Mode::Cut {
            continue;
        }
        tokio::spawn(forward(near, to, mode.clone()));
    }
}

/// Forwards one connection until an end closes it or it is cut.
async fn forward(near: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Small messages must not wait for each other's acknowledgement; without it calls only take longer.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cut = mode.clone();
    tokio::select! {
        _ = cut.wait_for(|mode| *mode == Mode::Cut) => {}
        _ = pump(near_read, far_write, mode.clone()) => {}
        _ = pump(far_read, near_write, mode) => {}
    }
}

/// Copies one direction.
async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut silent = false;
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        let mode_now = *mode.borrow();
        silent |= mode_now == Mode::Freeze;
        if silent {
            continue;
        }
        if let Mode::Delay(delay) = mode_now {
            time::sleep(delay).await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}
