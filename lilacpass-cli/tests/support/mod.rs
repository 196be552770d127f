//! A tiny HTTP server on loopback that answers as a test says, and a way to run the tool.

#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    mem,
    net::{TcpListener, TcpStream},
    process::{Command, Stdio},
    sync::{Arc, Mutex},
    thread,
};

use serde_json::Value;
use tokio::net::TcpSocket;

/// A request as the server got it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    /// Lines of the head, in lower case up to the colon.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Value,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// What the server does with a request.
pub(crate) enum Reply {
    Json(u16, Value),
    /// Closes the connection without an answer, as a process that dies does.
    Close,
}

/// A server that lives as long as the test process.
pub(crate) struct FakeServer {
    pub(crate) url: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeServer {
    /// Answers each request with what `answer` says of it and of the number of those before.
    pub(crate) fn start(
        answer: impl Fn(&ReceivedRequest, usize) -> Reply + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(request) = read_request(&stream) else { continue };
                let before = log.lock().unwrap().len();
                log.lock().unwrap().push(request.clone());
                if let Reply::Json(status, body) = answer(&request, before) {
                    write_response(&stream, status, &body);
                }
            }
        });
        Self { url, received }
    }

    /// Gives the same answer to all.
    pub(crate) fn always(status: u16, body: Value) -> Self {
        Self::start(move |_, _| Reply::Json(status, body.clone()))
    }

    /// Takes each request and closes the connection.
    pub(crate) fn closing() -> Self {
        Self::start(|_, _| Reply::Close)
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

/// The URL of a port where nobody listens, and which no other test is given in the meantime: it
/// stays bound until the process ends.
pub(crate) fn unused_url() -> String {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let url = format!("http://{}", socket.local_addr().unwrap());
    mem::forget(socket);
    url
}

/// What a run of the tool left behind.
#[derive(Debug)]
pub(crate) struct ToolOutput {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl ToolOutput {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

/// Runs the tool with the arguments given, separated by spaces, against `servers`.
pub(crate) fn lilacpass(servers: &[&str], args: &str) -> ToolOutput {
    lilacpass_with(servers, args, "", &[])
}

/// The same with a text on standard input and with variables of the environment.
pub(crate) fn lilacpass_with(
    servers: &[&str],
    args: &str,
    stdin: &str,
    env: &[(&str, &str)],
) -> ToolOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lilacpass"));
    command.args(args.split_whitespace()).args(servers.iter().flat_map(|url| ["--server", url]));
    ["LILACPASS_SERVER", "LILACPASS_TOKEN", "LILACPASS_TOKEN_FILE"].iter().for_each(|name| {
        command.env_remove(name);
    });
    command.env("COLUMNS", "80").envs(env.iter().copied());
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // A command that fails early closes its standard input before all is written.
    let _ = child.stdin.take().unwrap().write_all(stdin.as_bytes());
    let output = child.wait_with_output().unwrap();
    ToolOutput {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn read_request(stream: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let mut first = lines.first()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines[1..]
        .iter()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let len = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; len.map_or(0, |(_, len)| len.parse().unwrap())];
    reader.read_exact(&mut body).ok()?;
    Some(ReceivedRequest {
        method,
        path,
        headers,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}

fn write_response(mut stream: &TcpStream, status: u16, body: &Value) {
    let kind = if status < 400 { "application/json" } else { "application/problem+json" };
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {}\r\nconnection: close\r\n",
        body.len()
    );
    let _ = stream.write_all(format!("{head}\r\n{body}").as_bytes());
}
