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

/// Listener whose connections can be cut.
pub(crate) struct Gate(pub(crate) TcpListener);

impl axum::serve::Listener for Gate {
    type Io = Stream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Stream, SocketAddr) {
        let (inner, peer) = axum::serve::Listener::accept(&mut self.0).await;
        let line = Line::default();
        (Stream { inner, line }, peer)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Stream that fails once its line is cut.
pub(crate) struct Stream {
    inner: TcpStream,
    line: Line,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.line.check()?;
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
