//! Encodes messages that the proxy itself sends.

use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages;
use pgwire::messages::data;
use pgwire::messages::response;
use pgwire::messages::startup;

use crate::sqlstate;

const SEVERITY_FIELD: u8 = b'S';
const CODE_FIELD: u8 = b'C';
const MESSAGE_FIELD: u8 = b'M';
const HINT_FIELD: u8 = b'H';
const TEXT_OID: u32 = 25;

/// Effect of an error on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The statement failed; the connection stays usable.
    Error,
    /// The connection ends after this message.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// Appends one message; skips a message that can't be encoded.
pub fn put<M: messages::Message>(out: &mut BytesMut, message: &M) {
    let start = out.len();
    if message.encode(out).is_err() {
        out.truncate(start);
    }
}

/// Appends an error with its SQLSTATE.
pub fn put_error(out: &mut BytesMut, severity: Severity, report: &sqlstate::Report) {
    let mut fields = vec![
        (SEVERITY_FIELD, severity.as_str().to_owned()),
        (b'V', severity.as_str().to_owned()),
        (CODE_FIELD, report.code.to_owned()),
        (MESSAGE_FIELD, report.message.clone()),
    ];
    if !report.hint.is_empty() {
        fields.push((HINT_FIELD, report.hint.to_owned()));
    }
    put(out, &response::ErrorResponse::new(fields));
}

/// Appends a session parameter's new value.
pub fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    put(
        out,
        &startup::ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Appends `ReadyForQuery` with the transaction status.
pub fn put_ready(out: &mut BytesMut, status: response::TransactionStatus) {
    put(out, &response::ReadyForQuery::new(status));
}

/// Appends `CommandComplete` with its tag.
pub fn put_complete(out: &mut BytesMut, tag: &str) {
    put(out, &response::CommandComplete::new(tag.to_owned()));
}

/// Appends the description of a row with one text column.
pub fn put_text_column(out: &mut BytesMut, column: &str) {
    put(out, &data::RowDescription::new(vec![text_field(column)]));
}

/// Appends a row with one text value.
pub fn put_text_value(out: &mut BytesMut, value: &str) {
    let mut body = BytesMut::new();
    body.put_i32(value.len() as i32);
    body.extend_from_slice(value.as_bytes());
    put(out, &data::DataRow::new(body, 1));
}

fn text_field(column: &str) -> data::FieldDescription {
    data::FieldDescription::new(column.to_owned(), 0, 0, TEXT_OID, -1, -1, 0)
}
