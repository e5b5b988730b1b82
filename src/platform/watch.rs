//! Stream of the changes under a prefix.

use std::sync::Arc;

use bytes::BytesMut;
use futures::Stream;
use futures::stream;
use reqwest::Response;
use tokio_util::codec::Decoder;
use tokio_util::codec::LinesCodec;

use crate::error::Error;
use crate::error::Result;
use crate::platform::BaseUrl;
use crate::platform::Change;
use crate::platform::Era;
use crate::platform::gateway;
use crate::platform::gateway::Event;
use crate::platform::transport::Call;
use crate::platform::transport::MAX_RESPONSE_LEN;
use crate::platform::transport::Transport;

/// An open watch: its call, the connection and the bytes received so far.
struct Watch {
    call: Call,
    base: BaseUrl,
    response: Response,
    lines: LinesCodec,
    buffer: BytesMut,
    era: Era,
}

impl Watch {
    async fn open(transport: &Transport, call: Call, expected: Era) -> Result<Self> {
        let (base, response) = transport.open(&call).await?;
        let era = call.era(&response);
        let era = era.map_err(|reason| call.unanswered(&base, reason))?;
        // A restored store may have assigned the revision to another write.
        if era != expected {
            return Err(call.restored(era));
        }
        Ok(Self {
            call,
            base,
            response,
            lines: LinesCodec::new_with_max_length(MAX_RESPONSE_LEN),
            buffer: BytesMut::new(),
            era,
        })
    }

    fn unanswered(&self, reason: impl ToString) -> Error {
        self.call.unanswered(&self.base, reason)
    }

    async fn next(&mut self) -> Result<Vec<Change>> {
        loop {
            let line = self.lines.decode(&mut self.buffer);
            if let Some(line) = line.map_err(|e| self.unanswered(e))? {
                return self.decode_line(&line);
            }
            let chunk = self.response.chunk().await;
            match chunk.map_err(|e| self.unanswered(e))? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None => return Err(self.unanswered("closed")),
            }
        }
    }

    fn decode_line(&self, line: &str) -> Result<Vec<Change>> {
        match gateway::event(line.as_bytes()) {
            Ok(Event::Changes(mut changes)) => {
                for change in &mut changes {
                    self.call.change_in_era(self.era, change)?;
                }
                Ok(changes)
            }
            Ok(Event::Cancelled(reason)) => Err(self.unanswered(reason)),
            Err(reason) => Err(self.unanswered(reason)),
        }
    }
}

/// State of the stream: the watch is opened when the first batch is requested.
enum State {
    Closed(Box<Call>),
    Open(Box<Watch>),
}

/// The batches of a watch from a revision of this era; the stream ends after its first error.
pub(crate) fn stream(
    transport: Arc<Transport>,
    call: Call,
    era: Era,
) -> impl Stream<Item = Result<Vec<Change>>> + Send + 'static {
    stream::try_unfold(State::Closed(Box::new(call)), move |state| {
        let transport = Arc::clone(&transport);
        async move {
            let mut watch = match state {
                State::Closed(call) => Box::new(Watch::open(&transport, *call, era).await?),
                State::Open(watch) => watch,
            };
            let batch = watch.next().await?;
            Ok(Some((batch, State::Open(watch))))
        }
    })
}
