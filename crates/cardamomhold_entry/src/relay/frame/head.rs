//! Encodes a request's header with its grant. Without a grant the bytes are those of an optional
//! header, so that instances which know no grants can read them.

use cardamomhold_workspace::access;
use serde::Deserialize;
use serde::Serialize;

use crate::relay::frame::Header;

#[derive(serde::Serialize)]
enum Encoded<'a> {
    Held,
    Plain(&'a Header),
    Granted(&'a Header, &'a access::Grant),
}

#[derive(serde::Deserialize)]
enum Decoded {
    Held,
    Plain(Header),
    Granted(Header, access::Grant),
}

pub(super) fn serialize<S: serde::Serializer>(
    header: &Option<Header>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let encoded = match header {
        None => Encoded::Held,
        Some(header) => match &header.grant {
            None => Encoded::Plain(header),
            Some(grant) => Encoded::Granted(header, grant),
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
    })
}
