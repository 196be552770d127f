//! A minimal HTTP/1.1 server and client over blocking sockets: one thread per connection.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// A request as received.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A response: status and body. `None` as a result of a handler closes the connection without a response.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub is_json: bool,
}

impl Response {
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self { status, body: value.to_string().into_bytes(), is_json: true }
    }

    pub fn bytes(body: Vec<u8>) -> Self {
        Self { status: 200, body, is_json: false }
    }
}

type Handler = dyn Fn(Request) -> Option<Response> + Send + Sync;

/// Channels that a worker has; it resets further ones.
pub const CHANNELS: usize = 64;

/// A server that can go down and come back at the same address, as a process that crashes and starts again.
pub struct Server {
    address: SocketAddr,
    handler: Arc<Handler>,
    most_channels: usize,
    /// Number of channels that were reset because there were too many.
    reset: Arc<AtomicUsize>,
    state: Mutex<Option<Running>>,
}

struct Running {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    acceptor: thread::JoinHandle<()>,
}

impl Server {
    /// Starts a server.
    pub fn start(
        address: SocketAddr,
        most_channels: usize,
        handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let server = Arc::new(Self {
            address,
            handler: Arc::new(handler),
            most_channels,
            reset: Arc::default(),
            state: Mutex::new(None),
        });
        server.up()?;
        Ok(server)
    }

    /// Returns the number of channels that were reset because there were too many.
    pub fn reset(&self) -> usize {
        self.reset.load(Ordering::SeqCst)
    }

    /// Listens again.
    pub fn up(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (stop, open, handler) = (stopped.clone(), connections.clone(), self.handler.clone());
        let (most_channels, reset) = (self.most_channels, self.reset.clone());
        let live = Arc::new(AtomicUsize::new(0));
        let acceptor = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        if live.load(Ordering::SeqCst) >= most_channels {
                            reset.fetch_add(1, Ordering::SeqCst);
                            continue;
                        }
                        let Ok(copy) = stream.try_clone() else { continue };
                        open.lock().unwrap().push(copy);
                        live.fetch_add(1, Ordering::SeqCst);
                        let (handler, stop, live) = (handler.clone(), stop.clone(), live.clone());
                        thread::spawn(move || {
                            serve(stream, &*handler, &stop);
                            live.fetch_sub(1, Ordering::SeqCst);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        *self.state.lock().unwrap() = Some(Running { stopped, connections, acceptor });
        Ok(())
    }

    /// Closes the listener and all connections. Requests in progress get no response.
    pub fn down(&self) {
        let Some(running) = self.state.lock().unwrap().take() else { return };
        running.stopped.store(true, Ordering::SeqCst);
        let _ended = running.acceptor.join();
        for stream in running.connections.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stopped: &AtomicBool) {
    if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut writer = writer;
    while let Ok(Some(request)) = read_request(&mut reader) {
        let response = handler(request);
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        let Some(response) = response else { break };
        let kind = if response.is_json { "application/json" } else { "application/octet-stream" };
        let mut bytes = format!(
            "HTTP/1.1 {} x\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend(response.body);
        if writer.write_all(&bytes).is_err() {
            break;
        }
    }
    let _closed = writer.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let _method = words.next();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    Ok(Some(Request { path: path.to_owned(), query, headers, body }))
}

/// Sends one request on a connection of its own. Returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
