//! A bare HTTP/1.1 client, enough to see connections close without an answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time;

/// Bound on every wait; nothing is measured by it.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Any port of this host.
pub(crate) fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, holds: impl Fn() -> bool) {
    let poll = async {
        while !holds() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = time::timeout(PATIENCE, poll).await;
    waited.unwrap_or_else(|_| panic!("waited in vain: {what}"));
}

/// Sends a request; returns the connection that the answer comes on.
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

/// Sends a request and reads the whole answer; none if there is no answer.
pub(crate) async fn ask(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<Value> {
    let exchange = async {
        let mut stream = send(to, method, path, body).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        io::Result::Ok(answer)
    };
    let answer = time::timeout(PATIENCE, exchange).await.expect("it ends");
    let answer = answer.ok()?;
    let (_, body) = answer.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}
