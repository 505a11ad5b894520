//! Calls that have an idempotency key and aren't repeatable.
//!
//! Each goes to the owner of its key. It may be sent there more than once, since
//! the owner runs it at most once.

use crate::calls::WaitReason;
use crate::reducer::EntryReducer;
use crate::routing::{AppliedRule, Candidates};
use crate::sending::ChosenUpstream;
use crate::upstreams::UpstreamKey;
use crate::{AnswerPart, CallKey, EntryEffect, Refusal, RefusalKind};
use egretstage_link::LinkKey;
use egretstage_once::OwnerSet;
use egretstage_routing::{CallResult, RouteReason};
use egretstage_wire::{InstanceId, KeyClaim, NotRunReason, OwnersView, StreamId, UnknownReason};
use std::time::{Duration, Instant};

/// Maximum time to search for a reachable owner of a key.
const OWNER_SEARCH_LIMIT: Duration = Duration::from_secs(2);

/// Time for which a link to an owner is kept after the last call to it.
const OWNER_LINK_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause between two searches for the owner of a key.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after which a caller should retry if the key's owner can't run the
/// call now.
const OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl EntryReducer {
    /// Stores the owners of a service's keys, unless the same or a newer epoch is
    /// known.
    pub(crate) fn update_owners(&mut self, view: OwnersView) {
        let known = self.owners.get(&view.service).map(OwnerSet::epoch);
        if known.is_none_or(|known| known < view.epoch) {
            self.owners.insert(view.service.clone(), view.into());
        }
    }

    /// Sends a call to the owner of its key, or waits for a reachable owner.
    pub(crate) fn route_keyed(&mut self, now: Instant, key: CallKey, fx: &mut Vec<EntryEffect>) {
        self.keep_owner_link(now, key);
        match self.reachable_owner(key) {
            Some((upstream, claim)) => self.send_keyed(now, key, upstream, claim, fx),
            None => self.await_owner(now, key, NotRunReason::NoUpstream, fx),
        }
    }

    /// Keeps a link to the owner of a call's key, which may be outside the
    /// entry's subset of companions.
    fn keep_owner_link(&mut self, now: Instant, key: CallKey) {
        let owner = self.calls.get(key).and_then(|call| {
            let owners = self.owners.get(&call.service)?;
            Some(owners.owner(call.key_digest?)?.instance.clone())
        });
        if let Some(instance) = owner {
            self.upstreams
                .keep_link_until(&instance, now + OWNER_LINK_IDLE_TIMEOUT);
        }
    }

    /// Returns the companion that owns a call's key, if the entry can reach
    /// it.
    fn reachable_owner(&self, key: CallKey) -> Option<(UpstreamKey, KeyClaim)> {
        let call = self.calls.get(key)?;
        let owners = self.owners.get(&call.service)?;
        let owner = owners.owner(call.key_digest?)?;
        let (upstream_key, upstream) = self.upstreams.find_by_instance(&owner.instance)?;
        let reachable = upstream.current_link().is_some() && !upstream.leaving;
        let service = self.configuration.as_deref()?.service(&call.service);
        let claim = KeyClaim {
            epoch: owners.epoch(),
            run_without_log: service.is_some_and(|service| service.run_without_log),
            recall: false,
        };
        (reachable && upstream.incarnation == Some(owner.incarnation))
            .then_some((upstream_key, claim))
    }

    fn send_keyed(
        &mut self,
        now: Instant,
        key: CallKey,
        upstream: UpstreamKey,
        claim: KeyClaim,
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.claim = Some(claim);
        let call = self.calls.get(key).expect("the call was just found");
        let demand = self.router.demand(now, call);
        let (rule, candidates) = (AppliedRule::default(), Candidates::default());
        let mut line = self.decision_line(call, rule, &demand, &candidates, None);
        let chosen = ChosenUpstream {
            upstream,
            reason: RouteReason::KeyOwner,
        };
        self.send(now, key, chosen, &demand, &mut line, fx);
        fx.push(EntryEffect::Log(Box::new(line)));
    }

    /// Schedules another search for the owner, or refuses the call once the
    /// search time is over.
    pub(crate) fn await_owner(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let until = *call
            .owner_search_until
            .get_or_insert(now + OWNER_SEARCH_LIMIT);
        if until <= now {
            self.refuse_call(key, reason, Some(OWNER_RETRY_AFTER), fx);
        } else {
            let at = (now + OWNER_RETRY_DELAY).min(until);
            self.calls.set_wait(key, Some((at, WaitReason::Owner)));
        }
    }

    /// Handles a keyed call that the companion reports as not run.
    pub(crate) fn handle_keyed_not_run(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        let claim = self.calls.get(key).and_then(|call| call.claim);
        if claim.is_some_and(|claim| claim.recall) {
            self.refuse_as_unknown(key, UnknownReason::FormerOwner, fx);
            return;
        }
        match reason {
            NotRunReason::NotOwner | NotRunReason::Leaving => {
                self.await_owner(now, key, reason, fx);
            }
            NotRunReason::KeyReused => self.refuse_call(key, reason, None, fx),
            _ => self.refuse_call(key, reason, Some(OWNER_RETRY_AFTER), fx),
        }
    }

    /// Asks a former owner of a call's key for its stored answer.
    pub(crate) fn ask_former_owner(
        &mut self,
        now: Instant,
        link: LinkKey,
        (stream, instance): (StreamId, &InstanceId),
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(key) = self.find_call(link, stream) else {
            return;
        };
        self.end_attempt(key, CallResult::Neutral);
        let Some(claim) = self.calls.get(key).and_then(|call| call.claim) else {
            return;
        };
        let former = self.upstreams.find_by_instance(instance);
        let former = former.filter(|(_, upstream)| upstream.current_link().is_some());
        match former.map(|(upstream, _)| upstream) {
            Some(upstream) if !claim.recall => {
                let claim = KeyClaim {
                    recall: true,
                    ..claim
                };
                self.send_keyed(now, key, upstream, claim, fx);
            }
            _ => self.refuse_as_unknown(key, UnknownReason::FormerOwner, fx),
        }
    }

    /// Refuses a keyed call whose outcome isn't known.
    pub(crate) fn refuse_as_unknown(
        &mut self,
        key: CallKey,
        reason: UnknownReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        let refusal = Refusal {
            kind: RefusalKind::Unknown(reason),
            retry_after: Some(OWNER_RETRY_AFTER),
        };
        self.finish_call(key, AnswerPart::Refused(refusal), fx);
    }

    /// Refuses a call: as not run only if no earlier attempt may have run.
    pub(crate) fn refuse_call(
        &mut self,
        key: CallKey,
        reason: NotRunReason,
        retry_after: Option<Duration>,
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let kind = call.refusal_kind(reason);
        let refusal = Refusal { kind, retry_after };
        self.finish_call(key, AnswerPart::Refused(refusal), fx);
    }
}
