//! Memory and processor time of an entry's decisions, streams and upstreams.

use super::measure::{bytes_per_item, mean_micros, print_slope};
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

/// Companions on the instance list at the target's size.
const LISTED_COMPANIONS: usize = 10_000;

/// Number of calls in flight.
const CALLS_IN_FLIGHT: usize = 2_000;

/// Length of a request's body.
const BODY_BYTES: usize = 2_048;

/// Number of prompt blocks, more than the cache index of one upstream remembers.
const PREFIX_BLOCKS: u64 = 10_000;

/// Number of chunks that are timed.
const TIMED_CHUNKS: usize = 20_000;

/// An entry's reducer with its open links.
struct Entry {
    reducer: EntryReducer,
    now: Instant,
    effects: Vec<EntryEffect>,
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
            effects: Vec::new(),
            links: Vec::new(),
        }
    }

    fn handle_event(&mut self, event: EntryEvent) -> std::vec::Drain<'_, EntryEffect> {
        self.reducer.reduce(self.now, event, &mut self.effects);
        self.effects.drain(..)
    }

    /// Passes the instance list to the entry and returns the companions that it dials.
    fn list_fleet(&mut self) -> Vec<InstanceId> {
        let mut listed: Vec<_> = (0..LISTED_COMPANIONS)
            .map(fleet::listed_companion)
            .collect();
        let entry = |index: usize| {
            let mut item = fleet::listed_companion(index);
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
        self.handle_event(EntryEvent::InstancesListed(listed))
            .filter_map(dial)
            .collect()
    }

    fn open_link(&mut self, instance: InstanceId) {
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
        drop(self.handle_event(EntryEvent::LinkUp { link, hello }));
        self.receive_report(link);
    }

    fn receive_report(&mut self, link: LinkId) {
        let mut report = frames::load_report();
        report.slots = 4_096;
        let frame = Frame::Load(report);
        drop(self.handle_event(EntryEvent::Frame { link, frame }));
    }

    /// Starts a call and returns the link and the stream on which it is sent.
    fn start_call(&mut self, index: usize) -> Option<(LinkId, StreamId)> {
        let event = EntryEvent::RequestArrived(Box::new(request(index)));
        self.handle_event(event).find_map(|effect| match effect {
            EntryEffect::Send {
                link,
                frame: Frame::Start(start),
            } => Some((link, start.stream)),
            _ => None,
        })
    }

    fn receive_frame(&mut self, link: LinkId, frame: Frame) {
        drop(self.handle_event(EntryEvent::Frame { link, frame }));
    }
}

pub(crate) fn print() {
    let mut entry = Entry::new();
    let mut dials = Vec::new();
    let bytes = bytes_per_item(LISTED_COMPANIONS, || dials = entry.list_fleet());
    print_slope("runner on the list, in the entry", bytes, "B");
    print_slope(
        "links of an entry at the target's size",
        to_f64(dials.len()),
        "links",
    );
    let offset = Offset(1);
    let configuration = configuration::configuration();
    drop(entry.handle_event(EntryEvent::ConfigurationChanged {
        offset,
        configuration,
    }));
    let link_count = dials.len();
    let bytes = bytes_per_item(link_count, || {
        for instance in dials {
            entry.open_link(instance);
        }
    });
    print_slope(
        "linked runner, in the entry, without its prefixes",
        bytes,
        "B",
    );
    let mut cache = CacheIndex::default();
    let bytes = bytes_per_item(1, || {
        for block in 0..PREFIX_BLOCKS {
            cache.touch(block);
        }
    });
    print_slope("prefixes of a linked runner, all remembered", bytes, "B");
    let links = entry.links.clone();
    let time = mean_micros(links.len() * 20, |index| {
        entry.receive_report(links[index % links.len()]);
    });
    print_slope("load report, taken in", time, "µs");
    print_call_slopes(&mut entry);
}

fn print_call_slopes(entry: &mut Entry) {
    let mut sent = Vec::with_capacity(CALLS_IN_FLIGHT);
    let mut time = 0.0;
    let bytes = bytes_per_item(CALLS_IN_FLIGHT, || {
        time = mean_micros(CALLS_IN_FLIGHT, |index| {
            sent.extend(entry.start_call(index));
        });
    });
    print_slope(
        "call sent, share of calls",
        to_f64(sent.len()) / to_f64(CALLS_IN_FLIGHT) * 100.0,
        "%",
    );
    print_slope("decision, with its effects", time, "µs");
    print_slope("stream, in the entry, 2 KiB body", bytes, "B");
    let Some((link, stream)) = sent.first().copied() else {
        return;
    };
    let head = AnswerHead {
        stream,
        status: 200,
        content_type: None,
    };
    entry.receive_frame(link, Frame::Head(head));
    let time = mean_micros(TIMED_CHUNKS, |index| {
        let chunk = Chunk {
            stream,
            offset: index as u64 * 200,
            bytes: vec![b'x'; 200],
        };
        entry.receive_frame(link, Frame::Chunk(chunk));
    });
    print_slope("chunk, passed through the entry", time, "µs");
    let unfinished = &sent[1..];
    let time = mean_micros(unfinished.len(), |index| {
        let (link, stream) = unfinished[index];
        let end = StreamEnd {
            stream,
            outcome: Outcome::Completed,
            body_bytes: 0,
        };
        entry.receive_frame(link, Frame::End(end));
    });
    print_slope("end of a call, in the entry", time, "µs");
}

fn request(index: usize) -> CallRequest {
    let model = format!("model-{}", index % 5);
    let prompt_text = format!("{index:2048}");
    CallRequest {
        call: CallKey(index as u64),
        request: RequestId::try_from(&*format!("0123456789abcdef-{index}")).expect("valid"),
        token_digest: format!("{:064x}", index % 580).into(),
        target: Target::Chat {
            model: ModelName::try_from(&*model).expect("valid"),
            prompt_tokens: 512,
            max_tokens: 330,
            prompt: PrefixFingerprint::from_text(prompt_text.as_bytes()),
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

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn to_f64(n: usize) -> f64 {
    n as f64
}
