//! Encoding of the membership protocol: datagrams, and the comparison of whole memberships.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use cardamomhold_proto::peer as schema;
use prost::Message;

use crate::codec;
use crate::peer;

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 1_400;

/// Time limit for a comparison of memberships.
const SYNC_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum length of a comparison's reply, in bytes.
const MAX_SYNC_LEN: usize = 16 << 20;

/// Digest of each zone of a membership.
pub type Digests = Vec<(name::ZoneName, u64)>;

/// Encodes a message as a datagram.
pub fn encode(message: &message::Message) -> Vec<u8> {
    let (kind, target) = match &message.kind {
        message::Kind::Ping => (schema::GossipKind::Ping, String::new()),
        message::Kind::Ack => (schema::GossipKind::Ack, String::new()),
        message::Kind::PingRequest(target) => (schema::GossipKind::PingRequest, target.to_string()),
    };
    let answer_age_ms = message.answer_age.map(|age| age.as_millis() as u32);
    let gossip = schema::Gossip {
        from: message.from.to_string(),
        sequence: message.sequence,
        kind: kind.into(),
        target,
        rumors: message.rumors.iter().map(encode_rumor).collect(),
        through: message.through,
        heard_ms: answer_age_ms.map_or(0, |ms| ms.saturating_add(1)),
        incarnation: message.incarnation,
        joining: message.joining,
    };
    gossip.encode_to_vec()
}

/// Decodes a datagram.
///
/// # Errors
/// [`codec::BadMessage`] if the datagram is malformed.
pub fn decode(datagram: &[u8]) -> Result<message::Message, codec::BadMessage> {
    let gossip = schema::Gossip::decode(datagram).map_err(|_| codec::BadMessage)?;
    let kind = match gossip.kind() {
        schema::GossipKind::Ping => message::Kind::Ping,
        schema::GossipKind::Ack => message::Kind::Ack,
        schema::GossipKind::PingRequest => message::Kind::PingRequest(
            name::InstanceName::parse(&gossip.target).map_err(|_| codec::BadMessage)?,
        ),
        schema::GossipKind::Unspecified => return Err(codec::BadMessage),
    };
    let answer_age_ms = gossip.heard_ms.checked_sub(1);
    Ok(message::Message {
        from: name::InstanceName::parse(&gossip.from).map_err(|_| codec::BadMessage)?,
        incarnation: gossip.incarnation,
        sequence: gossip.sequence,
        kind,
        rumors: decode_rumors(&gossip.rumors),
        through: gossip.through,
        answer_age: answer_age_ms.map(|ms| time::Duration::from_millis(ms.into())),
        joining: gossip.joining,
    })
}

/// Encodes a rumour.
pub fn encode_rumor(rumor: &message::Rumor) -> schema::Rumor {
    let state = match rumor.instance.state {
        fleet::InstanceState::Alive => schema::RumorState::Alive,
        fleet::InstanceState::Suspect => schema::RumorState::Suspect,
        fleet::InstanceState::Leaving => schema::RumorState::Leaving,
        fleet::InstanceState::Dead => schema::RumorState::Dead,
    };
    schema::Rumor {
        instance: rumor.instance.name.to_string(),
        zone: rumor.instance.zone.to_string(),
        address: rumor.instance.address.clone(),
        incarnation: rumor.incarnation,
        state: state.into(),
    }
}

/// Decodes rumours; skips those with values that a later release may have added.
fn decode_rumors(rumors: &[schema::Rumor]) -> Vec<message::Rumor> {
    rumors.iter().filter_map(decode_rumor).collect()
}

fn decode_rumor(rumor: &schema::Rumor) -> Option<message::Rumor> {
    let state = match rumor.state() {
        schema::RumorState::Alive => fleet::InstanceState::Alive,
        schema::RumorState::Suspect => fleet::InstanceState::Suspect,
        schema::RumorState::Leaving => fleet::InstanceState::Leaving,
        schema::RumorState::Dead => fleet::InstanceState::Dead,
        schema::RumorState::Unspecified => return None,
    };
    rumor.address.parse::<net::SocketAddr>().ok()?;
    Some(message::Rumor {
        instance: fleet::Instance {
            name: name::InstanceName::parse(&rumor.instance).ok()?,
            zone: name::ZoneName::parse(&rumor.zone).ok()?,
            address: rumor.address.clone(),
            state,
        },
        incarnation: rumor.incarnation,
    })
}

/// Encodes the zones' digests.
pub fn encode_digests(digests: &[(name::ZoneName, u64)]) -> schema::MembersRequest {
    let mut request = schema::MembersRequest::default();
    for (zone, digest) in digests {
        request.zones.push(schema::ZoneDigest {
            zone: zone.to_string(),
            digest: *digest,
        });
    }
    request
}

/// Decodes the zones' digests.
pub fn decode_digests(request: &schema::MembersRequest) -> Digests {
    let mut digests = Vec::new();
    for zone in &request.zones {
        let Ok(name) = name::ZoneName::parse(&zone.zone) else {
            continue;
        };
        digests.push((name, zone.digest));
    }
    digests
}

/// Requests the entries that differ from a peer's membership; `None` if it doesn't answer.
pub async fn sync(address: &str, digests: &[(name::ZoneName, u64)]) -> Option<Vec<message::Rumor>> {
    let call = async {
        let client = peer::connect(address).await?;
        let mut client = client.max_decoding_message_size(MAX_SYNC_LEN);
        let reply = client.members(encode_digests(digests)).await.ok()?;
        Some(decode_rumors(&reply.into_inner().rumors))
    };
    tokio::time::timeout(SYNC_TIMEOUT, call).await.ok()?
}
