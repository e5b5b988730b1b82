//! Processes of the entry instances: starts them, signals them and restarts them.

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
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::Error;
use crate::Result;
use crate::ledger::Ledger;

/// Time between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before a process that has exited is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Grace period of a planned stop. A process that exceeds it is killed.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// Port of the readiness endpoint, on each instance's address.
pub const READY_PORT: u16 = 7_001;
/// Port of the metrics and status endpoints.
pub const STATUS_PORT: u16 = 7_002;
/// Port on which other instances subscribe.
pub const PEER_PORT: u16 = 7_003;

/// Parameters of an instance.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Program file.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address of the instance.
    pub address: Ipv4Addr,
    /// Port for packets.
    pub packet_port: u16,
    /// Address of its link to the store.
    pub store_address: SocketAddrV4,
    /// Address that it advertises to other instances.
    pub advertised_address: SocketAddrV4,
    /// Time within which changes of the store must be applied.
    pub update_bound: Duration,
    /// Longest wait for another instance's copy of the store at the start.
    pub copy_wait: Duration,
    /// Bandwidth of its network link, in Mbit/s.
    pub link_mbps: f64,
    /// Addresses of instances to contact when the store does not answer.
    pub seeds: Vec<SocketAddrV4>,
    /// Decisions under load, as the settings have them; `None` leaves them off.
    pub balancing: Option<Value>,
}

struct State {
    child: Option<Child>,
    /// Whether the process was sent a signal that ends it.
    is_end_requested: bool,
    /// Whether the process must not be restarted.
    is_shut_down: bool,
}

/// An instance, with its current process if that is running.
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
                is_end_requested: false,
                is_shut_down: false,
            }),
            setup,
        });
        Ok(instance)
    }

    /// Address of the instance.
    pub fn address(&self) -> Ipv4Addr {
        self.setup.address
    }

    /// Availability zone of the instance.
    pub fn zone(&self) -> &str {
        &self.setup.zone
    }

    /// Name of the instance.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a signal to the process, if it has not been waited for yet.
    pub fn signal(&self, signal: Signal) {
        let mut state = self.lock();
        state.is_end_requested |= matches!(signal, Signal::SIGTERM | Signal::SIGKILL);
        if let Some(child) = &state.child {
            let id = Pid::from_raw(child.id() as i32);
            // The process may just have exited. Its id is not reused until it is waited for,
            // so the signal cannot reach another process.
            let _ = signal::kill(id, signal);
        }
    }

    /// Restarts the process whenever it exits, until `end` is called.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be restarted.
    pub async fn supervise(self: Arc<Self>, ledger: Arc<Ledger>) -> Result<()> {
        let mut stopping_for = Duration::ZERO;
        loop {
            time::sleep(POLL_INTERVAL).await;
            if self.lock().is_shut_down {
                return Ok(());
            }
            if !self.check_exit(&ledger) {
                // As a platform does, kills a process that exceeds its grace period.
                let is_stopping = self.lock().is_end_requested;
                stopping_for = match is_stopping {
                    true => stopping_for + POLL_INTERVAL,
                    false => Duration::ZERO,
                };
                if stopping_for > STOP_GRACE {
                    self.signal(Signal::SIGKILL);
                }
                continue;
            }
            stopping_for = Duration::ZERO;
            ledger.mark_disturbed(self.setup.address, RESTART_DELAY);
            time::sleep(RESTART_DELAY).await;
            let mut state = self.lock();
            if state.is_shut_down {
                return Ok(());
            }
            state.child = Some(spawn(&self.setup)?);
            state.is_end_requested = false;
            drop(state);
            ledger.mark_disturbed(self.setup.address, Duration::ZERO);
        }
    }

    fn check_exit(&self, ledger: &Ledger) -> bool {
        let mut state = self.lock();
        let Some(child) = &mut state.child else {
            return true;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        state.child = None;
        if !state.is_end_requested {
            let detail = format!("{}: {status}", self.setup.name);
            ledger.record_breach("process ended by itself", detail);
        }
        true
    }

    /// Kills the process and does not restart it.
    pub fn end(&self) {
        let mut state = self.lock();
        state.is_shut_down = true;
        if let Some(mut child) = state.child.take() {
            // Killing fails if the process has exited; it must be waited for either way.
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
    let mut settings = json!({
        "instance": setup.name,
        "zone": setup.zone,
        "packets": at(setup.packet_port),
        "ready": at(READY_PORT),
        "metrics": at(STATUS_PORT),
        "peers": at(PEER_PORT),
        "peers_advertised": setup.advertised_address.to_string(),
        "seeds": seeds,
        "store": {
            "addresses": [format!("http://{}", setup.store_address)],
            "bounds_ms": [setup.update_bound.as_millis() as u64],
            "copy_wait_ms": setup.copy_wait.as_millis() as u64,
        },
        "link_mbps": setup.link_mbps,
        "grace_ms": STOP_GRACE.as_millis() as u64,
    });
    if let Some(balancing) = &setup.balancing {
        settings["balancing"] = balancing.clone();
    }
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
