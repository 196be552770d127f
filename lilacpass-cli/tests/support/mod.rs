//! A minimal HTTP server on the loopback interface with scripted responses, and functions that run the tool.

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

/// A request as the server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    /// Header names in lower case, with their values.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Value,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// How the server reacts to a request.
pub(crate) enum Reply {
    /// Responds with a status code and a JSON body.
    Json(u16, Value),
    /// Closes the connection without a response, as if the process had crashed.
    Close,
}

/// A server that runs until the test process ends.
pub(crate) struct FakeServer {
    pub(crate) url: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeServer {
    /// Starts a server that reacts to each request with the result of `reply_to`, which gets the request and the number
    /// of earlier requests.
    pub(crate) fn start(
        reply_to: impl Fn(&ReceivedRequest, usize) -> Reply + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let request_log = Arc::clone(&received);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(request) = read_request(&stream) else { continue };
                let earlier = request_log.lock().unwrap().len();
                request_log.lock().unwrap().push(request.clone());
                if let Reply::Json(status, body) = reply_to(&request, earlier) {
                    write_response(&stream, status, &body);
                }
            }
        });
        Self { url, received }
    }

    /// Starts a server that gives the same response to every request.
    pub(crate) fn always(status: u16, body: Value) -> Self {
        Self::start(move |_, _| Reply::Json(status, body.clone()))
    }

    /// Starts a server that receives each request and closes the connection without a response.
    pub(crate) fn closing() -> Self {
        Self::start(|_, _| Reply::Close)
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

/// Returns the URL of a port on which nothing listens. The port stays bound until the process ends, so that it is not
/// assigned to another test in the meantime.
pub(crate) fn unused_url() -> String {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let url = format!("http://{}", socket.local_addr().unwrap());
    mem::forget(socket);
    url
}

/// Exit code and output of a run of the tool.
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

/// Runs the tool against `servers` with the given arguments, which are separated by whitespace.
pub(crate) fn lilacpass(servers: &[&str], args: &str) -> ToolOutput {
    lilacpass_with(servers, args, "", &[])
}

/// Like [`lilacpass`], but with a text on standard input and additional environment variables.
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
    // Writing fails if the command exits before it has read all of its standard input.
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
    let mut request_line = lines.first()?.split(' ');
    let (method, path) = (request_line.next()?.to_owned(), request_line.next()?.to_owned());
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
    let content_type = if status < 400 { "application/json" } else { "application/problem+json" };
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: {content_type}\r\ncontent-length: {}\r\nconnection: close\r\n",
        body.len()
    );
    let _ = stream.write_all(format!("{head}\r\n{body}").as_bytes());
}
