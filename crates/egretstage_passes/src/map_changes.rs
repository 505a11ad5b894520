//! Changes from one expert map to the next.
//!
//! Load pattern: a map of 24 ranks and 16 layers takes over two kilobytes and
//! is sent to each rank in each copy round. The queue of a link of one megabyte
//! a second holds a dozen of them; the others are lost, and each switch waits
//! until they are sent again. Since a copy round changes only a few lists, the
//! ranks are sent just those.

use crate::packed;
use egretstage_balance::{EvenMap, ExpertId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The experts of each rank, by layer.
pub type ExpertsByRank = Vec<Vec<Vec<ExpertId>>>;

/// The difference between a map and one that the ranks know.
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
    /// Hash of the map that is changed. A version wouldn't do: it could name two
    /// maps after the platform's store has lost its history.
    base: u64,
    /// Hash of the resulting map.
    result: u64,
    /// The new lists, with their layers and ranks, packed.
    #[serde(with = "serde_bytes")]
    lists: Vec<u8>,
}

impl MapChanges {
    /// Returns the changes between two maps, or none if their shapes differ.
    #[must_use]
    pub fn between(old: &ExpertsByRank, new: &ExpertsByRank) -> Option<Self> {
        if shape(old) != shape(new) {
            return None;
        }
        let mut lists = Vec::new();
        for (layer, (old, new)) in old.iter().zip(new).enumerate() {
            for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                if old != new {
                    packed::write_number(&mut lists, layer).ok()?;
                    packed::write_number(&mut lists, rank).ok()?;
                    packed::write_experts(&mut lists, new).ok()?;
                }
            }
        }
        Some(Self {
            base: content_hash(old),
            result: content_hash(new),
            lists,
        })
    }

    /// Returns the size of the packed lists.
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

/// Recent maps that a companion keeps: the one in use, the one before it, and
/// the one that is being prepared.
const MAX_RECENT: usize = 3;

/// The maps that a companion knows.
#[derive(Clone, Debug, Default)]
pub struct KnownMaps {
    /// Maps that a group may start with.
    initial: SmallVec<[(u64, ExpertsByRank); 2]>,
    /// Maps that the companion received last.
    recent: SmallVec<[(u64, ExpertsByRank); MAX_RECENT]>,
}

impl KnownMaps {
    /// Computes the maps that a group of this shape may start with, so that they
    /// needn't be sent each time that the group is formed again.
    ///
    /// The experts are assigned to the ranks in turn, one by one or in blocks.
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
        let initial = [one_by_one, blocks].map(of_all_layers);
        self.initial = initial.map(|map| (content_hash(&map), map)).into();
    }

    /// Adds a map, and removes the oldest recent one if there are too many.
    pub fn insert(&mut self, map: ExpertsByRank) {
        let hash = content_hash(&map);
        self.recent.retain(|(known, _)| *known != hash);
        if self.recent.len() == MAX_RECENT {
            self.recent.remove(0);
        }
        self.recent.push((hash, map));
    }

    /// Returns the map received last, or else one that the group may start
    /// with.
    #[must_use]
    pub fn newest(&self) -> Option<&ExpertsByRank> {
        let known = self.recent.last().or(self.initial.first());
        known.map(|(_, map)| map)
    }

    /// Returns the map that results from changes, if the map that they change
    /// is known.
    #[must_use]
    pub fn apply(&self, changes: &MapChanges) -> Option<ExpertsByRank> {
        let mut known = self.recent.iter().chain(&self.initial);
        let (_, base) = known.find(|(hash, _)| *hash == changes.base)?;
        let mut map = base.clone();
        let mut rest = changes.lists.as_slice();
        while !rest.is_empty() {
            let (layer, rank) = (
                packed::read_number(&mut rest)?,
                packed::read_number(&mut rest)?,
            );
            let experts = packed::read_experts(&mut rest)?;
            let ranks = map.get_mut(usize::from(layer))?;
            *ranks.get_mut(usize::from(rank))? = experts;
        }
        (content_hash(&map) == changes.result).then_some(map)
    }
}
