//! What happens to a member, what it does and what it logs.

use crate::{
    DeciderClaim, EngineCounts, EngineReport, ExpertLists, FencedOrder, GroupShape, OrderEnd,
    PassMessage,
};
use compact_str::CompactString;
use egretstage_wire::InstanceId;
use serde::Serialize;
use std::net::SocketAddr;
use strum::IntoStaticStr;

/// What can happen to a member.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// The operator has described the group.
    GroupConfigured(GroupShape),
    /// The own engine has reported, to a read that was asked for while the
    /// decider with that fencing number was followed.
    ReportRead(Box<EngineReport>, u64),
    /// The own engine has told what experts the rank holds in a map.
    ListsRead(u64, ExpertLists),
    /// The own engine has told its counts.
    CountsRead(EngineCounts),
    /// An order that went straight to an engine has ended.
    OrderEnded {
        /// Who gave the order; none for this member's own decider.
        issuer: Option<SocketAddr>,
        /// The giver's count of orders.
        number: u64,
        /// How it ended.
        end: OrderEnd,
        /// The engine's report afterwards.
        report: Option<Box<EngineReport>>,
    },
    /// An engine whose companion is silent has reported.
    RemoteReportRead(SocketAddr, Box<EngineReport>),
    /// A datagram has arrived.
    Received(SocketAddr, Box<PassMessage>),
    /// The newest claim of the group was read, if there is one, and where the
    /// claims end.
    ClaimRead {
        /// The claim and its fencing number.
        claim: Option<(DeciderClaim, u64)>,
        /// End of the claims.
        end: u64,
        /// Least fencing number of a claim that is written there.
        least_fence: u64,
    },
    /// The claims can't be read or written.
    ClaimFailed,
    /// The process stood still without its clock noticing.
    Suspended,
}

/// What a member does.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Reads the own engine's report, after the orders given before; the number
    /// comes back with it.
    ReadReport(u64),
    /// Reads the experts that the rank holds.
    ReadLists,
    /// Reads the own engine's counts.
    ReadCounts,
    /// Gives an order to an engine, and reads its report afterwards.
    Order {
        /// The engine.
        engine: SocketAddr,
        /// Who gave the order; none for this member's own decider.
        issuer: Option<SocketAddr>,
        /// The giver's count of orders.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
    },
    /// Reads the report of another rank's engine.
    ReadRemoteReport(SocketAddr),
    /// Sends a datagram.
    Send(SocketAddr, Box<PassMessage>),
    /// Reads the newest claim of a group.
    ReadClaim(CompactString),
    /// Writes a claim with its fencing number, if the claims still end there.
    WriteClaim(Box<DeciderClaim>, u64, u64),
    /// Writes a log line.
    Log(PassLogEntry),
}

/// The log lines of a member.
#[derive(Clone, Debug, PartialEq, Serialize, IntoStaticStr)]
#[serde(rename_all = "kebab-case", tag = "what")]
#[strum(serialize_all = "kebab-case")]
pub enum PassLogEntry {
    /// Another companion decides from now on.
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
    /// The decider is silent; others are asked whether they hear it.
    Silent {
        /// The decider's fencing number.
        fence: u64,
        /// For how long, in milliseconds.
        silent_ms: u64,
    },
    /// This companion decides no longer.
    StandDown {
        /// Its fencing number.
        fence: u64,
    },
    /// A change of the map has come to a phase.
    Phase {
        /// The decider's fencing number.
        fence: u64,
        /// The phase.
        phase: &'static str,
    },
    /// The hold of a decider is lifted whose instance stands still.
    LiftHold {
        /// The new decider's fencing number.
        fence: u64,
        /// The rank that holds the group.
        rank: u16,
        /// The pass that is held.
        pass: u64,
    },
    /// A map with few copies pays.
    Plan {
        /// The decider's fencing number.
        fence: u64,
        /// The map's version.
        version: u64,
        /// Copies.
        copies: u32,
        /// Largest over mean rank load with the map in use.
        skew_before: f64,
        /// The same with the new map, if the demand stays.
        skew_after: f64,
    },
    /// A change of the map has ended.
    InUse {
        /// The decider's fencing number.
        fence: u64,
        /// Version of the map in use.
        version: u64,
    },
}
