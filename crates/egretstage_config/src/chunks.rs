//! Splits a state delta into parts of limited size and joins them again.

use crate::StateDelta;
use egretstage_wire::{ObjectState, SeenChange, StateChunk};

/// Size that the content of one part stays under, unless a single object is
/// larger, in bytes of JSON.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Most parts that a delta may have.
const MAX_PARTS: u32 = 4096;

impl StateDelta {
    /// Splits the delta into parts, at least one.
    ///
    /// # Panics
    ///
    /// Never; a delta has fewer than 2^32 parts.
    #[must_use]
    pub fn into_chunks(self) -> Vec<StateChunk> {
        let objects = split(self.objects, json_bytes);
        let seen = split(self.seen, json_bytes);
        let count = (objects.len() + seen.len()).max(1);
        let parts = u32::try_from(count).expect("fewer than 2^32 parts");
        let empty = |part| StateChunk {
            since: self.since,
            through: self.through,
            part,
            parts,
            digest: self.digest,
            objects: Vec::new(),
            seen: Vec::new(),
        };
        let mut chunks: Vec<StateChunk> = (1..=parts).map(empty).collect();
        let (of_objects, of_seen) = chunks.split_at_mut(objects.len());
        for (chunk, objects) in of_objects.iter_mut().zip(objects) {
            chunk.objects = objects;
        }
        for (chunk, seen) in of_seen.iter_mut().zip(seen) {
            chunk.seen = seen;
        }
        chunks
    }
}

fn json_bytes(item: &impl serde::Serialize) -> usize {
    serde_json::to_vec(item).map_or(0, |buf| buf.len())
}

fn split<T>(items: Vec<T>, bytes_of: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut groups = Vec::new();
    let mut bytes = MAX_CHUNK_BYTES;
    for item in items {
        let size = bytes_of(&item);
        if groups.is_empty() || bytes + size > MAX_CHUNK_BYTES {
            groups.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        groups.last_mut().expect("a group was pushed").push(item);
    }
    groups
}

/// Joins the parts of one delta, in whatever order they come.
#[derive(Clone, Debug, Default)]
pub struct ChunkJoiner {
    parts: Vec<Option<StateChunk>>,
}

impl ChunkJoiner {
    /// Adds a part and returns the delta once it is whole.
    ///
    /// A part of another delta starts that one and drops what was held.
    pub fn push(&mut self, chunk: StateChunk) -> Option<StateDelta> {
        let index = usize::try_from(chunk.part.checked_sub(1)?).ok()?;
        let same = self.parts.iter().flatten().next().is_some_and(|held| {
            (held.since, held.through, held.digest, held.parts)
                == (chunk.since, chunk.through, chunk.digest, chunk.parts)
        });
        if !same {
            if chunk.parts > MAX_PARTS {
                return None;
            }
            self.parts = vec![None; usize::try_from(chunk.parts).ok()?];
        }
        *self.parts.get_mut(index)? = Some(chunk);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let chunks: Vec<StateChunk> = std::mem::take(&mut self.parts)
            .into_iter()
            .flatten()
            .collect();
        join(&chunks)
    }
}

fn join(chunks: &[StateChunk]) -> Option<StateDelta> {
    let first = chunks.first()?;
    let objects = chunks.iter().flat_map(|chunk| &chunk.objects);
    let seen = chunks.iter().flat_map(|chunk| &chunk.seen);
    Some(StateDelta {
        since: first.since,
        through: first.through,
        digest: first.digest,
        objects: objects.cloned().collect::<Vec<ObjectState>>(),
        seen: seen.cloned().collect::<Vec<SeenChange>>(),
    })
}
