//! Block-wise transfers of a caller (RFC 7959).
//!
//! Each step transfers one block, so that a test can inject a fault between two
//! blocks.

use std::time::Duration;

use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use coap_lite::block_handler::BlockValue;
use tokio::time::Instant;

use crate::caller::Caller;
use crate::caller::Outcome;
use crate::caller::time_left;
use crate::message;
use crate::message::MAX_BLOCK;
use crate::message::REQUEST_TAG;

/// A request body that is uploaded block by block (RFC 7959).
pub struct Upload<'a> {
    caller: &'a Caller,
    method: RequestType,
    path: String,
    body: Vec<u8>,
    block_size: usize,
    tag: [u8; 4],
    block_number: usize,
}

impl<'a> Upload<'a> {
    pub(crate) fn new(
        caller: &'a Caller,
        method: RequestType,
        path: &str,
        body: Vec<u8>,
        block_size: usize,
        tag: [u8; 4],
    ) -> Self {
        Self {
            caller,
            method,
            path: path.to_owned(),
            body,
            block_size,
            tag,
            block_number: 0,
        }
    }

    /// Sends the next block; returns the outcome once the server wants no further block.
    pub async fn step(&mut self, deadline: Duration) -> Option<Outcome> {
        let sent = self.block_number * self.block_size;
        let end = self.body.len().min(sent + self.block_size);
        let more = end < self.body.len();
        let Ok(block) = BlockValue::new(self.block_number, more, self.block_size) else {
            return Some(Outcome::Silent);
        };
        let mut packet = self.caller.shared.request(self.method, &self.path);
        packet.add_option_as(CoapOption::Block1, block);
        packet.add_option(REQUEST_TAG, self.tag.to_vec());
        packet.payload = self.body[sent..end].to_vec();
        let mut exchange = self.caller.exchange(packet).await;
        let Some((answer, _)) = exchange.answer(deadline).await else {
            return Some(Outcome::Silent);
        };
        if more && answer.header.code == MessageClass::Response(ResponseType::Continue) {
            self.block_number += 1;
            return None;
        }
        Some(Outcome::from_answer(&answer))
    }

    /// Sends all remaining blocks.
    pub async fn finish(&mut self, deadline: Duration) -> Outcome {
        let end = Instant::now() + deadline;
        loop {
            if let Some(outcome) = self.step(time_left(end)).await {
                return outcome;
            }
        }
    }
}

/// An answer that is downloaded block by block (RFC 7959).
pub struct Download<'a> {
    caller: &'a Caller,
    path: String,
    body: Vec<u8>,
    tag: Option<Vec<u8>>,
    size: usize,
}

impl<'a> Download<'a> {
    pub(crate) fn new(caller: &'a Caller, path: &str) -> Self {
        Self {
            caller,
            path: path.to_owned(),
            body: Vec::new(),
            tag: None,
            size: MAX_BLOCK,
        }
    }

    /// Requests the next block; returns the outcome after the last one.
    pub async fn step(&mut self, deadline: Duration) -> Option<Outcome> {
        let block_number = self.body.len() / self.size;
        let mut packet = self.caller.shared.request(RequestType::Get, &self.path);
        if let Ok(block) = BlockValue::new(block_number, false, self.size) {
            packet.add_option_as(CoapOption::Block2, block);
        }
        let mut exchange = self.caller.exchange(packet).await;
        let Some((answer, _)) = exchange.answer(deadline).await else {
            return Some(Outcome::Silent);
        };
        let Some(block) = message::block_option(&answer, CoapOption::Block2) else {
            return Some(Outcome::from_answer(&answer));
        };
        let tag = answer.get_first_option(CoapOption::ETag).cloned();
        if block_number > 0 && tag != self.tag {
            // The representation has changed, so the download starts over.
            self.body.clear();
            return None;
        }
        self.tag = tag;
        self.size = block.size();
        self.body.extend_from_slice(&answer.payload);
        (!block.more).then(|| Outcome::Answered {
            code: ResponseType::Content,
            payload: std::mem::take(&mut self.body),
        })
    }

    /// Requests all remaining blocks.
    pub async fn finish(&mut self, deadline: Duration) -> Outcome {
        let end = Instant::now() + deadline;
        loop {
            if let Some(outcome) = self.step(time_left(end)).await {
                return outcome;
            }
        }
    }
}
