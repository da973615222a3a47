//! The border of the membership protocol: datagrams, and the comparison of whole memberships.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use cardamomhold_proto::peer as schema;
use prost::Message;

use crate::border;
use crate::peer;

/// Longest accepted datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1_400;

/// Time within which a comparison of memberships must have answered.
const SYNC_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Most bytes that a comparison may bring.
const MAX_SYNC: usize = 16 << 20;

/// Digests of the zones of a membership.
pub type Digests = Vec<(name::ZoneName, u64)>;

/// Encodes a message as a datagram.
pub fn encode(message: &message::Message) -> Vec<u8> {
    let (kind, target) = match &message.kind {
        message::Kind::Ping => (schema::GossipKind::Ping, String::new()),
        message::Kind::Ack => (schema::GossipKind::Ack, String::new()),
        message::Kind::PingRequest(target) => (schema::GossipKind::PingRequest, target.to_string()),
    };
    let heard = message.answer_age.map(|age| age.as_millis() as u32);
    let gossip = schema::Gossip {
        from: message.from.to_string(),
        sequence: message.sequence,
        kind: kind.into(),
        target,
        rumors: message.rumors.iter().map(rumor_to).collect(),
        through: message.through,
        heard_ms: heard.map_or(0, |ms| ms.saturating_add(1)),
        incarnation: message.incarnation,
        joining: message.joining,
    };
    gossip.encode_to_vec()
}

/// Decodes a datagram.
///
/// # Errors
/// [`border::BadMessage`] when it does not have the expected form.
pub fn decode(datagram: &[u8]) -> Result<message::Message, border::BadMessage> {
    let gossip = schema::Gossip::decode(datagram).map_err(|_| border::BadMessage)?;
    let kind = match gossip.kind() {
        schema::GossipKind::Ping => message::Kind::Ping,
        schema::GossipKind::Ack => message::Kind::Ack,
        schema::GossipKind::PingRequest => message::Kind::PingRequest(
            name::InstanceName::parse(&gossip.target).map_err(|_| border::BadMessage)?,
        ),
        schema::GossipKind::Unspecified => return Err(border::BadMessage),
    };
    let heard = gossip.heard_ms.checked_sub(1);
    Ok(message::Message {
        from: name::InstanceName::parse(&gossip.from).map_err(|_| border::BadMessage)?,
        incarnation: gossip.incarnation,
        sequence: gossip.sequence,
        kind,
        rumors: rumors_from(&gossip.rumors),
        through: gossip.through,
        answer_age: heard.map(|ms| time::Duration::from_millis(ms.into())),
        joining: gossip.joining,
    })
}

/// Encodes a rumour.
pub fn rumor_to(rumor: &message::Rumor) -> schema::Rumor {
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

/// Decodes rumours; leaves out what a later release may say.
fn rumors_from(rumors: &[schema::Rumor]) -> Vec<message::Rumor> {
    rumors.iter().filter_map(rumor_from).collect()
}

fn rumor_from(rumor: &schema::Rumor) -> Option<message::Rumor> {
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

/// Encodes the digests of the zones.
pub fn digests_to(digests: &[(name::ZoneName, u64)]) -> schema::MembersRequest {
    let mut request = schema::MembersRequest::default();
    for (zone, digest) in digests {
        request.zones.push(schema::ZoneDigest {
            zone: zone.to_string(),
            digest: *digest,
        });
    }
    request
}

/// Decodes the digests of the zones.
pub fn digests_from(request: &schema::MembersRequest) -> Digests {
    let mut digests = Vec::new();
    for zone in &request.zones {
        let Ok(name) = name::ZoneName::parse(&zone.zone) else {
            continue;
        };
        digests.push((name, zone.digest));
    }
    digests
}

/// Asks a peer for what differs in its membership; none when it does not answer.
pub async fn sync(address: &str, digests: &[(name::ZoneName, u64)]) -> Option<Vec<message::Rumor>> {
    let asked = async {
        let client = peer::connect(address).await?;
        let mut client = client.max_decoding_message_size(MAX_SYNC);
        let reply = client.members(digests_to(digests)).await.ok()?;
        Some(rumors_from(&reply.into_inner().rumors))
    };
    tokio::time::timeout(SYNC_TIMEOUT, asked).await.ok()?
}
