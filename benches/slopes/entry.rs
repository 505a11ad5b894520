//! Decisions, streams and runners of an entry.

use super::measure::{bytes_each, micros, row};
use super::{configuration, fleet, frames};
use egretstage_config::Offset;
use egretstage_entry::{
    CallKey, CallRequest, EntryEffect, EntryEvent, EntryLimits, EntryReducer, Target,
};
use egretstage_link::LinkId;
use egretstage_routing::{
    CacheIndex, PredictedFirstToken, PredictedFirstTokenParams, PrefixFingerprint,
};
use egretstage_runtime::Reducer;
use egretstage_wire::{
    AnswerHead, Chunk, Frame, Hello, Incarnation, InstanceId, ModelName, Outcome, PROTOCOL_VERSION,
    RequestId, Role, StreamEnd, StreamId, ZoneName,
};
use std::time::{Duration, Instant};

/// Runners at the target's size.
const LISTED: usize = 10_000;

/// Calls in flight.
const CALLS: usize = 2_000;

/// Bytes of a request's body.
const BODY_BYTES: usize = 2_048;

/// Prompt blocks, more than an index of one runner's prefixes remembers.
const PREFIX_BLOCKS: u64 = 10_000;

/// Chunks that are timed.
const CHUNKS: usize = 20_000;

struct Entry {
    reducer: EntryReducer,
    now: Instant,
    fx: Vec<EntryEffect>,
    links: Vec<LinkId>,
}

impl Entry {
    fn new() -> Self {
        let now = Instant::now();
        let policy = Box::new(PredictedFirstToken::new(
            PredictedFirstTokenParams::default(),
            1,
        ));
        let zone = ZoneName::try_from("region-0-0").expect("valid");
        let limits = EntryLimits::default();
        Self {
            reducer: EntryReducer::new(now, zone, Incarnation(1), limits, policy),
            now,
            fx: Vec::new(),
            links: Vec::new(),
        }
    }

    fn event(&mut self, event: EntryEvent) -> std::vec::Drain<'_, EntryEffect> {
        self.reducer.reduce(self.now, event, &mut self.fx);
        self.fx.drain(..)
    }

    /// Lists the fleet and returns the runners to dial.
    fn list(&mut self) -> Vec<InstanceId> {
        let mut listed: Vec<_> = (0..LISTED).map(fleet::runner).collect();
        let entry = |index: usize| {
            let mut item = fleet::runner(index);
            let name = format!("entry-{index}");
            item.instance = InstanceId::try_from(&*name).expect("valid");
            item.role = Role::Entry;
            item.service = None;
            item
        };
        listed.extend((0..1_500).map(entry));
        let dial = |effect| match effect {
            EntryEffect::Dial { instance, .. } => Some(instance),
            _ => None,
        };
        self.event(EntryEvent::InstancesListed(listed))
            .filter_map(dial)
            .collect()
    }

    fn link(&mut self, instance: InstanceId) {
        let link = LinkId(self.links.len() as u64);
        self.links.push(link);
        let hello = Box::new(Hello {
            version: PROTOCOL_VERSION,
            role: Role::Companion,
            instance,
            incarnation: Incarnation(2),
            zone: ZoneName::try_from("region-0-0").expect("valid"),
            service: None,
        });
        drop(self.event(EntryEvent::LinkUp { link, hello }));
        self.report(link);
    }

    fn report(&mut self, link: LinkId) {
        let mut report = frames::report();
        report.slots = 4_096;
        let frame = Frame::Load(report);
        drop(self.event(EntryEvent::Frame { link, frame }));
    }

    /// Returns the link and the stream on which a call is sent.
    fn call(&mut self, index: usize) -> Option<(LinkId, StreamId)> {
        let event = EntryEvent::RequestArrived(Box::new(request(index)));
        self.event(event).find_map(|effect| match effect {
            EntryEffect::Send {
                link,
                frame: Frame::Start(start),
            } => Some((link, start.stream)),
            _ => None,
        })
    }

    fn frame(&mut self, link: LinkId, frame: Frame) {
        drop(self.event(EntryEvent::Frame { link, frame }));
    }
}

pub(crate) fn print() {
    let mut entry = Entry::new();
    let mut dials = Vec::new();
    let listed = bytes_each(LISTED, || dials = entry.list());
    row("runner on the list, in the entry", listed, "B");
    row(
        "links of an entry at the target's size",
        count(dials.len()),
        "links",
    );
    let offset = Offset(1);
    let configuration = configuration::configuration();
    drop(entry.event(EntryEvent::ConfigurationChanged {
        offset,
        configuration,
    }));
    let linked = dials.len();
    let bytes = bytes_each(linked, || {
        for instance in dials {
            entry.link(instance);
        }
    });
    row(
        "linked runner, in the entry, without its prefixes",
        bytes,
        "B",
    );
    let mut cache = CacheIndex::default();
    let bytes = bytes_each(1, || {
        for block in 0..PREFIX_BLOCKS {
            cache.touch(block);
        }
    });
    row("prefixes of a linked runner, all remembered", bytes, "B");
    let links = entry.links.clone();
    let time = micros(links.len() * 20, |index| {
        entry.report(links[index % links.len()]);
    });
    row("load report, taken in", time, "µs");
    calls(&mut entry);
}

fn calls(entry: &mut Entry) {
    let mut sent = Vec::with_capacity(CALLS);
    let mut time = 0.0;
    let bytes = bytes_each(CALLS, || {
        time = micros(CALLS, |index| sent.extend(entry.call(index)));
    });
    row(
        "call sent, share of calls",
        count(sent.len()) / count(CALLS) * 100.0,
        "%",
    );
    row("decision, with its effects", time, "µs");
    row("stream, in the entry, 2 KiB body", bytes, "B");
    let Some((link, stream)) = sent.first().copied() else {
        return;
    };
    let head = AnswerHead {
        stream,
        status: 200,
        content_type: None,
    };
    entry.frame(link, Frame::Head(head));
    let time = micros(CHUNKS, |index| {
        let chunk = Chunk {
            stream,
            offset: index as u64 * 200,
            bytes: vec![b'x'; 200],
        };
        entry.frame(link, Frame::Chunk(chunk));
    });
    row("chunk, passed through the entry", time, "µs");
    let rest = &sent[1..];
    let time = micros(rest.len(), |index| {
        let (link, stream) = rest[index];
        let end = StreamEnd {
            stream,
            outcome: Outcome::Completed,
            body_bytes: 0,
        };
        entry.frame(link, Frame::End(end));
    });
    row("end of a call, in the entry", time, "µs");
}

fn request(index: usize) -> CallRequest {
    let model = format!("model-{}", index % 5);
    let text = format!("{index:2048}");
    CallRequest {
        call: CallKey(index as u64),
        request: RequestId::try_from(&*format!("0123456789abcdef-{index}")).expect("valid"),
        token_digest: format!("{:064x}", index % 580).into(),
        target: Target::Chat {
            model: ModelName::try_from(&*model).expect("valid"),
            prompt_tokens: 512,
            max_tokens: 330,
            prompt: PrefixFingerprint::from_text(text.as_bytes()),
        },
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: Some("application/json".into()),
        key: None,
        priority: None,
        budget: Duration::from_mins(1),
        body: vec![b'x'; BODY_BYTES],
    }
}

#[expect(clippy::cast_precision_loss, reason = "a bench counts little")]
fn count(n: usize) -> f64 {
    n as f64
}
