//! Ends a session between two requests without leaving a request unanswered.
//!
//! Load pattern: a rolling stop closes the sessions of busy callers, whose next request is already
//! on its way. Such a request is refused in full, as not run, so that its caller repeats it
//! elsewhere at once.

use std::io;
use std::time;

use crate::answer;
use crate::clock;
use crate::front;

/// Time for a caller to receive the announcement and to close its side.
const LINGER: time::Duration = time::Duration::from_millis(500);

/// Announces the end of a session that has no open transaction, and refuses the requests that
/// cross the announcement until the caller closes its side or a time limit passes. Returns how
/// many requests were refused.
pub async fn close<R: front::Reader, W: front::Writer>(
    reader: &mut R,
    writer: &mut W,
    text: &str,
) -> usize {
    let refusal = answer::Answer::refused(answer::Code::Busy, text, answer::State::Idle);
    let mut refused = 0;
    let end = clock::instant(clock::now().after(LINGER));
    let refusing = refuse_crossed(reader, writer, &refusal, &mut refused);
    // The connection is closed in each case: at the limit, or as the caller has closed its side.
    let _ = tokio::time::timeout_at(end, refusing).await;
    refused
}

async fn refuse_crossed<R: front::Reader, W: front::Writer>(
    reader: &mut R,
    writer: &mut W,
    refusal: &answer::Answer,
    refused: &mut usize,
) -> io::Result<()> {
    loop {
        writer.announce_end(refusal).await?;
        if reader.next().await? == front::Incoming::Close {
            return Ok(());
        }
        writer.complete_refusal(refusal).await?;
        *refused += 1;
    }
}
