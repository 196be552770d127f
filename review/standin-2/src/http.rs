//! A small HTTP/1.1 server and client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

/// A request that has arrived completely.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// A response: status and body.
pub struct Reply(pub u16, pub Vec<u8>);

impl Reply {
    pub fn json(status: u16, body: &Value) -> Self {
        Self(status, body.to_string().into_bytes())
    }
}

/// Handles a request. `None` closes the connection without a response.
pub type Handler = Arc<dyn Fn(Request) -> Option<Reply> + Send + Sync>;

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let Reply(status, body) = handler(request)?;
        let head = format!("HTTP/1.1 {status} S\r\ncontent-length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        writer.write_all(&bytes).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Some(0), |(_, value)| value.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (_method, target) = (words.next()?, words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    let body = read_body(reader, &headers)?;
    Some(Request { path: path.to_owned(), query, headers, body })
}

/// Sends a request over a connection of its own. Returns the status and the body.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let invalid = || io::Error::new(io::ErrorKind::InvalidData, "no response");
    let end = Instant::now() + timeout;
    let parsed = address.parse().map_err(|_| invalid())?;
    let mut stream = TcpStream::connect_timeout(&parsed, timeout)?;
    stream.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let deadline = timeout.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {deadline}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok_or_else(invalid)?;
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).ok_or_else(invalid)?;
    let body = read_body(&mut reader, &headers).ok_or_else(invalid)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
