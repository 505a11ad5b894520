//! Tests of the decisions on which callers an entry turns away, in virtual time.

use egretstage_caller_io::{
    AnswerGrowth, AnswerKey, BODY_PATIENCE, BodyKey, CallerAccount, CallerLimits, ConnectionKey,
    Growth, Opening, longest_body_time,
};
use std::time::{Duration, Instant};

/// Size of a large body, in bytes.
const LARGE: usize = 1024 * 1024;

/// Room for four large bodies, of which one's is kept for small ones.
const BODY_BYTES: usize = 4 * LARGE;

/// Size of an ordinary caller's body, in bytes.
const SMALL: usize = 3_000;

const CONNECTIONS: usize = 8;

fn account() -> CallerAccount {
    CallerAccount::new(CallerLimits {
        connections: CONNECTIONS,
        body_bytes: BODY_BYTES,
        answer_bytes: BODY_BYTES,
    })
}

fn accepted(opening: Opening) -> (ConnectionKey, Option<ConnectionKey>) {
    match opening {
        Opening::Accepted {
            connection,
            given_up,
        } => (connection, given_up),
        Opening::Refused => panic!("refused"),
    }
}

fn open(account: &mut CallerAccount, now: Instant) -> ConnectionKey {
    let (connection, given_up) = accepted(account.open(now));
    assert_eq!(given_up, None);
    connection
}

fn begin_on(account: &mut CallerAccount, now: Instant, connection: ConnectionKey) -> BodyKey {
    let body = account.begin(now, connection);
    body.expect("the connection isn't given up")
}

/// Opens a connection with a body, of which `bytes` have arrived.
fn begin(account: &mut CallerAccount, now: Instant, bytes: usize) -> (ConnectionKey, BodyKey) {
    let connection = open(account, now);
    let body = begin_on(account, now, connection);
    assert_eq!(account.grow(now, body, bytes), granted(&[]));
    account.receive(now, body, bytes);
    (connection, body)
}

fn granted(given_up: &[BodyKey]) -> Growth {
    Growth::Granted {
        given_up: given_up.to_vec(),
    }
}

fn after(now: Instant, millis: u64) -> Instant {
    now + Duration::from_millis(millis)
}

/// Report: bodies that stop just short of their end and stay open fill the memory.
#[test]
fn bodies_that_stopped_give_way_the_longest_first() {
    let (mut account, now) = (account(), Instant::now());
    let [(_, first), (_, second), _] =
        [0, 100, 200].map(|ms| begin(&mut account, after(now, ms), LARGE));
    let late = after(now, 1_500);
    for expected in [first, second] {
        let connection = open(&mut account, late);
        let body = begin_on(&mut account, late, connection);
        assert_eq!(account.grow(late, body, LARGE), granted(&[expected]));
        assert_eq!(account.body_bytes(), 3 * LARGE);
    }
}

/// A large body takes no room from others that go on.
#[test]
fn the_newest_large_body_is_refused_while_all_go_on() {
    let (mut account, now) = (account(), Instant::now());
    for _ in 0..3 {
        begin(&mut account, now, LARGE);
    }
    let connection = open(&mut account, now);
    let body = begin_on(&mut account, now, connection);
    assert_eq!(account.grow(now, body, LARGE), Growth::Refused);
    assert_eq!(account.body_bytes(), 3 * LARGE);
}

/// Large bodies that go on leave room for ordinary callers.
#[test]
fn room_is_kept_for_small_bodies() {
    let (mut account, now) = (account(), Instant::now());
    for _ in 0..4 {
        let connection = open(&mut account, now);
        let body = begin_on(&mut account, now, connection);
        // The last one is refused and stays without room.
        account.grow(now, body, LARGE);
        account.complete(body, 0);
    }
    for _ in 4..CONNECTIONS {
        begin(&mut account, now, SMALL);
    }
}

