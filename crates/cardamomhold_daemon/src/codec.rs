//! Converts stream messages to and from the generated types of the peer schema.

use std::fmt;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_core::rank;
use cardamomhold_proto::peer as schema;

use crate::stream;

/// A peer's message is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadMessage;

impl fmt::Display for BadMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("message of a peer does not have the expected form")
    }
}

impl std::error::Error for BadMessage {}

fn encode_position(position: position::Position) -> schema::Place {
    schema::Place {
        term: position.term.0,
        log: position.log.0,
    }
}

fn decode_position(place: schema::Place) -> position::Position {
    position::Position::new(position::Term(place.term), position::LogPosition(place.log))
}

pub(crate) fn encode_ticket(ticket: &stream::Ticket) -> schema::Ticket {
    let staleness = match ticket.access {
        stream::Access::ReadReplica(staleness) => Some(staleness.as_millis() as u64),
        stream::Access::Write | stream::Access::ReadPrimary => None,
    };
    schema::Ticket {
        group: ticket.group.to_string(),
        member: ticket.member.to_string(),
        term: ticket.term.0,
        rank: ticket.rank.index() as u32,
        caller: ticket.caller.to_string(),
        at_replica: staleness.is_some(),
        staleness_ms: staleness.unwrap_or_default(),
        request_key: ticket
            .request_key
            .map(|k| k.to_string())
            .unwrap_or_default(),
        begins: ticket.begins,
        deadline_us: ticket.deadline.as_micros() as u64,
        seen: ticket.seen.map(encode_position),
        read_only: ticket.access.is_read(),
        setup: ticket.setup.clone(),
    }
}

pub(crate) fn decode_ticket(ticket: &schema::Ticket) -> Result<stream::Ticket, BadMessage> {
    let access = match (ticket.read_only, ticket.at_replica) {
        (false, false) => stream::Access::Write,
        (true, false) => stream::Access::ReadPrimary,
        (true, true) => {
            stream::Access::ReadReplica(time::Duration::from_millis(ticket.staleness_ms))
        }
        (false, true) => return Err(BadMessage),
    };
    let request_key = match ticket.request_key.as_str() {
        "" => None,
        text => Some(text.parse().map_err(|_| BadMessage)?),
    };
    Ok(stream::Ticket {
        group: name::GroupName::parse(&ticket.group).map_err(|_| BadMessage)?,
        member: name::MemberName::parse(&ticket.member).map_err(|_| BadMessage)?,
        term: position::Term(ticket.term),
        rank: *rank::Rank::ALL
            .get(ticket.rank as usize)
            .ok_or(BadMessage)?,
        caller: name::CallerName::parse(&ticket.caller).map_err(|_| BadMessage)?,
        deadline: time::Duration::from_micros(ticket.deadline_us),
        access,
        request_key,
        begins: ticket.begins,
        seen: ticket.seen.map(decode_position),
        setup: ticket.setup.clone(),
    })
}

pub(crate) fn encode_up(up: stream::Up) -> schema::Up {
    let kind = match up {
        stream::Up::Batch(batch) => schema::up::Kind::Batch(schema::Batch {
            frames: batch.frames,
            sync: batch.sync,
            answers: batch.answers,
        }),
        stream::Up::Cancel => schema::up::Kind::Cancel(schema::Cancel {}),
    };
    schema::Up { kind: Some(kind) }
}

pub(crate) fn encode_down(down: stream::Down) -> schema::Down {
    let kind = match down {
        stream::Down::Frames(frames) => schema::down::Kind::Frames(schema::Frames { frames }),
        stream::Down::Ready(ready) => {
            let status = match ready.status {
                stream::Status::Idle => schema::Status::Idle,
                stream::Status::Transaction => schema::Status::Transaction,
                stream::Status::Failed => schema::Status::Failed,
            };
            let written = ready.written.map(encode_position);
            schema::down::Kind::Ready(schema::Ready {
                status: status.into(),
                written,
                rolled_back: ready.rolled_back,
            })
        }
        stream::Down::Failure(failure) => schema::down::Kind::Failure(encode_failure(&failure)),
    };
    schema::Down { kind: Some(kind) }
}

fn encode_failure(failure: &stream::Failure) -> schema::Failure {
    let outcome = match failure {
        stream::Failure::NotRun(refusal) => schema::failure::Outcome::NotRun(refusal.code()),
        stream::Failure::Unknown(doubt) => schema::failure::Outcome::Unknown(doubt.code()),
        stream::Failure::Ran { tag, written } => schema::failure::Outcome::Ran(schema::Repeat {
            tag: tag.clone(),
            written: Some(encode_position(*written)),
        }),
    };
    schema::Failure {
        outcome: Some(outcome),
    }
}

pub(crate) fn decode_down(down: schema::Down) -> Option<stream::Down> {
    Some(match down.kind? {
        schema::down::Kind::Frames(frames) => stream::Down::Frames(frames.frames),
        schema::down::Kind::Ready(ready) => {
            let status = match ready.status() {
                schema::Status::Idle => stream::Status::Idle,
                schema::Status::Transaction => stream::Status::Transaction,
                schema::Status::Failed => stream::Status::Failed,
                schema::Status::Unspecified => return None,
            };
            stream::Down::Ready(stream::Ready {
                status,
                written: ready.written.map(decode_position),
                rolled_back: ready.rolled_back,
            })
        }
        schema::down::Kind::Failure(failure) => stream::Down::Failure(decode_failure(failure)?),
    })
}

fn decode_failure(failure: schema::Failure) -> Option<stream::Failure> {
    Some(match failure.outcome? {
        schema::failure::Outcome::NotRun(code) => {
            stream::Failure::NotRun(outcome::Refusal::from_code(code)?)
        }
        schema::failure::Outcome::Unknown(code) => {
            stream::Failure::Unknown(outcome::Doubt::from_code(code)?)
        }
        schema::failure::Outcome::Ran(repeat) => stream::Failure::Ran {
            tag: repeat.tag,
            written: decode_position(repeat.written?),
        },
    })
}
