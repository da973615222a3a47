//! Encodes and decodes values and rows of the PostgreSQL protocol.

use bytes::BufMut;
use bytes::BytesMut;
use cardamomhold_wire::answer;
use pgwire::messages::data;

use crate::engine;
use crate::log;
use crate::session;

const INT8_OID: u32 = 20;
const FLOAT8_OID: u32 = 701;
pub(crate) const TEXT_OID: u32 = 25;
const BINARY: i16 = 1;

pub(crate) fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(index).copied().unwrap_or(0),
    }
}

pub(crate) fn decode_value(bytes: Option<&[u8]>, format: i16, oid: u32) -> log::Value {
    let Some(bytes) = bytes else {
        return log::Value::Null;
    };
    let text = || log::Value::Text(String::from_utf8_lossy(bytes).into_owned());
    if format != BINARY {
        return text();
    }
    match (oid, bytes.len()) {
        (INT8_OID, 8) => log::Value::Int(bytes.iter().fold(0, |n, b| n << 8 | i64::from(*b))),
        (21, 2) => log::Value::Int(
            bytes
                .iter()
                .fold(0i16, |n, b| n << 8 | i16::from(*b))
                .into(),
        ),
        (23, 4) => log::Value::Int(
            bytes
                .iter()
                .fold(0i32, |n, b| n << 8 | i32::from(*b))
                .into(),
        ),
        (FLOAT8_OID, 8) => {
            let bits = bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b));
            log::Value::Real(f64::from_bits(bits))
        }
        _ => text(),
    }
}

fn oid_of(kind: engine::ColumnType) -> u32 {
    match kind {
        engine::ColumnType::Int => INT8_OID,
        engine::ColumnType::Real => FLOAT8_OID,
        engine::ColumnType::Text => TEXT_OID,
    }
}

pub(crate) fn row_description(columns: &[engine::Column], formats: &[i16]) -> data::RowDescription {
    let mut fields = Vec::new();
    for (i, column) in columns.iter().enumerate() {
        let oid = oid_of(column.kind);
        let size = if column.kind == engine::ColumnType::Text {
            -1
        } else {
            8
        };
        let format = format_of(formats, i);
        fields.push(data::FieldDescription::new(
            column.name.clone(),
            0,
            0,
            oid,
            size,
            -1,
            format,
        ));
    }
    data::RowDescription::new(fields)
}

pub(crate) fn put_row(
    out: &mut BytesMut,
    columns: &[engine::Column],
    row: &[log::Value],
    formats: &[i16],
) {
    let mut body = BytesMut::new();
    for (i, (column, value)) in columns.iter().zip(row).enumerate() {
        let is_binary = format_of(formats, i) == BINARY;
        let bytes = match (value, column.kind, is_binary) {
            (log::Value::Null, _, _) => {
                body.put_i32(-1);
                continue;
            }
            (log::Value::Int(n), engine::ColumnType::Int, true) => n.to_be_bytes().to_vec(),
            (log::Value::Int(n), engine::ColumnType::Real, true) => {
                (*n as f64).to_be_bytes().to_vec()
            }
            (log::Value::Real(x), engine::ColumnType::Real, true) => x.to_be_bytes().to_vec(),
            (log::Value::Int(n), _, _) => n.to_string().into_bytes(),
            (log::Value::Real(x), _, _) => x.to_string().into_bytes(),
            (log::Value::Text(text), _, _) => text.clone().into_bytes(),
        };
        body.put_i32(bytes.len() as i32);
        body.extend_from_slice(&bytes);
    }
    answer::put(out, &data::DataRow::new(body, row.len() as i16));
}

pub(crate) fn command_tag(sql: &str, answer: &engine::Answer) -> String {
    match session::first_word(sql).as_str() {
        "INSERT" => format!("INSERT 0 {}", answer.changed),
        "UPDATE" => format!("UPDATE {}", answer.changed),
        "DELETE" => format!("DELETE {}", answer.changed),
        "CREATE" => "CREATE TABLE".to_owned(),
        "DROP" => "DROP TABLE".to_owned(),
        _ => format!("SELECT {}", answer.rows.len()),
    }
}
