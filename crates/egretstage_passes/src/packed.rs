//! Packs the experts of all ranks into bytes.
//!
//! A full map is sent to each rank that doesn't know the previous one. Unpacked,
//! it would fill the link.

use crate::ExpertsByRank;
use egretstage_balance::ExpertId;
use serde::{Deserialize, Deserializer, Serializer, de, ser};

/// Serializes a map as one byte string.
///
/// # Errors
///
/// Returns an error for more than 65,535 layers, ranks of a layer or experts on
/// a rank.
pub(crate) fn serialize<S: Serializer>(map: &ExpertsByRank, s: S) -> Result<S::Ok, S::Error> {
    let bytes = pack(map).map_err(ser::Error::custom)?;
    s.serialize_bytes(&bytes)
}

/// Packs a map.
///
/// # Errors
///
/// Returns an error for more than 65,535 layers, ranks of a layer or experts on
/// a rank.
pub(crate) fn pack(map: &ExpertsByRank) -> Result<Vec<u8>, std::num::TryFromIntError> {
    let mut bytes = Vec::new();
    write_number(&mut bytes, map.len())?;
    for ranks in map {
        write_number(&mut bytes, ranks.len())?;
        for experts in ranks {
            write_experts(&mut bytes, experts)?;
        }
    }
    Ok(bytes)
}

/// Packs the experts of a rank.
///
/// # Errors
///
/// Returns an error for more than 65,535 experts.
pub(crate) fn write_experts(
    bytes: &mut Vec<u8>,
    experts: &[ExpertId],
) -> Result<(), std::num::TryFromIntError> {
    write_number(bytes, experts.len())?;
    for expert in experts {
        write_number(bytes, usize::from(expert.0))?;
    }
    Ok(())
}

/// Deserializes a map from one byte string.
///
/// # Errors
///
/// Returns an error for a string that is too short or too long for its
/// contents.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<ExpertsByRank, D::Error> {
    let bytes = serde_bytes::ByteBuf::deserialize(d)?;
    let mut rest = bytes.as_slice();
    let map = read_map(&mut rest).filter(|_| rest.is_empty());
    map.ok_or_else(|| de::Error::custom("the length of a packed map does not fit its contents"))
}

/// First byte of a number that takes two more bytes. Numbers smaller than the
/// mark take one byte.
const TWO_BYTE_MARK: u8 = 0xff;

/// Writes a number in one or three bytes.
///
/// # Errors
///
/// Returns an error for a number over 65,535.
pub(crate) fn write_number(
    bytes: &mut Vec<u8>,
    number: usize,
) -> Result<(), std::num::TryFromIntError> {
    match u8::try_from(number) {
        Ok(short) if short < TWO_BYTE_MARK => bytes.push(short),
        _ => {
            bytes.push(TWO_BYTE_MARK);
            bytes.extend(u16::try_from(number)?.to_be_bytes());
        }
    }
    Ok(())
}

/// Reads a number off the front; none if the bytes end too early.
pub(crate) fn read_number(rest: &mut &[u8]) -> Option<u16> {
    let (first, tail) = rest.split_first()?;
    *rest = tail;
    if *first < TWO_BYTE_MARK {
        return Some(u16::from(*first));
    }
    let (long, tail) = rest.split_first_chunk()?;
    *rest = tail;
    Some(u16::from_be_bytes(*long))
}

fn read_map(rest: &mut &[u8]) -> Option<ExpertsByRank> {
    let layers = read_number(rest)?;
    (0..layers)
        .map(|_| {
            let ranks = read_number(rest)?;
            (0..ranks).map(|_| read_experts(rest)).collect()
        })
        .collect()
}

/// Reads the experts of a rank off the front; none if the bytes end too early.
pub(crate) fn read_experts(rest: &mut &[u8]) -> Option<Vec<ExpertId>> {
    let count = read_number(rest)?;
    (0..count)
        .map(|_| read_number(rest).map(ExpertId))
        .collect()
}
