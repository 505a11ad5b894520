//! The map source that balances the load of a group's experts.
//!
//! Published protocol: `GET /expert-loads` at an engine rank returns the load of
//! each expert of each layer over the last interval, summed over all ranks of the
//! group.

use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_balance::{
    BalanceTradeoff, ExecutorLimits, ExpertMap, LayerShape, RankId, Sharing, TransferResult,
};
use egretstage_config::{BalancePreset, BalanceSettings, RankSettings};
use egretstage_group::MapSource;
use egretstage_observe::DECISION_TARGET;
use egretstage_platform::{
    HttpWeightStore, PlatformError, WeightStore, WeightTransfer, limited_agent,
};
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
const BATCH_TIME_LIMIT: Duration = Duration::from_secs(1);

/// Maximum number of attempts at one copy; requests that the store refuses because
/// it is busy don't count.
const MAX_COPY_ATTEMPTS: u8 = 3;

/// Time in which a deviation of an expert's load decays by a factor of e.
const LOAD_RELAXATION: Duration = Duration::from_hours(8);

/// Minimum reduction of the skew, in percentage points, that justifies a new map
/// which only levels the shares.
const MIN_LEVEL_GAIN_POINTS: f64 = 0.5;

/// Timeout of a read of the loads.
const LOADS_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of an answer with the loads: those of a hundred thousand experts.
const MAX_LOADS_BYTES: u64 = 4 * 1024 * 1024;

/// HTTP status of the store when its transfer rate is exhausted.
const TOO_MANY_REQUESTS: u16 = 429;

/// The answer to `GET /expert-loads`.
#[derive(Debug, Deserialize)]
struct ExpertLoads {
    layers: Vec<Vec<f64>>,
}

/// A map that the rebalancer offers, with the id of the offer.
type Offer = (OfferId, Box<ExpertMap>);

/// Handle of the planning threads, which run while this companion is the decider.
#[derive(Debug)]
struct Planner {
    events: EventSender<RebalanceEvent>,
    offers: Receiver<Offer>,
    pending_offer: Option<OfferId>,
    stop: Arc<AtomicBool>,
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

/// A [`MapSource`] that plans maps from the measured loads of the experts.
#[derive(Debug)]
pub(super) struct BalancedMaps {
    group: compact_str::CompactString,
    engine: SocketAddr,
    store_url: String,
    interval: Duration,
    settings: RebalanceSettings,
    planner: Option<Planner>,
}

impl BalancedMaps {
    pub(super) fn new(rank: &RankSettings, balance: &BalanceSettings, engine: SocketAddr) -> Self {
        Self {
            group: rank.group.clone().into(),
            engine,
            store_url: balance.store_url.clone(),
            interval: balance.interval,
            settings: rebalance_settings(rank.ranks, balance),
            planner: None,
        }
    }

    fn start(&self, map: ExpertMap) -> std::io::Result<Planner> {
        let (events, rx) = EventLoop::channel();
        let (offers_tx, offers) = unbounded();
        let stop = Arc::new(AtomicBool::new(false));
        let mut executor = EffectExecutor {
            offers: offers_tx,
            copies: self.start_copies(&events, &stop)?,
        };
        let settings = self.settings;
        EventLoop::spawn("rebalance", rx, move || {
            let rebalancer = Rebalancer::new(Instant::now(), settings, map);
            (rebalancer, Box::new(move |effect| executor.execute(effect)))
        })?;
        self.start_load_polling(&events, &stop)?;
        Ok(Planner {
            events,
            offers,
            pending_offer: None,
            stop,
        })
    }

