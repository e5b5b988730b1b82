//! Runs a stand-in as a separate process.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use coap_lite::RequestType;
use standin::caller;
use standin::fabric;
use standin::platform;
use standin::server;

/// Stand-ins for the systems around godwitreel
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Serve the platform's key-value service
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// JSON file with an object of the initial keys and values
        #[bpaf(argument("FILE"))]
        seed_file: Option<PathBuf>,
    },
    /// Run a backend server
    #[bpaf(command)]
    Server {
        /// Name of the server
        #[bpaf(argument("NAME"))]
        name: String,
        /// Service that the server runs
        #[bpaf(argument("SERVICE"))]
        service: String,
        /// Address for requests
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Address for health checks
        #[bpaf(argument("ADDR"))]
        health: SocketAddr,
        /// Number of requests executed concurrently
        #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
        slots: usize,
        /// Execution time of a request, in milliseconds
        #[bpaf(argument("MS"), fallback(5), display_fallback)]
        service_time: u64,
        /// Time between notifications, in milliseconds
        #[bpaf(argument("MS"), fallback(1000), display_fallback)]
        notify_interval: u64,
    },
    /// Spray datagrams over entry instances
    #[bpaf(command)]
    Fabric {
        /// Public address of the service
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Seed of the random choice of instances
        #[bpaf(argument("SEED"), fallback(0), display_fallback)]
        seed: u64,
        /// Listen address of an instance; may be repeated
        #[bpaf(argument("ADDR"), some("at least one instance is required"))]
        instance: Vec<SocketAddr>,
    },
    /// Send a request or keep a feed open
    #[bpaf(command)]
    Caller {
        /// Address of the service
        #[bpaf(argument("ADDR"))]
        to: SocketAddr,
        /// Name of the service for the Uri-Host option
        #[bpaf(argument("SERVICE"))]
        host: Option<String>,
        /// Timeout for an answer, in milliseconds
        #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
        deadline: u64,
        /// Payload of the request
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        payload: String,
        /// get, post, put, delete or observe
        #[bpaf(positional("METHOD"))]
        method: Method,
        /// Path of the resource
        #[bpaf(positional("PATH"))]
        path: String,
    },
}

/// Action of the caller command.
#[derive(Clone, Copy, Debug)]
enum Method {
    Request(RequestType),
    Observe,
}

impl FromStr for Method {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "get" => Ok(Self::Request(RequestType::Get)),
            "post" => Ok(Self::Request(RequestType::Post)),
            "put" => Ok(Self::Request(RequestType::Put)),
            "delete" => Ok(Self::Request(RequestType::Delete)),
            "observe" => Ok(Self::Observe),
            _ => Err(format!("unknown method: {name}")),
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    match command().run() {
        Command::Platform { listen, seed_file } => {
            let platform = platform::start(listen).await?;
            if let Some(file) = seed_file {
                let text = std::fs::read_to_string(file)?;
                load_seed(&platform, &text)?;
            }
            println!("platform on {}", platform.address());
            tokio::signal::ctrl_c().await?;
        }
        Command::Server {
            name,
            service,
            listen,
            health,
            slots,
            service_time,
            notify_interval,
        } => {
            let mut settings = server::Settings::new(&name, &service);
            settings.bind = listen;
            settings.health_bind = health;
            settings.slots = slots;
            settings.service_time = Duration::from_millis(service_time);
            settings.notify_interval = Duration::from_millis(notify_interval);
            let server = server::start(settings).await?;
            let health = server.health_address();
            println!("server on {}, health on {health}", server.address());
            tokio::signal::ctrl_c().await?;
        }
        Command::Fabric {
            listen,
            seed,
            instance,
        } => {
            let fabric = fabric::start(listen, instance, seed).await?;
            println!("fabric on {}", fabric.address());
            tokio::signal::ctrl_c().await?;
        }
        Command::Caller {
            to,
            host,
            deadline,
            payload,
            method,
            path,
        } => {
            let mut settings = caller::Settings::new(to);
            settings.host = host;
            settings.seed = rand::random();
            let caller = caller::start(settings).await?;
            let deadline = Duration::from_millis(deadline);
            run_caller(&caller, method, &path, payload, deadline).await;
        }
    }
    Ok(())
}

fn load_seed(platform: &platform::Handle, text: &str) -> serde_json::Result<()> {
    let values: BTreeMap<String, serde_json::Value> = serde_json::from_str(text)?;
    for (key, value) in values {
        platform.put(&key, value.to_string());
    }
    Ok(())
}

async fn run_caller(
    caller: &caller::Caller,
    method: Method,
    path: &str,
    payload: String,
    deadline: Duration,
) {
    let Method::Request(method) = method else {
        return print_feed(caller, path, deadline).await;
    };
    let outcome = caller.request(method, path, payload, deadline).await;
    print_outcome(&outcome);
}

async fn print_feed(caller: &caller::Caller, path: &str, deadline: Duration) {
    let mut feed = match caller.observe(path, deadline).await {
        Ok(feed) => feed,
        Err(outcome) => return print_outcome(&outcome),
    };
    loop {
        match feed.next(deadline).await {
            caller::Update::Notification { observe, payload } => {
                println!("{observe}: {}", String::from_utf8_lossy(&payload));
            }
            caller::Update::Ended(outcome) => return print_outcome(&outcome),
            caller::Update::Silent => println!("silent"),
        }
    }
}

fn print_outcome(outcome: &caller::Outcome) {
    match outcome {
        caller::Outcome::Answered { code, payload } => {
            println!("{code:?}: {}", String::from_utf8_lossy(payload));
        }
        other => println!("{other:?}"),
    }
}
