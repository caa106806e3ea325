//! Compact encodings of frequent messages.
//!
//! Fields are encoded by position instead of by name, and addresses and digests as bytes instead
//! of text.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::{ByteArray, ByteBuf};

use crate::config::{self, Version};
use crate::member::{self, Place, Stage, State};
use crate::{Error, Millis, Name, wire};

const PING: u8 = 0;
const ACK: u8 = 1;
const PING_FOR: u8 = 2;
const ASK: u8 = 3;
const TOLD: u8 = 4;
const MESSAGE: u8 = 5;

const QUOTA_TOPIC: u64 = 0;
const ROLLOUT_TOPIC: u64 = 1;

/// The encoding of a [`wire::Datagram`]: account, sender, stamp, table, regions, probe, gossip.
#[derive(Serialize, Deserialize)]
pub(crate) struct Datagram(
    u32,
    Name,
    Option<Stamp>,
    u64,
    Vec<RegionAge>,
    Probe,
    Vec<Member>,
);

/// The encoding of a [`config::Stamp`]: version, digest.
#[derive(Serialize, Deserialize)]
pub(crate) struct Stamp(u64, ByteArray<32>);

/// The encoding of a [`wire::RegionAge`]: region, milliseconds.
#[derive(Serialize, Deserialize)]
pub(crate) struct RegionAge(Name, u64);

/// The encoding of a [`wire::Probe`]: kind, number or topic, target, the flags `current` and
/// `ready`, requests in flight, and the operator address or the payload, which most probes omit.
#[derive(Serialize, Deserialize)]
pub(crate) struct Probe(
    u8,
    u64,
    Option<Name>,
    u8,
    u32,
    #[serde(default, skip_serializing_if = "Option::is_none")] Option<ByteBuf>,
);

/// The encoding of a [`member::Member`]: id, region, data centre, address, incarnation, state,
/// endpoint, link.
#[derive(Serialize, Deserialize)]
pub(crate) struct Member(Name, Name, Name, ByteBuf, u64, u8, Option<Endpoint>, u32);

/// The encoding of a [`member::Endpoint`]: service, stage, slots, release.
#[derive(Serialize, Deserialize)]
pub(crate) struct Endpoint(
    Name,
    u8,
    u32,
    #[serde(default, skip_serializing_if = "Option::is_none")] Option<Arc<str>>,
);

impl From<wire::Datagram> for Datagram {
    fn from(datagram: wire::Datagram) -> Self {
        let regions = datagram.regions.into_iter();
        Self(
            datagram.account,
            datagram.from,
            datagram.stamp.map(Stamp::from),
            datagram.table,
            regions
                .map(|age| RegionAge(age.region, age.age.0))
                .collect(),
            datagram.probe.into(),
            datagram.gossip.into_iter().map(Member::from).collect(),
        )
    }
}

impl TryFrom<Datagram> for wire::Datagram {
    type Error = Error;

    fn try_from(compact: Datagram) -> Result<Self, Error> {
        let Datagram(account, from, stamp, table, regions, probe, gossip) = compact;
        Ok(Self {
            account,
            from,
            stamp: stamp.map(config::Stamp::try_from).transpose()?,
            table,
            regions: regions.into_iter().map(wire::RegionAge::from).collect(),
            probe: probe.try_into()?,
            gossip: decode_members(gossip)?,
        })
    }
}

impl From<RegionAge> for wire::RegionAge {
    fn from(compact: RegionAge) -> Self {
        Self {
            region: compact.0,
            age: Millis(compact.1),
        }
    }
}

impl From<config::Stamp> for Stamp {
    fn from(stamp: config::Stamp) -> Self {
        let mut digest = [0; 32];
        let decoded = hex::decode_to_slice(stamp.digest.as_str(), &mut digest);
        debug_assert!(decoded.is_ok(), "a digest is hexadecimal");
        Self(stamp.version.0, ByteArray::new(digest))
    }
}

impl TryFrom<Stamp> for config::Stamp {
    type Error = Error;

    fn try_from(compact: Stamp) -> Result<Self, Error> {
        Ok(Self {
            version: Version(compact.0),
            digest: config::Digest::new(&hex::encode(compact.1.as_slice()))?,
        })
    }
}

