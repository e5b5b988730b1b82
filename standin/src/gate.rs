//! HTTP connections that can be closed without an answer.
//!
//! A handler gets the [`Line`] that its request came on. After [`Line::cut`]
//! nothing more is read from it or written to it, so that the peer sees the
//! connection close where it expected a response.

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

/// One connection, as its handlers see it.
#[derive(Clone, Default)]
pub(crate) struct Line(Arc<AtomicBool>);

impl Line {
    /// Lets nothing more through; the next write closes the connection.
    pub(crate) fn cut(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Acquire) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(())
    }
}

impl Connected<IncomingStream<'_, Gate>> for Line {
    fn connect_info(stream: IncomingStream<'_, Gate>) -> Self {
        stream.io().line.clone()
    }
}

/// Listener whose connections can be cut, and end with it as with a process.
pub(crate) struct Gate {
    listener: TcpListener,
    /// Closed when the gate is dropped.
    open: watch::Sender<()>,
}

impl Gate {
    pub(crate) fn new(listener: TcpListener) -> Self {
        Self {
            listener,
            open: watch::Sender::default(),
        }
    }
}

impl axum::serve::Listener for Gate {
    type Io = Stream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Stream, SocketAddr) {
        let (inner, peer) = axum::serve::Listener::accept(&mut self.listener).await;
        let mut open = self.open.subscribe();
        let stream = Stream {
            inner,
            line: Line::default(),
            closed: Box::pin(async move { while open.changed().await.is_ok() {} }),
        };
        (stream, peer)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// Stream that fails once its line is cut.
pub(crate) struct Stream {
    inner: TcpStream,
    line: Line,
    closed: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.line.check()?;
        if self.closed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.line.check()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.line.check()?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
