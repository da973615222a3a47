//! Encodes a request's header with its grant and its longest wait. Without them the bytes are those
//! of an optional header, so that instances which know neither can read them.

use std::time;

use cardamomhold_workspace::access;
use serde::Deserialize;
use serde::Serialize;

use crate::relay::frame::Header;

#[derive(serde::Serialize)]
enum Encoded<'a> {
    Held,
    Plain(&'a Header),
    Granted(&'a Header, &'a access::Grant),
    /// With the longest wait in microseconds.
    Bounded(&'a Header, Option<&'a access::Grant>, u64),
}

#[derive(serde::Deserialize)]
enum Decoded {
    Held,
    Plain(Header),
    Granted(Header, access::Grant),
    Bounded(Header, Option<access::Grant>, u64),
}

pub(super) fn serialize<S: serde::Serializer>(
    header: &Option<Header>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let encoded = match header {
        None => Encoded::Held,
        Some(header) => match (&header.grant, header.max_wait) {
            (grant, Some(wait)) => {
                Encoded::Bounded(header, grant.as_ref(), wait.as_micros() as u64)
            }
            (None, None) => Encoded::Plain(header),
            (Some(grant), None) => Encoded::Granted(header, grant),
        },
    };
    encoded.serialize(serializer)
}

pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Header>, D::Error> {
    Ok(match Decoded::deserialize(deserializer)? {
        Decoded::Held => None,
        Decoded::Plain(header) => Some(header),
        Decoded::Granted(header, grant) => Some(Header {
            grant: Some(grant),
            ..header
        }),
        Decoded::Bounded(header, grant, wait_us) => Some(Header {
            grant,
            max_wait: Some(time::Duration::from_micros(wait_us)),
            ..header
        }),
    })
}
