//! The source of maps that keeps a group's experts evenly loaded.
//!
//! The published protocol of the loads: `GET /expert-loads` at an engine rank
//! answers with the load of each expert of each layer over the last interval,
//! summed over all ranks of the group.

use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_balance::{
    BalanceTradeoff, ExecutorLimits, ExpertMap, LayerShape, RankId, Sharing, TransferResult,
};
use egretstage_config::{BalancePreset, BalanceSettings, RankSettings};
use egretstage_group::MapSource;
use egretstage_observe::DECISION_TARGET;
use egretstage_platform::{HttpWeightStore, PlatformError, WeightStore, WeightTransfer};
use egretstage_rebalance::{
    LayerLoads, OfferId, RebalanceEffect, RebalanceEvent, RebalanceSettings, Rebalancer,
    decode_map, encode_map,
};
use egretstage_runtime::{EventLoop, EventSender};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time that one batch of copies may take.
const BATCH_TIME: Duration = Duration::from_secs(1);

/// Most times that one copy is asked for, refusals apart.
const MAX_COPY_ATTEMPTS: u8 = 3;

/// Time in which a deviation of an expert's load fades by a factor of e.
const LOAD_RELAXATION: Duration = Duration::from_hours(8);

/// Skew, in percentage points, that levelled shares must take away.
const LEVEL_GAIN_POINTS: f64 = 0.5;

/// Longest wait for the loads.
const LOADS_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP status of the store when its rate is used up.
const STORE_BUSY: u16 = 429;

/// The answer to `GET /expert-loads`.
#[derive(Debug, Deserialize)]
struct ExpertLoads {
    layers: Vec<Vec<f64>>,
}

/// A map that was offered.
type Offer = (OfferId, Box<ExpertMap>);

/// The threads that plan, while this companion decides.
#[derive(Debug)]
struct Planning {
    events: EventSender<RebalanceEvent>,
    offers: Receiver<Offer>,
    open: Option<OfferId>,
    stop: Arc<AtomicBool>,
}

impl Drop for Planning {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

/// Plans the maps of a group from the loads of its experts.
#[derive(Debug)]
pub(super) struct BalancedMaps {
    group: compact_str::CompactString,
    engine: SocketAddr,
    store_url: String,
    interval: Duration,
    settings: RebalanceSettings,
    planning: Option<Planning>,
}

impl BalancedMaps {
    pub(super) fn new(rank: &RankSettings, balance: &BalanceSettings, engine: SocketAddr) -> Self {
        Self {
            group: rank.group.clone().into(),
            engine,
            store_url: balance.store_url.clone(),
            interval: balance.interval,
            settings: rebalance_settings(rank.ranks, balance),
            planning: None,
        }
    }

    fn start(&self, map: ExpertMap) -> std::io::Result<Planning> {
        let (events, rx) = EventLoop::channel();
        let (offers_tx, offers) = unbounded();
        let stop = Arc::new(AtomicBool::new(false));
        let mut sink = Sink {
            offers: offers_tx,
            copies: self.start_copies(&events, &stop)?,
        };
        let settings = self.settings;
        EventLoop::spawn("rebalance", rx, move || {
            let rebalancer = Rebalancer::new(Instant::now(), settings, map);
            (rebalancer, Box::new(move |effect| sink.carry_out(effect)))
        })?;
        self.start_loads(&events, &stop)?;
        Ok(Planning {
            events,
            offers,
            open: None,
            stop,
        })
    }

    /// Reads the loads at each interval until the planning stops.
    fn start_loads(
        &self,
        events: &EventSender<RebalanceEvent>,
        stop: &Arc<AtomicBool>,
    ) -> std::io::Result<()> {
        let (events, stop, interval) = (events.clone(), Arc::clone(stop), self.interval);
        let url = format!("http://{}/expert-loads", self.engine);
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(LOADS_TIMEOUT))
            .build()
            .into();
        let read = move || {
            while !stop.load(Ordering::Acquire) {
                match read_loads(&agent, &url) {
                    Ok(loads) => events.send(RebalanceEvent::LoadsMeasured {
                        interval,
                        layers: loads.layers.into_iter().map(LayerLoads).collect(),
                    }),
                    Err(e) => log::debug!(error:display = e; "no expert loads"),
                }
                std::thread::sleep(interval);
            }
        };
        let thread = std::thread::Builder::new().name("expert-loads".to_owned());
        thread.spawn(read).map(drop)
    }