/// When small bodies have filled their room, too, the largest unfinished one gives way.
#[test]
fn the_largest_unfinished_body_gives_way_to_a_small_one() {
    let limits = CallerLimits {
        connections: CONNECTIONS,
        body_bytes: LARGE,
        answer_bytes: LARGE,
    };
    let (mut account, now) = (CallerAccount::new(limits), Instant::now());
    let (_, largest) = begin(&mut account, now, LARGE / 2);
    let (_, larger) = begin(&mut account, now, LARGE / 4);
    let small = 60 * 1024;
    for _ in 0..4 {
        begin(&mut account, now, small);
    }
    let connection = open(&mut account, now);
    let body = begin_on(&mut account, now, connection);
    assert_eq!(account.grow(now, body, small), granted(&[largest]));
    assert!(account.complete(larger, 0), "the other one is kept");
    assert!(!account.complete(largest, 0), "it was given up");
}

/// Requests that may run are never given up.
#[test]
fn a_whole_body_is_never_given_up() {
    let (mut account, now) = (account(), Instant::now());
    for _ in 0..3 {
        let (_, body) = begin(&mut account, now, LARGE);
        assert!(account.complete(body, 0));
    }
    let late = now + 2 * BODY_PATIENCE;
    for _ in 3..CONNECTIONS {
        let connection = open(&mut account, late);
        let body = begin_on(&mut account, late, connection);
        assert_eq!(account.grow(late, body, LARGE), Growth::Refused);
        assert_eq!(account.grow(late, body, SMALL), granted(&[]));
        assert!(account.complete(body, 0));
    }
    let much_later = late + 2 * BODY_PATIENCE;
    assert_eq!(account.open(much_later), Opening::Refused);
}

/// A sender that stops is given up after a time; one that goes on slowly isn't.
#[test]
fn a_body_is_waited_for_while_it_goes_on() {
    let (mut account, now) = (account(), Instant::now());
    let [stopped, trickling, slow] = [(); 3].map(|()| begin(&mut account, now, 1).1);
    assert_eq!(account.expires(now, stopped), now + BODY_PATIENCE);
    let minute = now + Duration::from_mins(1);
    for second in 1..=60 {
        let at = now + Duration::from_secs(second);
        account.receive(at, trickling, 1);
        account.receive(at, slow, 64 * 1024);
        assert!(account.expires(at, slow) > at, "after {second} s");
    }
    assert_eq!(account.expires(minute, stopped), now + BODY_PATIENCE);
    let trickled = account.expires(minute, trickling);
    assert!(trickled < now + BODY_PATIENCE + Duration::from_secs(1));
    assert_eq!(
        longest_body_time(60 * 64 * 1024),
        BODY_PATIENCE + Duration::from_mins(1)
    );
}

/// A connection whose body has stopped is closed before silent ones, and these before those
/// that have been served.
#[test]
fn connections_are_closed_in_order_of_their_use() {
    let (mut account, now) = (account(), Instant::now());
    let (running, body) = begin(&mut account, now, SMALL);
    assert!(account.complete(body, 0));
    let (served, body) = begin(&mut account, now, SMALL);
    assert!(account.complete(body, 0));
    account.release(body);
    account.end_call(now, served);
    let silent = open(&mut account, after(now, 1));
    let (stopped, _) = begin(&mut account, after(now, 2), LARGE);
    let late = after(now, 5_000);
    let fresh = open(&mut account, late);
    for _ in 5..CONNECTIONS {
        open(&mut account, late);
    }
    for expected in [stopped, silent, served, fresh] {
        let (_, given_up) = accepted(account.open(late));
        assert_eq!(given_up, Some(expected));
        assert!(account.has_too_many_connections());
        account.close(expected);
        assert!(!account.has_too_many_connections());
    }
    account.close(running);
    assert_eq!(account.connections(), CONNECTIONS - 1);
}

/// A connection that is being closed isn't given up once more.
#[test]
fn each_connection_is_given_up_once() {
    let (mut account, now) = (account(), Instant::now());
    let opened = [(); CONNECTIONS].map(|()| open(&mut account, now));
    let given_up = [(); 3].map(|()| accepted(account.open(now)).1);
    assert_eq!(given_up, [0, 1, 2].map(|index| Some(opened[index])));
}

