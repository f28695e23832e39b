//! A limit of the time that the other end of a connection takes for what was written to it, and reports of what goes
//! over the connection.

use std::{
    io::{self, ErrorKind},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// Is told what goes over a connection.
pub(crate) trait Observer {
    /// Bytes came or went.
    fn record_activity(&self);

    /// Bytes begin to wait for the other end to take them, or wait no more.
    fn record_blocked(&self, is_blocked: bool);
}

/// A connection whose writes fail once bytes that were to be written have not been taken whole within a
/// time limit. An end that takes a few of them now and then would otherwise hold its answer in memory
/// without end.
pub(crate) struct StallLimit<S> {
    stream: S,
    limit: Duration,
    /// When the bytes that wait must have been taken; `None` if none wait.
    due: Option<Pin<Box<Sleep>>>,
    observer: Rc<dyn Observer>,
}

impl<S> StallLimit<S> {
    pub(crate) fn new(stream: S, limit: Duration, observer: Rc<dyn Observer>) -> StallLimit<S> {
        StallLimit { stream, limit, due: None, observer }
    }

    /// Records how a write of `size` bytes went. Returns an error if bytes have waited too long.
    fn record(
        &mut self,
        cx: &mut Context<'_>,
        size: usize,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.observer.record_activity();
        }
        if matches!(written, Poll::Ready(Ok(taken)) if taken == size) {
            if self.due.take().is_some() {
                self.observer.record_blocked(false);
            }
            return written;
        }
        if self.due.is_none() {
            self.observer.record_blocked(true);
        }
        let limit = self.limit;
        let due = self.due.get_or_insert_with(|| Box::pin(sleep(limit)));
        match due.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            Poll::Pending => written,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.observer.record_activity();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(cx, buf.len(), written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let size = bufs.iter().map(|it| it.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(cx, size, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
