//! Measures the memory that remembered idempotency keys take: `cargo run --release
//! -p egretstage_companion --example key_memory`.

use compact_str::format_compact;
use egretstage_companion::prelude::*;
use egretstage_link::LinkId;
use egretstage_once::{KeyOwnerLimits, OwnersAction, OwnersRecord};
use egretstage_platform::{LogPage, LogRecord};
use egretstage_runtime::Reducer;
use egretstage_wire::prelude::*;
use egretstage_wire::{CallKind, CallWork, PROTOCOL_VERSION};
use std::time::{Duration, Instant};

/// Number of keys to remember.
const KEY_COUNT: usize = 50_000;

/// Sizes of the kept answers, in bytes.
const ANSWER_SIZES_BYTES: [usize; 3] = [0, 200, 2_000];

const LINK: LinkId = LinkId(1);

fn main() {
    let mut companions = Vec::with_capacity(ANSWER_SIZES_BYTES.len());
    for bytes in ANSWER_SIZES_BYTES {
        let mut companion = Companion::start();
        let before = resident_bytes();
        for number in 0..KEY_COUNT {
            companion.run_booking(number, bytes);
        }
        companion.expire_readers();
        let grown = resident_bytes().saturating_sub(before);
        println!(
            "{KEY_COUNT} keys, answers of {bytes} bytes: {} bytes a key",
            grown / KEY_COUNT
        );
        companions.push(companion);
    }
}

/// A companion that owns all keys of its service.
struct Companion {
    reducer: CompanionReducer,
    now: Instant,
    effects: Vec<CompanionEffect>,
}

impl Companion {
    fn start() -> Self {
        let now = Instant::now();
        let member = Member {
            instance: InstanceId::try_from("ledger-1").expect("valid name"),
            incarnation: Incarnation(1),
        };
        let options = KeyOptions {
            service: service(),
            member: member.clone(),
            limits: KeyOwnerLimits {
                lease: Duration::from_hours(1),
                ..KeyOwnerLimits::default()
            },
            max_answer_bytes: 64 * 1024,
            max_held_bytes: 1024 * 1024 * 1024,
        };
        let reducer = CompanionReducer::new(now, CompanionLimits { slots: 64 }).with_keys(options);
        let mut companion = Self {
            reducer,
            now,
            effects: Vec::new(),
        };
        companion.connect_and_join(member);
        companion
    }

    /// Opens a link from an entry and puts the companion's join record on the log.
    fn connect_and_join(&mut self, member: Member) {
        let hello = Box::new(Hello {
            version: PROTOCOL_VERSION,
            role: Role::Entry,
            instance: InstanceId::try_from("entry-1").expect("valid name"),
            incarnation: Incarnation(2),
            zone: ZoneName::try_from("west").expect("valid name"),
            service: None,
        });
        self.reduce(CompanionEvent::LinkUp { link: LINK, hello });
        let record = OwnersRecord {
            id: "join".into(),
            member,
            base: Epoch(0),
            settled: Epoch(0),
            action: OwnersAction::Join,
        };
        let page = Box::new(LogPage {
            first: 1,
            next: 2,
            records: vec![LogRecord {
                offset: 1,
                id: "join".into(),
                data: serde_json::to_value(record).expect("serialisable record"),
            }],
        });
        let requested_at = self.now;
        self.reduce(CompanionEvent::OwnersRead { requested_at, page });
    }

    fn reduce(&mut self, event: CompanionEvent) {
        self.effects.clear();
        self.reducer.reduce(self.now, event, &mut self.effects);
    }

    /// Runs one booking from its start frame to the end of its answer.
    fn run_booking(&mut self, number: usize, answer_bytes: usize) {
        let frame = Frame::Start(Box::new(start(number)));
        self.reduce(CompanionEvent::Frame { link: LINK, frame });
        let started = self.effects.iter().find_map(|effect| match effect {
            CompanionEffect::StartUpstream { run, .. } => Some(*run),
            _ => None,
        });
        let run = started.expect("the booking starts");
        let content_type = Some("application/json".into());
        self.reduce(CompanionEvent::UpstreamHead {
            run,
            status: 200,
            content_type,
        });
        let bytes = vec![b'x'; answer_bytes];
        self.reduce(CompanionEvent::UpstreamBytes { run, bytes });
        self.reduce(CompanionEvent::UpstreamEnded { run });
    }

    /// Advances the time past the grace period of ended streams.
    fn expire_readers(&mut self) {
        self.now += Duration::from_secs(10);
        self.effects.clear();
        self.reducer.wake(self.now, &mut self.effects);
        self.effects = Vec::new();
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("ledger").expect("valid name")
}

fn start(number: usize) -> CallStart {
    CallStart {
        stream: StreamId {
            entry: Incarnation(2),
            sequence: number as u64,
        },
        request: RequestId::try_from(format!("{number:032x}").as_str()).expect("valid name"),
        organisation: OrganisationName::try_from("river-guides").expect("valid name"),
        service: service(),
        kind: CallKind::Plain,
        key: Some(format_compact!("7c9e6679-7425-40de-944b-{number:012}")),
        repeatable: false,
        claim: Some(KeyClaim {
            epoch: Epoch(1),
            run_without_log: false,
            recall: false,
        }),
        budget_ms: 30_000,
        sent_ms: 0,
        priority: 0,
        work: CallWork::default(),
        method: "POST".into(),
        path: "/deposits".into(),
        content_type: Some("application/json".into()),
        credit: 64,
        body: vec![b'{'; 300],
    }
}

/// Returns the resident memory of this process, for pages of 4096 bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux has procfs");
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0_usize) * 4096
}
