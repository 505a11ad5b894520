//! State of a service.

use super::DispatchLimits;
use crate::admission::StreamLimits;
use crate::groups::Groups;
use crate::retry_slots::{RetrySlotLimits, RetrySlots};
use crate::urgency_room::UrgencyRoom;
use crate::waiting::{StartRate, WaitingCalls};
use crate::zone_shares::ZoneShare;
use crate::{CallKey, FirstByteLatency, ServiceProfile};
use egretstage_routing::{RetryBudget, RetryLimits};
use std::time::{Duration, Instant};

/// Time over which the starts of waiting calls are counted.
const START_WINDOW: Duration = Duration::from_secs(2);

/// Limits on the streams of a service without a route for streams.
const DEFAULT_STREAM_LIMITS: StreamLimits = StreamLimits {
    max_pause: Duration::from_millis(120),
    max_stream: Duration::from_secs(8),
};

/// Time constant with which arrivals stop counting as recent.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Number of calls that arrived recently.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentArrivals {
    count: f32,
    updated_at: Option<Instant>,
}

impl RecentArrivals {
    fn decay(&mut self, now: Instant) {
        let elapsed = self
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let constants = elapsed.as_secs_f32() / ARRIVAL_TIME_CONSTANT.as_secs_f32();
        self.count *= (-constants).exp();
    }

    /// Records an arrival.
    pub(super) fn record(&mut self, now: Instant) {
        self.decay(now);
        self.count += 1.0;
    }

    /// Returns the number of recent arrivals, rounded to the nearest whole one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    pub(super) fn recent(&mut self, now: Instant) -> u32 {
        self.decay(now);
        self.count.round() as u32
    }
}

/// State of a service at this entry.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    pub(super) waiting: WaitingCalls,
    pub(super) first_byte_latency: FirstByteLatency,
    pub(super) start_rate: StartRate,
    pub(super) arrivals: RecentArrivals,
    pub(super) retry_slots: RetrySlots,
    pub(super) retry_budget: RetryBudget,
    /// Its model groups, each with a bound on its streams.
    pub(super) groups: Groups,
    /// The room that is kept for more urgent calls, if its routes differ in priority.
    pub(super) room: Option<UrgencyRoom>,
    /// Whether room was kept at the last check.
    pub(super) was_room_kept: bool,
    /// The share of its calls that leaves the zone.
    pub(super) zone_share: ZoneShare,
    /// When a change of the share may be logged.
    pub(super) next_share_line: Option<Instant>,
    /// The share that was logged last.
    pub(super) logged_share: f32,
}

impl ServiceState {
    pub(super) fn new(limits: &DispatchLimits) -> Self {
        Self {
            waiting: WaitingCalls::default(),
            first_byte_latency: FirstByteLatency::default(),
            start_rate: StartRate::new(START_WINDOW),
            arrivals: RecentArrivals::default(),
            retry_slots: RetrySlots::new(RetrySlotLimits::default()),
            retry_budget: RetryBudget::new(RetryLimits {
                retries_per_thousand: limits.retries_per_thousand,
                burst: limits.retry_burst,
            }),
            groups: Groups::default(),
            room: None,
            was_room_kept: false,
            zone_share: ZoneShare::default(),
            next_share_line: None,
            logged_share: 0.0,
        }
    }

    /// Applies the operator's settings.
    pub(super) fn configure(&mut self, profile: &ServiceProfile, limits: Option<StreamLimits>) {
        let limits = limits.unwrap_or(DEFAULT_STREAM_LIMITS);
        self.groups.configure(profile.engine, limits);
    }

    /// Keeps room for more urgent calls, or none if the routes don't differ in priority.
    pub(super) fn set_has_urgencies(&mut self, has_urgencies: bool) {
        if has_urgencies {
            self.room.get_or_insert_default();
        } else {
            self.room = None;
        }
    }

    /// Returns the waiting call that starts next: the first one of an urgency that is owed
    /// a start, or else the most urgent one.
    pub(super) fn next_to_start(&self, now: Instant) -> Option<CallKey> {
        let Some(room) = &self.room else {
            return self.waiting.first();
        };
        let mut firsts = self.waiting.first_of_each_urgency();
        let owed = firsts.find(|(urgency, _)| room.is_owed_start(now, *urgency));
        owed.map_or_else(|| self.waiting.first(), |(_, call)| Some(call))
    }
}
