//! Entry instances as processes: started, signalled, and started again.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::json;
use tokio::time;

use crate::Error;
use crate::Result;
use crate::ledger::Ledger;

/// Time between two looks at a process.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Pause before a process that has ended is started again.
const RESTART: Duration = Duration::from_millis(300);

/// Longest planned stop.
const GRACE: Duration = Duration::from_secs(6);

/// Port of readiness, status and subscriptions, on each instance's address.
pub const READY: u16 = 7_001;
/// Port of metrics and status.
pub const STATUS: u16 = 7_002;
/// Port of subscriptions.
pub const PEERS: u16 = 7_003;

/// What an instance is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// Where settings and logs are kept.
    pub folder: PathBuf,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its address.
    pub address: Ipv4Addr,
    /// Port for packets.
    pub packets: u16,
    /// Its link to the store.
    pub store: SocketAddrV4,
    /// Where other instances find it.
    pub peers: SocketAddrV4,
    /// Time in which changes of the store must be in force.
    pub bound: Duration,
    /// Longest wait for another instance's copy at the start.
    pub copy_wait: Duration,
    /// Rate of its link, in Mbit/s.
    pub link_mbps: f64,
    /// Instances to ask when the store does not answer.
    pub seeds: Vec<SocketAddrV4>,
}

struct State {
    child: Option<Child>,
    /// Whether its end is of the soak's making.
    is_meant: bool,
    is_over: bool,
}

/// One instance, whatever process it has at the moment.
pub struct Instance {
    setup: Setup,
    state: Mutex<State>,
}

impl Instance {
    /// Writes the settings and starts the first process.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written or the program not be started.
    pub fn start(setup: Setup) -> Result<Arc<Self>> {
        write_settings(&setup)?;
        let instance = Arc::new(Self {
            state: Mutex::new(State {
                child: Some(spawn(&setup)?),
                is_meant: false,
                is_over: false,
            }),
            setup,
        });
        Ok(instance)
    }

    /// Where it runs.
    pub fn address(&self) -> Ipv4Addr {
        self.setup.address
    }

    /// Its availability zone.
    pub fn zone(&self) -> &str {
        &self.setup.zone
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a signal to its process, and to no other.
    pub fn signal(&self, signal: Signal) {
        let mut state = self.lock();
        state.is_meant |= matches!(signal, Signal::SIGTERM | Signal::SIGKILL);
        if let Some(child) = &state.child {
            let id = Pid::from_raw(child.id() as i32);
            // It may have ended just now; its id is ours until it is waited for.
            let _ = signal::kill(id, signal);
        }
    }

    /// Starts it again whenever it ends, until the run is over.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started again.
    pub async fn watch(self: Arc<Self>, ledger: Arc<Ledger>) -> Result<()> {
        let mut stopping_for = Duration::ZERO;
        loop {
            time::sleep(LOOK_EVERY).await;
            if self.lock().is_over {
                return Ok(());
            }
            if !self.has_ended(&ledger) {
                // A platform kills what outlives its grace time.
                let is_stopping = self.lock().is_meant;
                stopping_for = match is_stopping {
                    true => stopping_for + LOOK_EVERY,
                    false => Duration::ZERO,
                };
                if stopping_for > GRACE {
                    self.signal(Signal::SIGKILL);
                }
                continue;
            }
            stopping_for = Duration::ZERO;
            ledger.disturb(self.setup.address, RESTART);
            time::sleep(RESTART).await;
            let mut state = self.lock();
            if state.is_over {
                return Ok(());
            }
            state.child = Some(spawn(&self.setup)?);
            state.is_meant = false;
            drop(state);
            ledger.disturb(self.setup.address, Duration::ZERO);
        }
    }

    fn has_ended(&self, ledger: &Ledger) -> bool {
        let mut state = self.lock();
        let Some(child) = &mut state.child else {
            return true;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        state.child = None;
        if !state.is_meant {
            let detail = format!("{}: {status}", self.setup.name);
            ledger.breach("process ended by itself", detail);
        }
        true
    }

    /// Ends its process for good.
    pub fn end(&self) {
        let mut state = self.lock();
        state.is_over = true;
        if let Some(mut child) = state.child.take() {
            // It may have ended by itself; either way it is waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}

fn write_settings(setup: &Setup) -> Result<()> {
    let at = |port| SocketAddrV4::new(setup.address, port).to_string();
    let seeds: Vec<String> = setup.seeds.iter().map(ToString::to_string).collect();
    let settings = json!({
        "instance": setup.name,
        "zone": setup.zone,
        "packets": at(setup.packets),
        "ready": at(READY),
        "metrics": at(STATUS),
        "peers": at(PEERS),
        "peers_advertised": setup.peers.to_string(),
        "seeds": seeds,
        "store": {
            "addresses": [format!("http://{}", setup.store)],
            "bounds_ms": [setup.bound.as_millis() as u64],
            "copy_wait_ms": setup.copy_wait.as_millis() as u64,
        },
        "link_mbps": setup.link_mbps,
        "grace_ms": GRACE.as_millis() as u64,
    });
    let path = settings_path(setup);
    std::fs::write(&path, settings.to_string()).map_err(|source| Error::File { path, source })
}

fn settings_path(setup: &Setup) -> PathBuf {
    setup.folder.join(format!("{}.jsonc", setup.name))
}

fn open_log(path: &Path) -> Result<File> {
    let opened = File::options().create(true).append(true).open(path);
    opened.map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}

fn spawn(setup: &Setup) -> Result<Child> {
    let log = open_log(&setup.folder.join(format!("{}.log", setup.name)))?;
    let errors = open_log(&setup.folder.join(format!("{}.err", setup.name)))?;
    let mut command = Command::new(&setup.program);
    command
        .arg("--settings")
        .arg(settings_path(setup))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    command.spawn().map_err(|error| Error::Process {
        name: setup.name.clone(),
        reason: error.to_string(),
    })
}