/// What a body doesn't use is free again, and all of it when its request has ended.
#[test]
fn room_is_freed_with_the_body() {
    let (mut account, now) = (account(), Instant::now());
    let (_, body) = begin(&mut account, now, LARGE);
    assert!(account.complete(body, LARGE - SMALL));
    assert_eq!(account.body_bytes(), SMALL);
    account.release(body);
    account.release(body);
    assert_eq!(account.body_bytes(), 0);
}

/// The bounds of a weak machine leave room for its ordinary callers, and for more than one of
/// the largest bodies.
#[test]
fn bounds_follow_from_the_machine() {
    let weak = CallerLimits::for_machine(160_000_000, 4_100);
    let kept_connections = 260;
    let largest_body = 4 * LARGE;
    assert!(weak.connections >= 2 * kept_connections, "{weak:?}");
    assert!(weak.body_bytes >= 2 * largest_body, "{weak:?}");
    let few_descriptors = CallerLimits::for_machine(512_000_000, 200);
    assert_eq!(few_descriptors.connections, 100);
    assert_eq!(CallerLimits::for_machine(0, 0).connections, 1);
}

/// Reads the answer to a request of `bytes` whole; returns its connection.
fn answer(
    account: &mut CallerAccount,
    now: Instant,
    bytes: usize,
) -> (ConnectionKey, AnswerKey, AnswerGrowth) {
    let (connection, body) = begin(account, now, 0);
    assert!(account.complete(body, 0));
    let answer = account.begin_answer(body).expect("the body is held");
    let growth = account.grow_answer(now, answer, bytes);
    account.release(body);
    (connection, answer, growth)
}

fn answers_granted(given_up: &[ConnectionKey]) -> AnswerGrowth {
    AnswerGrowth::Granted {
        given_up: given_up.to_vec(),
    }
}

/// Callers that don't read their answers give way, the longest first; those whose requests run
/// don't.
#[test]
fn unread_answers_give_way() {
    let (mut account, now) = (account(), Instant::now());
    let held = [0, 1, 2].map(|ms| answer(&mut account, after(now, ms), LARGE));
    assert!(
        held.iter()
            .all(|(.., growth)| *growth == answers_granted(&[]))
    );
    let [(running, ..), (first, ..), (second, ..)] = held;
    account.end_call(after(now, 10), first);
    account.end_call(after(now, 20), second);
    let soon = after(now, 500);
    let (_, refused, growth) = answer(&mut account, soon, LARGE);
    assert_eq!(growth, AnswerGrowth::Refused, "they may still be read");
    account.release_answer(refused);
    let late = after(now, 2_000);
    let (_, _, growth) = answer(&mut account, late, LARGE);
    assert_eq!(growth, answers_granted(&[first]));
    let (_, last, growth) = answer(&mut account, late, LARGE);
    assert_eq!(growth, answers_granted(&[second]));
    assert_eq!(account.answer_bytes(), 3 * LARGE);
    let (_, _, growth) = answer(&mut account, late, LARGE);
    assert_eq!(
        growth,
        AnswerGrowth::Refused,
        "of {running:?}, too, nothing is taken"
    );
    account.release_answer(last);
    assert_eq!(account.answer_bytes(), 2 * LARGE);
}

/// Large answers leave room for small ones.
#[test]
fn room_is_kept_for_small_answers() {
    let (mut account, now) = (account(), Instant::now());
    for _ in 0..4 {
        // The last one is refused.
        answer(&mut account, now, LARGE);
    }
    let (.., growth) = answer(&mut account, now, SMALL);
    assert_eq!(growth, answers_granted(&[]));
}

/// A connection may be given up before its task is polled: no request starts on it any more.
#[test]
fn no_request_starts_on_a_connection_that_was_given_up() {
    let (mut account, now) = (account(), Instant::now());
    let first = open(&mut account, now);
    for _ in 1..CONNECTIONS {
        open(&mut account, now);
    }
    let (newest, given_up) = accepted(account.open(now));
    assert_eq!(given_up, Some(first));
    assert_eq!(account.begin(now, first), None);
    assert!(account.begin(now, newest).is_some());
    account.close(first);
    assert_eq!(account.begin(now, first), None);
}
