//! What changes from one expert map to the next.
//!
//! Load pattern: a map of 24 ranks and 16 layers takes over two kilobytes, and
//! goes to each rank with each wave of copies. The queue of a link of a
//! megabyte a second holds a dozen of them; those behind are lost, and each
//! change waits until they are sent again. A wave changes a few lists only, so
//! the ranks are told these.

use crate::packed;
use egretstage_balance::{EvenMap, ExpertId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The experts of each rank, by layer.
pub type ExpertsByRank = Vec<Vec<Vec<ExpertId>>>;

/// The difference of a map to one that the ranks know.
///
/// ```
/// # use egretstage_balance::ExpertId;
/// # use egretstage_passes::{KnownMaps, MapChanges};
/// let lists = |first: u16| vec![vec![ExpertId(first)], vec![ExpertId(1)]];
/// let (old, new) = (vec![lists(0), lists(0)], vec![lists(0), lists(1)]);
/// let changes = MapChanges::between(&old, &new).expect("maps of one shape");
///
/// let mut known = KnownMaps::default();
/// assert_eq!(known.apply(&changes), None);
/// known.insert(old);
/// assert_eq!(known.apply(&changes), Some(new));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapChanges {
    /// Hash of the map that they change: a version alone could name two maps
    /// after the platform's store has lost its history.
    base: u64,
    /// Hash of the map that they make.
    result: u64,
    /// The lists that are new, with their layers and ranks, packed.
    #[serde(with = "serde_bytes")]
    lists: Vec<u8>,
}

impl MapChanges {
    /// Returns what changes between two maps; none if their shapes differ.
    #[must_use]
    pub fn between(old: &ExpertsByRank, new: &ExpertsByRank) -> Option<Self> {
        if shape(old) != shape(new) {
            return None;
        }
        let mut lists = Vec::new();
        for (layer, (old, new)) in old.iter().zip(new).enumerate() {
            for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                if old != new {
                    packed::put(&mut lists, layer).ok()?;
                    packed::put(&mut lists, rank).ok()?;
                    packed::put_experts(&mut lists, new).ok()?;
                }
            }
        }
        Some(Self {
            base: content_hash(old),
            result: content_hash(new),
            lists,
        })
    }

    /// Returns the size of the lists that they hold.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.lists.len()
    }
}

fn shape(map: &ExpertsByRank) -> impl PartialEq + '_ {
    map.iter().map(Vec::len).collect::<Vec<_>>()
}

fn content_hash(map: &ExpertsByRank) -> u64 {
    rapidhash::v3::rapidhash_v3(&packed::pack(map).unwrap_or_default())
}

/// Maps that a companion remembers: the one in use, the one before it, and the
/// one that is prepared.
const REMEMBERED: usize = 3;

/// The maps that a companion knows.
#[derive(Clone, Debug, Default)]
pub struct KnownMaps {
    /// Those that a group may start with.
    starts: SmallVec<[(u64, ExpertsByRank); 2]>,
    /// Those that it was told last.
    told: SmallVec<[(u64, ExpertsByRank); REMEMBERED]>,
}

impl KnownMaps {
    /// Works out the maps that a group of such a shape may start with, so that
    /// nobody has to send them after each time that it is formed anew.
    ///
    /// The experts go to the ranks in turn, one by one or block by block.
    pub fn set_initial_maps(&mut self, ranks: u16, layers: u16, experts: u16) {
        if ranks == 0 || ranks > experts {
            return;
        }
        let mut one_by_one = vec![Vec::new(); usize::from(ranks)];
        for expert in 0..experts {
            one_by_one[usize::from(expert % ranks)].push(ExpertId(expert));
        }
        let blocks = EvenMap::blocks(ranks, experts).by_rank();
        let of_all_layers = |layer: Vec<Vec<ExpertId>>| vec![layer; usize::from(layers)];
        let starts = [one_by_one, blocks].map(of_all_layers);
        self.starts = starts.map(|map| (content_hash(&map), map)).into();
    }

    /// Remembers a map, and forgets the oldest.
    pub fn insert(&mut self, map: ExpertsByRank) {
        let hash = content_hash(&map);
        self.told.retain(|(known, _)| *known != hash);
        if self.told.len() == REMEMBERED {
            self.told.remove(0);
        }
        self.told.push((hash, map));
    }

    /// Returns the map that was told last, or one that the group may start with.
    #[must_use]
    pub fn newest(&self) -> Option<&ExpertsByRank> {
        let known = self.told.last().or(self.starts.first());
        known.map(|(_, map)| map)
    }

    /// Returns the map that changes make, if the one that they change is known.
    #[must_use]
    pub fn apply(&self, changes: &MapChanges) -> Option<ExpertsByRank> {
        let mut known = self.told.iter().chain(&self.starts);
        let (_, base) = known.find(|(hash, _)| *hash == changes.base)?;
        let mut map = base.clone();
        let mut rest = changes.lists.as_slice();
        while !rest.is_empty() {
            let (layer, rank) = (packed::take(&mut rest)?, packed::take(&mut rest)?);
            let experts = packed::experts(&mut rest)?;
            let ranks = map.get_mut(usize::from(layer))?;
            *ranks.get_mut(usize::from(rank))? = experts;
        }
        (content_hash(&map) == changes.result).then_some(map)
    }
}
