//! A TCP proxy that simulates link faults, between an instance and the store or between
//! instances.

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

/// Fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// The link works.
    #[default]
    None,
    /// Bytes are held back in both directions, also on new connections.
    Cut,
    /// Requests are forwarded, responses are held back.
    OneWay,
    /// Open and new connections are closed at once.
    Reset,
    /// Bytes are delayed by so many milliseconds.
    Delay(u64),
    /// Connections opened before the fault never forward another byte; new ones work.
    Forgotten,
    /// Responses of all connections share a rate of so many bytes per second.
    Rate(u64),
}

/// A link, which accepts connections and forwards them.
pub struct Link {
    fault: watch::Sender<LinkFault>,
    /// When the responses so far have been transmitted at the limited rate.
    rate_free_at: Mutex<Instant>,
}

impl Link {
    /// Listens on one address and forwards connections to another one.
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
            fault: watch::Sender::default(),
            rate_free_at: Mutex::new(Instant::now()),
        });
        let accepting_link = Arc::clone(&link);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, to, Arc::clone(&accepting_link)));
            }
        });
        Ok(link)
    }

    /// Sets the fault of the link; `None` ends it.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Waits until so many bytes of responses have been transmitted at the limited rate.
    async fn wait_for_rate(&self, bytes: usize) {
        let LinkFault::Rate(rate) = *self.fault.borrow() else {
            return;
        };
        let transmission_time = Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        let until = {
            let mut rate_free_at = self
                .rate_free_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *rate_free_at = (*rate_free_at).max(Instant::now()) + transmission_time;
            *rate_free_at
        };
        time::sleep_until(until).await;
    }
}

async fn relay(client: TcpStream, to: SocketAddrV4, link: Arc<Link>) {
    let fault = link.fault.subscribe();
    // A connection opened during `Forgotten` is not affected by that fault.
    let opened_during_fault = *fault.borrow() == LinkFault::Forgotten;
    if *fault.borrow() == LinkFault::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = forward(
        client_read,
        server_write,
        &link,
        Direction::Requests,
        opened_during_fault,
    );
    let responses = forward(
        server_read,
        client_write,
        &link,
        Direction::Responses,
        opened_during_fault,
    );
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: &Link,
    direction: Direction,
    opened_during_fault: bool,
) {
    let mut fault = link.fault.subscribe();
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = wait_for_reset(&mut fault, opened_during_fault) => return,
        };
        let Ok(length @ 1..) = read else { return };
        if !wait_to_forward(&mut fault, direction, opened_during_fault).await {
            return;
        }
        if direction == Direction::Responses {
            link.wait_for_rate(length).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns when the link resets its connections. Never returns once the connection is
/// affected by `Forgotten`, so that it stays open without forwarding anything.
async fn wait_for_reset(fault: &mut watch::Receiver<LinkFault>, opened_during_fault: bool) {
    loop {
        let current = *fault.borrow_and_update();
        match current {
            LinkFault::Reset => return,
            LinkFault::Forgotten if !opened_during_fault => std::future::pending::<()>().await,
            _ => {}
        }
        if fault.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits until bytes may be forwarded; `false` if the connection must be closed.
async fn wait_to_forward(
    fault: &mut watch::Receiver<LinkFault>,
    direction: Direction,
    opened_during_fault: bool,
) -> bool {
    loop {
        let current = *fault.borrow_and_update();
        match current {
            LinkFault::None | LinkFault::Rate(_) => return true,
            LinkFault::OneWay if direction == Direction::Requests => return true,
            LinkFault::Forgotten if opened_during_fault => return true,
            LinkFault::Reset => return false,
            LinkFault::Delay(ms) => {
                time::sleep(Duration::from_millis(ms)).await;
                return true;
            }
            LinkFault::Cut | LinkFault::OneWay | LinkFault::Forgotten => {}
        }
        if fault.changed().await.is_err() {
            return false;
        }
    }
}
