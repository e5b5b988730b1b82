//! HTTP connections that can be closed without an answer.
//!
//! A handler gets the [`Connection`] of its request. After [`Connection::abort`]
//! all reads and writes on it fail, so that the client sees the connection close
//! where it expected a response.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use axum::extract::connect_info::Connected;
use axum::serve::IncomingStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Handle of a connection for the handlers of its requests.
#[derive(Clone, Default)]
pub(crate) struct Connection(Arc<AtomicBool>);

impl Connection {
    /// Makes all further reads and writes fail, which closes the connection.
    pub(crate) fn abort(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn check_open(&self) -> io::Result<()> {
        if self.0.load(Ordering::Acquire) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(())
    }
}

impl Connected<IncomingStream<'_, ClosableListener>> for Connection {
    fn connect_info(stream: IncomingStream<'_, ClosableListener>) -> Self {
        stream.io().connection.clone()
    }
}

/// Listener whose connections can be aborted and close when it is dropped, as those
/// of a process close when it ends.
pub(crate) struct ClosableListener {
    listener: TcpListener,
    /// Dropped with the listener, which closes all connections.
    alive: watch::Sender<()>,
}

impl ClosableListener {
    pub(crate) fn new(listener: TcpListener) -> Self {
        Self {
            listener,
            alive: watch::Sender::default(),
        }
    }
}

impl axum::serve::Listener for ClosableListener {
    type Io = ClosableStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (ClosableStream, SocketAddr) {
        let (tcp_stream, peer) = axum::serve::Listener::accept(&mut self.listener).await;
        let mut alive = self.alive.subscribe();
        let stream = ClosableStream {
            tcp_stream,
            connection: Connection::default(),
            listener_closed: Box::pin(async move { while alive.changed().await.is_ok() {} }),
        };
        (stream, peer)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// TCP stream whose reads and writes fail once its connection is aborted.
pub(crate) struct ClosableStream {
    tcp_stream: TcpStream,
    connection: Connection,
    listener_closed: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl AsyncRead for ClosableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.check_open()?;
        if self.listener_closed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.tcp_stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClosableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.check_open()?;
        Pin::new(&mut self.tcp_stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.check_open()?;
        Pin::new(&mut self.tcp_stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp_stream).poll_shutdown(cx)
    }
}
