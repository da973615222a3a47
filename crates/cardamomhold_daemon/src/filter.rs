//! Removes the answers to messages that the proxy added to a caller's batch.

use bytes::Bytes;
use bytes::BytesMut;
use pgwire::messages;

use crate::batch;
use crate::relay;

/// Removes the answers to messages that the caller did not send.
#[derive(Debug)]
pub struct Filter<'a> {
    steps: std::slice::Iter<'a, batch::Step>,
    is_needed: bool,
    buffer: BytesMut,
}

impl<'a> Filter<'a> {
    /// Creates a filter for the answer to a batch with these steps.
    pub fn new(steps: &'a [batch::Step]) -> Self {
        let is_needed = steps.contains(&batch::Step::AddedParse);
        Self {
            steps: steps.iter(),
            is_needed,
            buffer: BytesMut::new(),
        }
    }

    /// Appends the frames to `out`, without the answers to added messages.
    pub fn append(&mut self, frames: Bytes, out: &mut BytesMut) {
        if !self.is_needed {
            out.extend_from_slice(&frames);
            return;
        }
        self.buffer.extend_from_slice(&frames);
        let context = messages::DecodeContext::default();
        while let Ok(Some(message)) =
            messages::PgWireBackendMessage::decode(&mut self.buffer, &context)
        {
            if matches!(message, messages::PgWireBackendMessage::ParseComplete(_))
                && self.is_added()
            {
                continue;
            }
            relay::append_visible(out, &message);
        }
    }

    /// Whether the next Parse to be answered was added by the proxy.
    fn is_added(&mut self) -> bool {
        let mut parses = self
            .steps
            .by_ref()
            .filter(|s| matches!(s, batch::Step::Parse | batch::Step::AddedParse));
        parses.next() == Some(&batch::Step::AddedParse)
    }
}
