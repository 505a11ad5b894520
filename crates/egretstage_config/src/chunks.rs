//! Splits a state delta into parts of limited size and joins them again.

use crate::StateDelta;
use egretstage_wire::{ObjectState, SeenChange, StateChunk};

/// Maximum JSON size of the content of one part in bytes; only a part with a
/// single larger object exceeds it.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of parts of a received delta.
const MAX_PARTS: u32 = 4096;

impl StateDelta {
    /// Splits the delta into one or more parts.
    ///
    /// # Panics
    ///
    /// Never; a delta has fewer than 2^32 parts.
    #[must_use]
    pub fn into_chunks(self) -> Vec<StateChunk> {
        let objects = split_by_size(self.objects, json_size);
        let seen = split_by_size(self.seen, json_size);
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
        let (object_chunks, seen_chunks) = chunks.split_at_mut(objects.len());
        for (chunk, objects) in object_chunks.iter_mut().zip(objects) {
            chunk.objects = objects;
        }
        for (chunk, seen) in seen_chunks.iter_mut().zip(seen) {
            chunk.seen = seen;
        }
        chunks
    }
}

fn json_size(item: &impl serde::Serialize) -> usize {
    serde_json::to_vec(item).map_or(0, |buf| buf.len())
}

fn split_by_size<T>(items: Vec<T>, item_size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches = Vec::new();
    let mut bytes = MAX_CHUNK_BYTES;
    for item in items {
        let size = item_size(&item);
        if batches.is_empty() || bytes + size > MAX_CHUNK_BYTES {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        batches.last_mut().expect("a batch was pushed").push(item);
    }
    batches
}

/// Joins the parts of one delta, received in any order.
#[derive(Clone, Debug, Default)]
pub struct ChunkJoiner {
    parts: Vec<Option<StateChunk>>,
}

impl ChunkJoiner {
    /// Adds a part and returns the delta once all its parts are held.
    ///
    /// A part of another delta starts that one and drops the parts held before.
    pub fn push(&mut self, chunk: StateChunk) -> Option<StateDelta> {
        let index = usize::try_from(chunk.part.checked_sub(1)?).ok()?;
        let is_same_delta = self.parts.iter().flatten().next().is_some_and(|held| {
            (held.since, held.through, held.digest, held.parts)
                == (chunk.since, chunk.through, chunk.digest, chunk.parts)
        });
        if !is_same_delta {
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
        join_chunks(&chunks)
    }
}

fn join_chunks(chunks: &[StateChunk]) -> Option<StateDelta> {
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
