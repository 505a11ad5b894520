//! Events, effects and log entries of a member.

use crate::{
    DeciderClaim, EngineCounts, EngineReport, ExpertLists, FencedOrder, GroupShape, OrderEnd,
    PassMessage,
};
use compact_str::CompactString;
use egretstage_wire::{InstanceId, SlowRanks};
use serde::Serialize;
use std::net::SocketAddr;
use strum::IntoStaticStr;

/// An event that a member handles.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// The configuration of the group was read.
    GroupConfigured(GroupShape),
    /// The local engine's report was read. The number is the fencing number of
    /// the decider that was followed when the read was requested.
    ReportRead(Box<EngineReport>, u64),
    /// The experts that the rank holds in the map of that version were read
    /// from the local engine.
    ListsRead(u64, ExpertLists),
    /// The local engine's counts were read.
    CountsRead(EngineCounts),
    /// An order that this member sent to an engine has ended.
    OrderEnded {
        /// The companion that issued the order; none for this member's own
        /// decider.
        issuer: Option<SocketAddr>,
        /// Number of the order, counted by the issuer.
        number: u64,
        /// How it ended.
        end: OrderEnd,
        /// The engine's report afterwards, if it was read.
        report: Option<Box<EngineReport>>,
    },
    /// The report of an engine whose companion is silent was read.
    RemoteReportRead(SocketAddr, Box<EngineReport>),
    /// A datagram arrived from that address.
    Received(SocketAddr, Box<PassMessage>),
    /// The claims of the group were read.
    ClaimRead {
        /// The newest claim, if there is one, with its fencing number.
        claim: Option<(DeciderClaim, u64)>,
        /// End of the claims.
        end: u64,
        /// Smallest fencing number for a claim that is written at that end.
        least_fence: u64,
    },
    /// The claims couldn't be read or written.
    ClaimFailed,
    /// The addresses of the entries were read; none if they couldn't be read.
    EntriesRead(Option<Vec<SocketAddr>>),
    /// The instance was suspended, and the clock of the events didn't count the
    /// time.
    Suspended,
}

/// An effect that a member requests.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Reads the local engine's report, after the orders sent before. The
    /// followed decider's fencing number is returned with it.
    ReadReport(u64),
    /// Reads the experts that the rank holds.
    ReadLists,
    /// Reads the local engine's counts.
    ReadCounts,
    /// Sends an order to an engine, and reads its report afterwards unless the
    /// result is known.
    Order {
        /// The engine.
        engine: SocketAddr,
        /// The companion that issued the order; none for this member's own
        /// decider.
        issuer: Option<SocketAddr>,
        /// Number of the order, counted by the issuer.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
    },
    /// Reads the report of another rank's engine.
    ReadRemoteReport(SocketAddr),
    /// Sends a datagram to that address.
    Send(SocketAddr, Box<PassMessage>),
    /// Reads the addresses of the entries.
    ReadEntries,
    /// Reports the slow ranks of the group to the entry at that address.
    TellEntry(SocketAddr, Box<SlowRanks>),
    /// Reads the newest claim of a group.
    ReadClaim(CompactString),
    /// Writes a claim with its fencing number, if the claims still end at that
    /// offset.
    WriteClaim(Box<DeciderClaim>, u64, u64),
    /// Writes a log entry.
    Log(PassLogEntry),
}

/// The decision log entries of a member.
#[derive(Clone, Debug, PartialEq, Serialize, IntoStaticStr)]
#[serde(rename_all = "kebab-case", tag = "what")]
#[strum(serialize_all = "kebab-case")]
pub enum PassLogEntry {
    /// The member follows a new decider: another companion or itself.
    Decider {
        /// The companion.
        instance: InstanceId,
        /// Its fencing number.
        fence: u64,
    },
    /// This companion claims to decide.
    Claim {
        /// The group.
        group: CompactString,
    },
    /// The decider is silent; peers are asked whether it reaches them.
    Silent {
        /// The decider's fencing number.
        fence: u64,
        /// Duration of the silence, in milliseconds.
        silent_ms: u64,
    },
    /// This companion no longer decides.
    StandDown {
        /// Its fencing number.
        fence: u64,
    },
    /// A switch has entered a phase.
    Phase {
        /// The decider's fencing number.
        fence: u64,
        /// The phase.
        phase: &'static str,
    },
    /// The hold of an unreachable predecessor is released.
    LiftHold {
        /// The new decider's fencing number.
        fence: u64,
        /// The rank that holds the group.
        rank: u16,
        /// The held pass.
        pass: u64,
    },
    /// A new map was planned.
    Plan {
        /// The decider's fencing number.
        fence: u64,
        /// The map's version.
        version: u64,
        /// Copies that the map needs.
        copies: u32,
        /// Largest rank load divided by the mean, with the map in use.
        skew_before: f64,
        /// The same with the new map, if demand stays the same.
        skew_after: f64,
    },
    /// A switch has ended.
    InUse {
        /// The decider's fencing number.
        fence: u64,
        /// Version of the map in use.
        version: u64,
    },
}
