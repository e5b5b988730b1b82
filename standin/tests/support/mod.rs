//! A minimal HTTP/1.1 client that reports connections closed without an answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time;

/// Timeout of every wait. It only ends a failed test; no test measures time by it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Loopback address with an ephemeral port.
pub(crate) fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let poll = async {
        while !holds() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = time::timeout(TIMEOUT, poll).await;
    waited.unwrap_or_else(|_| panic!("timed out waiting until {condition}"));
}

/// Sends a request; returns the connection from which to read the answer.
pub(crate) async fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect(to).await?;
    let size = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    let request = format!("{head}content-length: {size}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await?;
    Ok(BufReader::new(stream))
}

/// Sends a request and parses the JSON body of the answer; none without an answer.
pub(crate) async fn request_json(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<Value> {
    let exchange = async {
        let mut stream = send(to, method, path, body).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        io::Result::Ok(answer)
    };
    let answer = time::timeout(TIMEOUT, exchange)
        .await
        .expect("the exchange ends");
    let answer = answer.ok()?;
    let (_, body) = answer.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}
