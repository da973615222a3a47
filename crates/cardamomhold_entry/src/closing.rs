//! Ends a session between two requests without leaving a request unanswered.
//!
//! Load pattern: a rolling stop closes the sessions of busy callers. Requests that have arrived are
//! refused in full, as not run, so that their callers repeat them elsewhere. Nothing is sent to a
//! session without a request: a caller that doesn't read its idle connection would take it as the
//! beginning of its next answer, which never ends.

use std::io;
use std::time;

use crate::answer;
use crate::clock;
use crate::front;

/// Time for a caller to receive the end of the session and to close its side. A connection that is
/// closed with unread input is reset by the kernel, which destroys answers on their way.
pub const LINGER: time::Duration = time::Duration::from_millis(500);

/// Requests that arrived while a session ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Late {
    /// Requests that were refused.
    pub refused: usize,
    /// Requests that arrived after the end, which can't be answered.
    pub unanswered: usize,
}

/// Ends a session that has no open transaction: refuses the requests that have arrived, ends the
/// connection, and reads what crosses its end until the caller closes its side or a time limit
/// passes.
pub async fn close<R: front::Reader, W: front::Writer>(
    reader: &mut R,
    writer: &mut W,
    refusal: &answer::Answer,
) -> Late {
    let mut late = Late::default();
    let end = clock::instant(clock::now().after(LINGER));
    // The connection is closed in each case: at the limit, or as the caller has closed its side.
    let _ = tokio::time::timeout_at(end, finish(reader, writer, refusal, &mut late)).await;
    late
}

async fn finish<R: front::Reader, W: front::Writer>(
    reader: &mut R,
    writer: &mut W,
    refusal: &answer::Answer,
    late: &mut Late,
) -> io::Result<()> {
    while reader.has_input() {
        if reader.next().await? == front::Incoming::Close {
            return Ok(());
        }
        writer.answer(refusal).await?;
        late.refused += 1;
    }
    writer.end().await?;
    while reader.next().await? != front::Incoming::Close {
        late.unanswered += 1;
    }
    Ok(())
}