    /// Starts a thread that reads the loads once per interval until the planner is
    /// dropped.
    fn start_load_polling(
        &self,
        events: &EventSender<RebalanceEvent>,
        stop: &Arc<AtomicBool>,
    ) -> std::io::Result<()> {
        let (events, stop, interval) = (events.clone(), Arc::clone(stop), self.interval);
        let url = format!("http://{}/expert-loads", self.engine);
        let config = ureq::Agent::config_builder();
        let config = config.timeout_global(Some(LOADS_TIMEOUT)).build();
        let agent = limited_agent(config, MAX_LOADS_BYTES);
        let poll_loads = move || {
            while !stop.load(Ordering::Acquire) {
                match read_loads(&agent, &url) {
                    Ok(loads) => events.send(RebalanceEvent::LoadsMeasured {
                        interval,
                        layers: loads.layers.into_iter().map(LayerLoads).collect(),
                    }),
                    Err(e) => log::debug!(error:display = e; "reading the expert loads failed"),
                }
                std::thread::sleep(interval);
            }
        };
        let thread = std::thread::Builder::new().name("expert-loads".to_owned());
        thread.spawn(poll_loads).map(drop)
    }

    /// Starts a thread that requests copies from the store, one at a time.
    fn start_copies(
        &self,
        events: &EventSender<RebalanceEvent>,
        stop: &Arc<AtomicBool>,
    ) -> std::io::Result<Sender<WeightCopy>> {
        let (tx, rx) = unbounded::<WeightCopy>();
        let (events, stop, group) = (events.clone(), Arc::clone(stop), self.group.clone());
        let store = HttpWeightStore::new(&self.store_url);
        let run_copies = move || {
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
        thread.spawn(run_copies)?;
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
                log::warn!(error:display = e; "can't decode the group's map, which stays active");
                return;
            }
        };
        match started {
            Ok(planner) => self.planner = Some(planner),
            Err(e) => log::warn!(error:display = e; "can't start the rebalancer"),
        }
    }

    fn poll(&mut self, _: Instant) -> Option<Vec<u8>> {
        let planner = self.planner.as_mut()?;
        let (offer, map) = planner.offers.try_recv().ok()?;
        planner.pending_offer = Some(offer);
        Some(encode_map(&map))
    }

    fn map_activated(&mut self, _: Instant) {
        if let Some(planner) = &mut self.planner
            && let Some(offer) = planner.pending_offer.take()
        {
            planner.events.send(RebalanceEvent::Committed(offer));
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
        tradeoff: match balance.preset {
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
            batch_time: BATCH_TIME_LIMIT,
            expert_bytes: balance.expert_bytes,
            max_attempts: MAX_COPY_ATTEMPTS,
        },
        interval: balance.interval,
        relaxation: LOAD_RELAXATION,
        level_gain_points: MIN_LEVEL_GAIN_POINTS,
    }
}

fn read_loads(agent: &ureq::Agent, url: &str) -> Result<ExpertLoads, ureq::Error> {
    agent.get(url).call()?.body_mut().read_json()
}

/// A request to copy an expert's weights to a rank.
#[derive(Clone, Copy, Debug)]
struct WeightCopy {
    transfer: egretstage_balance::TransferId,
    layer: u16,
    expert: egretstage_balance::ExpertId,
    rank: RankId,
    bytes: u64,
}

impl WeightCopy {
    fn run(self, store: &HttpWeightStore, group: &compact_str::CompactString) -> TransferResult {
        let transferred = store.transfer(&WeightTransfer {
            group: group.clone(),
            layer: self.layer,
            rank: self.rank.0,
            expert: self.expert.0,
            bytes: self.bytes,
        });
        match transferred {
            Ok(()) => TransferResult::Done,
            Err(PlatformError::Refused { status, .. }) if status == TOO_MANY_REQUESTS => {
                TransferResult::StoreBusy
            }
            Err(e) => {
                log::warn!(error:display = e; "copying expert weights failed");
                TransferResult::Failed
            }
        }
    }
}

/// Executes the rebalancer's effects.
struct EffectExecutor {
    offers: Sender<Offer>,
    copies: Sender<WeightCopy>,
}

impl EffectExecutor {
    fn execute(&mut self, effect: RebalanceEffect) {
        match effect {
            RebalanceEffect::Offer { offer, map } => {
                let _ = self.offers.send((offer, map));
            }
            RebalanceEffect::Transfer {
                transfer,
                target,
                bytes,
            } => {
                let _ = self.copies.send(WeightCopy {
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