    /// Asks the store for one copy after the other.
    fn start_copies(
        &self,
        events: &EventSender<RebalanceEvent>,
        stop: &Arc<AtomicBool>,
    ) -> std::io::Result<Sender<Copy>> {
        let (tx, rx) = unbounded::<Copy>();
        let (events, stop, group) = (events.clone(), Arc::clone(stop), self.group.clone());
        let store = HttpWeightStore::new(&self.store_url);
        let copy = move || {
            for copy in rx {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let result = copy.run(&store, &group);
                let transfer = copy.transfer;
                events.send(RebalanceEvent::Transferred { transfer, result });
            }
        };
        let thread = std::thread::Builder::new().name("weight-copies".to_owned());
        thread.spawn(copy)?;
        Ok(tx)
    }
}

impl MapSource for BalancedMaps {
    fn initial_map(&mut self) -> Vec<u8> {
        encode_map(&Rebalancer::initial_map(&self.settings))
    }

    fn generation_started(&mut self, map: &[u8]) {
        let started = match decode_map(map) {
            Ok(map) => self.start(map),
            Err(e) => {
                log::warn!(error:display = e; "the group's map can't be read; it is kept");
                return;
            }
        };
        match started {
            Ok(planning) => self.planning = Some(planning),
            Err(e) => log::warn!(error:display = e; "planning can't be started"),
        }
    }

    fn poll(&mut self, _: Instant) -> Option<Vec<u8>> {
        let planning = self.planning.as_mut()?;
        let (offer, map) = planning.offers.try_recv().ok()?;
        planning.open = Some(offer);
        Some(encode_map(&map))
    }

    fn map_activated(&mut self, _: Instant) {
        if let Some(planning) = &mut self.planning
            && let Some(offer) = planning.open.take()
        {
            planning.events.send(RebalanceEvent::Committed(offer));
        }
    }
}

fn rebalance_settings(ranks: u16, balance: &BalanceSettings) -> RebalanceSettings {
    RebalanceSettings {
        shape: LayerShape {
            ranks,
            experts: balance.experts,
            slots_per_rank: balance.slots_per_rank,
        },
        layers: balance.layers,
        trade: match balance.preset {
            BalancePreset::LowSkew => BalanceTradeoff::LOW_SKEW,
            BalancePreset::LowCost => BalanceTradeoff::LOW_COST,
        },
        sharing: if balance.even_shares {
            Sharing::Even
        } else {
            Sharing::Uneven
        },
        executor: ExecutorLimits {
            store_bytes_per_second: balance.store_bytes_per_second,
            batch_time: BATCH_TIME,
            expert_bytes: balance.expert_bytes,
            max_attempts: MAX_COPY_ATTEMPTS,
        },
        interval: balance.interval,
        relaxation: LOAD_RELAXATION,
        level_gain_points: LEVEL_GAIN_POINTS,
    }
}

fn read_loads(agent: &ureq::Agent, url: &str) -> Result<ExpertLoads, ureq::Error> {
    agent.get(url).call()?.body_mut().read_json()
}

/// A copy of an expert's weights to a rank.
#[derive(Clone, Copy, Debug)]
struct Copy {
    transfer: egretstage_balance::TransferId,
    layer: u16,
    expert: egretstage_balance::ExpertId,
    rank: RankId,
    bytes: u64,
}

impl Copy {
    fn run(self, store: &HttpWeightStore, group: &compact_str::CompactString) -> TransferResult {
        let asked = store.transfer(&WeightTransfer {
            group: group.clone(),
            layer: self.layer,
            rank: self.rank.0,
            expert: self.expert.0,
            bytes: self.bytes,
        });
        match asked {
            Ok(()) => TransferResult::Done,
            Err(PlatformError::Refused { status, .. }) if status == STORE_BUSY => {
                TransferResult::StoreBusy
            }
            Err(e) => {
                log::warn!(error:display = e; "a copy of expert weights failed");
                TransferResult::Failed
            }
        }
    }
}

/// Carries out the rebalancer's effects.
struct Sink {
    offers: Sender<Offer>,
    copies: Sender<Copy>,
}

impl Sink {
    fn carry_out(&mut self, effect: RebalanceEffect) {
        match effect {
            RebalanceEffect::Offer { offer, map } => {
                let _ = self.offers.send((offer, map));
            }
            RebalanceEffect::Transfer {
                transfer,
                target,
                bytes,
            } => {
                let _ = self.copies.send(Copy {
                    transfer,
                    layer: target.layer,
                    expert: target.expert_move.expert,
                    rank: target.expert_move.rank,
                    bytes,
                });
            }
            RebalanceEffect::Log(line) => {
                log::info!(target: DECISION_TARGET, decision:serde = line; "{}", line.step);
            }
        }
    }
}
