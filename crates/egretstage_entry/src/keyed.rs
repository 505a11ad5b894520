//! Calls that have a key and may not be repeated: each goes to its key's
//! owner, and may go there again.

use crate::calls::Wait;
use crate::reducer::EntryReducer;
use crate::routing::{AppliedRule, Candidates};
use crate::runners::RunnerKey;
use crate::sending::Chosen;
use crate::{AnswerPart, CallKey, EntryEffect, Refusal, RefusalKind};
use egretstage_link::LinkKey;
use egretstage_once::OwnerSet;
use egretstage_routing::{CallResult, RouteReason};
use egretstage_wire::{InstanceId, KeyClaim, NotRunReason, OwnersView, StreamId, UnknownReason};
use std::time::{Duration, Instant};

/// Longest search for the owner of a key.
const OWNER_SEARCH_LIMIT: Duration = Duration::from_secs(2);

/// How long a link to an owner is kept after the last call for it.
const OWNER_LINK_IDLE: Duration = Duration::from_mins(1);

/// Pause between two looks for the owner of a key.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// When to come back if the owner of a key can't run it now.
const OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl EntryReducer {
    /// Notes the owners of a service's keys.
    pub(crate) fn owners_read(&mut self, view: OwnersView) {
        let known = self.owners.get(&view.service).map(OwnerSet::epoch);
        if known.is_none_or(|known| known < view.epoch) {
            self.owners.insert(view.service.clone(), view.into());
        }
    }

    /// Sends a call to the owner of its key, or waits for one.
    pub(crate) fn route_keyed(&mut self, now: Instant, key: CallKey, fx: &mut Vec<EntryEffect>) {
        self.keep_owner_link(now, key);
        match self.owner_of(key) {
            Some((runner, claim)) => self.send_keyed(now, key, runner, claim, fx),
            None => self.await_owner(now, key, NotRunReason::NoUpstream, fx),
        }
    }

    /// Keeps a link to the owner of a call's key, which may be outside the
    /// entry's subset of companions.
    fn keep_owner_link(&mut self, now: Instant, key: CallKey) {
        let owner = self.calls.get(key).and_then(|call| {
            let owners = self.owners.get(&call.service)?;
            Some(owners.owner(call.digest?)?.instance.clone())
        });
        if let Some(instance) = owner {
            self.runners.want(&instance, now + OWNER_LINK_IDLE);
        }
    }

    /// Returns the companion that owns a call's key and can be reached.
    fn owner_of(&self, key: CallKey) -> Option<(RunnerKey, KeyClaim)> {
        let call = self.calls.get(key)?;
        let owners = self.owners.get(&call.service)?;
        let owner = owners.owner(call.digest?)?;
        let (runner_key, runner) = self.runners.of_instance(&owner.instance)?;
        let reachable = runner.any_link().is_some() && !runner.leaving;
        let service = self.configuration.as_deref()?.service(&call.service);
        let claim = KeyClaim {
            epoch: owners.epoch(),
            run_without_log: service.is_some_and(|service| service.run_without_log),
            recall: false,
        };
        (reachable && runner.incarnation == Some(owner.incarnation)).then_some((runner_key, claim))
    }

    fn send_keyed(
        &mut self,
        now: Instant,
        key: CallKey,
        runner: RunnerKey,
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
        let chosen = Chosen {
            runner,
            reason: RouteReason::KeyOwner,
        };
        self.send(now, key, chosen, &demand, &mut line, fx);
        fx.push(EntryEffect::LogDecision(Box::new(line)));
    }

    /// Looks for the owner again a little later; gives up after a while.
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
        let until = *call.search_until.get_or_insert(now + OWNER_SEARCH_LIMIT);
        if until <= now {
            self.refuse_call(key, reason, Some(OWNER_RETRY_AFTER), fx);
        } else {
            let at = (now + OWNER_RETRY_DELAY).min(until);
            self.calls.set_wait(key, Some((at, Wait::Owner)));
        }
    }

    /// Handles a call with a key that was not run by the companion asked.
    pub(crate) fn keyed_not_run(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        let recalled = self.calls.get(key).and_then(|call| call.claim);
        if recalled.is_some_and(|claim| claim.recall) {
            self.keyed_unknown(key, UnknownReason::FormerOwner, fx);
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

    /// Asks a former owner of a call's key for the answer that it remembers.
    pub(crate) fn ask_former_owner(
        &mut self,
        now: Instant,
        link: LinkKey,
        (stream, instance): (StreamId, &InstanceId),
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(key) = self.call_on(link, stream) else {
            return;
        };
        self.release(key, CallResult::Neutral);
        let Some(claim) = self.calls.get(key).and_then(|call| call.claim) else {
            return;
        };
        let former = self.runners.of_instance(instance);
        let former = former.filter(|(_, runner)| runner.any_link().is_some());
        match former.map(|(runner, _)| runner) {
            Some(runner) if !claim.recall => {
                let claim = KeyClaim {
                    recall: true,
                    ..claim
                };
                self.send_keyed(now, key, runner, claim, fx);
            }
            _ => self.keyed_unknown(key, UnknownReason::FormerOwner, fx),
        }
    }

    /// Ends a call with a key whose outcome isn't known.
    pub(crate) fn keyed_unknown(
        &mut self,
        key: CallKey,
        reason: UnknownReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        let refusal = Refusal {
            kind: RefusalKind::Unknown(reason),
            retry_after: Some(OWNER_RETRY_AFTER),
        };
        self.finish(key, AnswerPart::Refused(refusal), fx);
    }

    /// Refuses a call; as not run only if no attempt is in doubt.
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
        let kind = call.refusal(reason);
        let refusal = Refusal { kind, retry_after };
        self.finish(key, AnswerPart::Refused(refusal), fx);
    }
}
