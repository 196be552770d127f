//! A very small HTTP/1.1 client, which also sends what no proper client would.

use std::net::SocketAddr;

use lilacpass_schema::v1;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::PATIENCE;

/// A response, read whole.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    /// The value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
    }

    /// The body as problem document.
    pub fn problem(&self) -> v1::Problem {
        assert_eq!(self.header("content-type"), Some("application/problem+json"), "{self:?}");
        serde_json::from_str(&self.body).expect("a problem document")
    }
}

/// Sends `bytes` on a new connection and reads until the other side closes.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("send");
    read(&mut stream).await
}

/// Reads one response from a connection that the other side closes after it.
pub async fn read(stream: &mut TcpStream) -> Reply {
    let mut answer = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut answer)).await.expect("answer in time");
    assert!(read.is_ok() || !answer.is_empty(), "no answer: {read:?}");
    let text = String::from_utf8(answer).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    Reply { status, head: head.to_owned(), body: body.to_owned() }
}

/// Sends a request with a body; `headers` are lines without their ends.
pub async fn send(address: SocketAddr, method_path: &str, headers: &[&str], body: &str) -> Reply {
    raw(address, request(method_path, headers, body).as_bytes()).await
}

/// The text of a request after which the connection is closed.
pub fn request(method_path: &str, headers: &[&str], body: &str) -> String {
    let headers: String = headers.iter().map(|line| format!("{line}\r\n")).collect();
    let len = body.len();
    format!(
        "{method_path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         content-length: {len}\r\n{headers}\r\n{body}"
    )
}