impl From<wire::Probe> for Probe {
    fn from(probe: wire::Probe) -> Self {
        match probe {
            wire::Probe::Ping { number } => Self(PING, number, None, 0, 0, None),
            wire::Probe::Ack { number } => Self(ACK, number, None, 0, 0, None),
            wire::Probe::PingFor { number, target } => {
                Self(PING_FOR, number, Some(target), 0, 0, None)
            }
            wire::Probe::Ask { number } => Self(ASK, number, None, 0, 0, None),
            wire::Probe::Told {
                number,
                current,
                ready,
                in_flight,
                operators,
            } => {
                let flags = u8::from(current) | (u8::from(ready) << 1);
                Self(
                    TOLD,
                    number,
                    None,
                    flags,
                    in_flight,
                    operators.map(encode_address),
                )
            }
            wire::Probe::Message(message) => Self(
                MESSAGE,
                encode_topic(message.topic),
                None,
                0,
                0,
                Some(message.payload),
            ),
        }
    }
}

impl TryFrom<Probe> for wire::Probe {
    type Error = Error;

    fn try_from(compact: Probe) -> Result<Self, Error> {
        let Probe(kind, number, target, flags, in_flight, bytes) = compact;
        match (kind, target) {
            (PING, None) => Ok(Self::Ping { number }),
            (ACK, None) => Ok(Self::Ack { number }),
            (PING_FOR, Some(target)) => Ok(Self::PingFor { number, target }),
            (ASK, None) => Ok(Self::Ask { number }),
            (TOLD, None) => Ok(Self::Told {
                number,
                current: flags & 1 != 0,
                ready: flags & 2 != 0,
                in_flight,
                operators: bytes.map(|bytes| decode_address(&bytes)).transpose()?,
            }),
            (MESSAGE, None) => Ok(Self::Message(wire::PeerMessage {
                topic: decode_topic(number)?,
                payload: bytes.ok_or(Error::BadProbe)?,
            })),
            _ => Err(Error::BadProbe),
        }
    }
}

fn encode_topic(topic: wire::Topic) -> u64 {
    match topic {
        wire::Topic::Quota => QUOTA_TOPIC,
        wire::Topic::Rollout => ROLLOUT_TOPIC,
    }
}

fn decode_topic(number: u64) -> Result<wire::Topic, Error> {
    match number {
        QUOTA_TOPIC => Ok(wire::Topic::Quota),
        ROLLOUT_TOPIC => Ok(wire::Topic::Rollout),
        _ => Err(Error::BadProbe),
    }
}

impl From<wire::Members> for Vec<Member> {
    fn from(members: wire::Members) -> Self {
        members.0.into_iter().map(Member::from).collect()
    }
}

impl TryFrom<Vec<Member>> for wire::Members {
    type Error = Error;

    fn try_from(compact: Vec<Member>) -> Result<Self, Error> {
        decode_members(compact).map(Self)
    }
}

fn decode_members(compact: Vec<Member>) -> Result<Vec<member::Member>, Error> {
    compact.into_iter().map(member::Member::try_from).collect()
}

impl From<member::Member> for Member {
    fn from(member: member::Member) -> Self {
        let state = match member.state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Dead => 2,
            State::Left => 3,
        };
        Self(
            member.id,
            member.place.region,
            member.place.data_centre,
            encode_address(member.address),
            member.incarnation,
            state,
            member.endpoint.map(Endpoint::from),
            member.link,
        )
    }
}

impl TryFrom<Member> for member::Member {
    type Error = Error;

    fn try_from(compact: Member) -> Result<Self, Error> {
        let Member(id, region, data_centre, address, incarnation, state, endpoint, link) = compact;
        let state = match state {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Dead,
            3 => State::Left,
            _ => return Err(Error::BadMember),
        };
        Ok(Self {
            id,
            place: Place {
                region,
                data_centre,
            },
            address: decode_address(&address)?,
            incarnation,
            link,
            state,
            endpoint: endpoint.map(member::Endpoint::try_from).transpose()?,
        })
    }
}

impl From<member::Endpoint> for Endpoint {
    fn from(endpoint: member::Endpoint) -> Self {
        let stage = match endpoint.stage {
            Stage::Starting => 0,
            Stage::Ready => 1,
            Stage::Draining => 2,
            Stage::Gone => 3,
        };
        Self(endpoint.service, stage, endpoint.slots, endpoint.release)
    }
}

impl TryFrom<Endpoint> for member::Endpoint {
    type Error = Error;

    fn try_from(compact: Endpoint) -> Result<Self, Error> {
        let stage = match compact.1 {
            0 => Stage::Starting,
            1 => Stage::Ready,
            2 => Stage::Draining,
            3 => Stage::Gone,
            _ => return Err(Error::BadMember),
        };
        Ok(Self {
            service: compact.0,
            stage,
            slots: compact.2,
            release: compact.3,
        })
    }
}

fn encode_address(address: SocketAddr) -> ByteBuf {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    ByteBuf::from(bytes)
}

fn decode_address(bytes: &[u8]) -> Result<SocketAddr, Error> {
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or(Error::BadMember)?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(Error::BadMember);
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
