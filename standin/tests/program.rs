//! The `standin` program, which runs stand-ins as separate processes.

mod support;

use std::path::Path;
use std::process::Stdio;

use serde_json::json;
use standin::server;
use support::TIMEOUT;
use support::any_port;
use support::request_json;
use support::wait_until;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Command;
use tokio::time;

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin"));
    command.args(arguments);
    command.stdout(Stdio::piped()).kill_on_drop(true);
    command
}

#[tokio::test]
async fn the_platform_starts_with_its_seed() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("seed.json");
    std::fs::write(&file, r#"{"k": {"slots": 2}}"#).expect("a file");
    let file = file.to_str().expect("a plain path");
    let listen = any_port().to_string();
    let mut command = program(&["platform", "--listen", &listen, "--seed-file", file]);
    let mut process = command.spawn().expect("a process");
    let output = process.stdout.take().expect("its output");
    let mut lines = BufReader::new(output).lines();
    let line = time::timeout(TIMEOUT, lines.next_line()).await;
    let line = line.expect("a line").expect("a line").expect("a line");
    let address = line.strip_prefix("platform on ").expect("an address");
    let address = address.parse().expect("an address");

    let body = json!({"key": "aw=="}).to_string();
    let read = request_json(address, "POST", "/v3/kv/range", &body).await;
    // Base64 of `{"slots":2}`.
    let value = "eyJzbG90cyI6Mn0=";
    assert_eq!(read.expect("an answer")["kvs"][0]["value"], value);
}

#[tokio::test]
async fn the_caller_prints_its_answer() {
    let server = server::start(server::Settings::new("d1", "dispatch")).await;
    let server = server.expect("the server starts");
    let to = server.address().to_string();
    let arguments = ["caller", "--to", &to, "--payload", "p-1", "post", "/x"];
    let output = time::timeout(TIMEOUT, program(&arguments).output()).await;
    let output = output.expect("it ends").expect("it ends");
    let answer = "Created: server=d1,path=/x,size=3,id=p-1\n";
    assert_eq!(String::from_utf8_lossy(&output.stdout), answer);
    wait_until("the start is counted", || server.starts("p-1") == 1).await;
}
