//! Packs the experts of all ranks into bytes: a whole map goes to a rank that
//! doesn't know the one before it, over a link that it would fill.

use crate::ExpertsByRank;
use egretstage_balance::ExpertId;
use serde::{Deserialize, Deserializer, Serializer, de, ser};

/// Serializes a map as one byte string.
///
/// # Errors
///
/// Returns an error for more than 65,535 experts on a rank.
pub(crate) fn serialize<S: Serializer>(map: &ExpertsByRank, s: S) -> Result<S::Ok, S::Error> {
    let bytes = pack(map).map_err(ser::Error::custom)?;
    s.serialize_bytes(&bytes)
}

/// Packs a map.
///
/// # Errors
///
/// Returns an error for more than 65,535 experts on a rank.
pub(crate) fn pack(map: &ExpertsByRank) -> Result<Vec<u8>, std::num::TryFromIntError> {
    let mut bytes = Vec::new();
    put(&mut bytes, map.len())?;
    for ranks in map {
        put(&mut bytes, ranks.len())?;
        for experts in ranks {
            put_experts(&mut bytes, experts)?;
        }
    }
    Ok(bytes)
}

/// Packs the experts of a rank.
///
/// # Errors
///
/// Returns an error for more than 65,535 experts.
pub(crate) fn put_experts(
    bytes: &mut Vec<u8>,
    experts: &[ExpertId],
) -> Result<(), std::num::TryFromIntError> {
    put(bytes, experts.len())?;
    for expert in experts {
        put(bytes, usize::from(expert.0))?;
    }
    Ok(())
}

/// Deserializes a map from one byte string.
///
/// # Errors
///
/// Returns an error for a string that ends too early or too late.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<ExpertsByRank, D::Error> {
    let bytes = serde_bytes::ByteBuf::deserialize(d)?;
    let mut rest = bytes.as_slice();
    let map = map(&mut rest).filter(|_| rest.is_empty());
    map.ok_or_else(|| de::Error::custom("the packed map has another length than it says"))
}

/// Marks a number of two bytes; smaller ones than it take one byte.
const LONG: u8 = 0xff;

/// Packs a number.
///
/// # Errors
///
/// Returns an error for a number over 65,535.
pub(crate) fn put(bytes: &mut Vec<u8>, number: usize) -> Result<(), std::num::TryFromIntError> {
    match u8::try_from(number) {
        Ok(short) if short < LONG => bytes.push(short),
        _ => {
            bytes.push(LONG);
            bytes.extend(u16::try_from(number)?.to_be_bytes());
        }
    }
    Ok(())
}

/// Takes a number off the front; none if the bytes end too early.
pub(crate) fn take(rest: &mut &[u8]) -> Option<u16> {
    let (first, tail) = rest.split_first()?;
    *rest = tail;
    if *first < LONG {
        return Some(u16::from(*first));
    }
    let (long, tail) = rest.split_first_chunk()?;
    *rest = tail;
    Some(u16::from_be_bytes(*long))
}

fn map(rest: &mut &[u8]) -> Option<ExpertsByRank> {
    let layers = take(rest)?;
    (0..layers)
        .map(|_| {
            let ranks = take(rest)?;
            (0..ranks).map(|_| experts(rest)).collect()
        })
        .collect()
}

/// Takes the experts of a rank off the front.
pub(crate) fn experts(rest: &mut &[u8]) -> Option<Vec<ExpertId>> {
    let count = take(rest)?;
    (0..count).map(|_| take(rest).map(ExpertId)).collect()
}
