//! A TCP link that can be harmed, from an instance to the store or to another one.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::Error;
use crate::Result;

/// How a link behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// As it should.
    #[default]
    None,
    /// Bytes wait, in both directions, and new connections hang.
    Cut,
    /// Calls arrive, answers wait.
    OneWay,
    /// Connections are closed at once.
    Reset,
    /// Bytes come so many milliseconds later.
    Delay(u64),
    /// Open connections go silent for good, new ones work.
    Forgotten,
    /// Answers of all connections together come at so many bytes a second.
    Rate(u64),
}

/// One link.
pub struct Link {
    harm: watch::Sender<Harm>,
    /// When the answers sent so far have passed, at the link's rate.
    free_at: Mutex<Instant>,
}

impl Link {
    /// A link from an address to another one.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn open(from: SocketAddrV4, to: SocketAddrV4) -> Result<Arc<Self>> {
        let bound = TcpListener::bind(from).await;
        let listener = bound.map_err(|source| Error::Bind {
            address: from,
            source,
        })?;
        let link = Arc::new(Self {
            harm: watch::Sender::default(),
            free_at: Mutex::new(Instant::now()),
        });
        let accepting = Arc::clone(&link);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, to, Arc::clone(&accepting)));
            }
        });
        Ok(link)
    }

    /// Changes how the link behaves.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }

    /// Waits until so many bytes of answers have passed.
    async fn carry(&self, bytes: usize) {
        let Harm::Rate(rate) = *self.harm.borrow() else {
            return;
        };
        let taken = Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        let until = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            *free_at = (*free_at).max(Instant::now()) + taken;
            *free_at
        };
        time::sleep_until(until).await;
    }
}

async fn relay(near: TcpStream, to: SocketAddrV4, link: Arc<Link>) {
    let harm = link.harm.subscribe();
    // A connection made while others are forgotten is a new one, and works.
    let is_new = *harm.borrow() == Harm::Forgotten;
    if *harm.borrow() == Harm::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let calls = pump(near_in, far_out, &link, Way::Calls, is_new);
    let answers = pump(far_in, near_out, &link, Way::Answers, is_new);
    tokio::select! {
        () = calls => {}
        () = answers => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Calls,
    Answers,
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: &Link,
    way: Way,
    is_new: bool,
) {
    let mut harm = link.harm.subscribe();
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = broken(&mut harm, is_new) => return,
        };
        let Ok(length @ 1..) = read else { return };
        if !pass(&mut harm, way, is_new).await {
            return;
        }
        if way == Way::Answers {
            link.carry(length).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns when the link resets its connections; stays for ever once the
/// connection is forgotten.
async fn broken(harm: &mut watch::Receiver<Harm>, is_new: bool) {
    loop {
        let now = *harm.borrow_and_update();
        match now {
            Harm::Reset => return,
            Harm::Forgotten if !is_new => std::future::pending::<()>().await,
            _ => {}
        }
        if harm.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits until bytes may pass; `false` when the connection is to be closed.
async fn pass(harm: &mut watch::Receiver<Harm>, way: Way, is_new: bool) -> bool {
    loop {
        let now = *harm.borrow_and_update();
        match now {
            Harm::None | Harm::Rate(_) => return true,
            Harm::OneWay if way == Way::Calls => return true,
            Harm::Forgotten if is_new => return true,
            Harm::Reset => return false,
            Harm::Delay(ms) => {
                time::sleep(Duration::from_millis(ms)).await;
                return true;
            }
            Harm::Cut | Harm::OneWay | Harm::Forgotten => {}
        }
        if harm.changed().await.is_err() {
            return false;
        }
    }
}
