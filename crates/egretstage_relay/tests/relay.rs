//! Tests of a network of relays in virtual time: offsets that nodes hold, their
//! readiness and their control traffic.

mod support;

use egretstage_config::{CONFIGURATION_STREAM, Offset};
use egretstage_relay::{CHECKPOINT_STREAM, PEER_SETTLE_TIME};
use serde_json::json;
use std::time::Duration;
use support::{ANNOUNCE_SETTLE_TIME, Network, publish_large};

/// Limit of a node's control traffic, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: u64 = 25_000;

/// Configuration changes per day at the target size.
const CHANGES_PER_DAY: u64 = 14_000;

/// Companions linked to each entry in the test of control traffic.
const LINKS_PER_ENTRY: usize = 100;

/// Publishes the record of one service.
fn publish_service(network: &Network) {
    network.log.publish("service", "booking", 0, &json!({}));
}

#[test]
fn a_change_reaches_companions_that_do_not_read_the_log() {
    let mut network = Network::new();
    let entry = network.add(true);
    let companions: Vec<usize> = (0..5).map(|_| network.add(false)).collect();
    for companion in &companions {
        network.link(entry, *companion);
    }
    publish_service(&network);
    network.run(ANNOUNCE_SETTLE_TIME);
    for companion in companions {
        assert_eq!(network.held(companion), Offset(1));
        assert!(network.nodes[companion].ready);
    }
}

#[test]
fn without_the_log_a_new_entry_is_ready_only_with_state_from_peers() {
    let mut network = Network::new();
    let first = network.add(true);
    let companions = [network.add(false), network.add(false)];
    publish_service(&network);
    network.link(first, companions[0]);
    network.run(ANNOUNCE_SETTLE_TIME);
    network.link(first, companions[1]);
    network.log.publish("service", "lookup", 0, &json!({}));
    network.run(ANNOUNCE_SETTLE_TIME);
    network.log.faults.lock().unwrap().down = true;

    let alone = network.add(true);
    let joined = network.add(true);
    network.run(Duration::from_secs(30));
    assert!(!network.nodes[alone].ready);
    assert!(!network.nodes[joined].ready);
    for companion in companions {
        network.link(joined, companion);
    }
    network.run(PEER_SETTLE_TIME / 2);
    assert!(
        !network.nodes[joined].ready,
        "peers have time to announce their offsets"
    );
    network.run(PEER_SETTLE_TIME);
    assert!(network.nodes[joined].ready);
    assert_eq!(network.held(joined), Offset(2));
    assert!(!network.nodes[alone].ready);

    network.log.faults.lock().unwrap().down = false;
    network.run(Duration::from_secs(5));
    assert!(network.nodes[alone].ready);
}

#[test]
fn a_node_that_lacks_accepted_changes_is_not_ready() {
    let mut network = Network::new();
    network.checkpoint_interval = Duration::from_hours(100);
    for n in 0..4 {
        network
            .log
            .publish("service", &format!("s{n}"), 0, &json!({}));
    }
    network.log.expire(CONFIGURATION_STREAM, 3);
    let fresh = network.add(true);
    network.run(Duration::from_secs(20));
    assert!(!network.nodes[fresh].ready);
    let status = network.nodes[fresh].status.clone().expect("a status");
    assert_eq!(
        (status.offset, status.needed, status.complete),
        (0, 2, false)
    );
}

#[test]
fn an_entry_behind_the_log_retention_is_not_ready_until_a_peer_sends_state() {
    let mut network = Network::new();
    network.checkpoint_interval = Duration::from_hours(100);
    let behind = network.add(true);
    let current = network.add(true);
    let companion = network.add(false);
    network.link(current, companion);
    publish_service(&network);
    network.run(ANNOUNCE_SETTLE_TIME);
    assert!(network.nodes[behind].ready);
    network.nodes[behind].log_reads_fail = true;
    for n in 0..5 {
        let name = format!("s{n}");
        network.log.publish("service", &name, 0, &json!({}));
    }
    network.run(Duration::from_secs(2));
    assert!(
        network.nodes[behind].ready,
        "an outage alone leaves the entry ready"
    );
    network.log.expire(CONFIGURATION_STREAM, 5);
    network.nodes[behind].log_reads_fail = false;
    network.run(Duration::from_secs(5));
    assert!(!network.nodes[behind].ready, "the log has dropped records");
    network.link(behind, companion);
    network.run(Duration::from_secs(4));
    assert!(network.nodes[behind].ready);
    assert_eq!(network.held(behind), Offset(6));
}

#[test]
fn a_checkpoint_replaces_expired_records_and_is_written_once() {
    let mut network = Network::new();
    network.checkpoint_interval = Duration::from_secs(40);
    let entries: Vec<usize> = (0..4).map(|_| network.add(true)).collect();
    for n in 0..10 {
        network
            .log
            .publish("service", &format!("s{n}"), 0, &json!({}));
    }
    network.run(Duration::from_secs(20));
    let written = network.log.records(CHECKPOINT_STREAM);
    assert!(!written.is_empty());
    let ids: std::collections::BTreeSet<_> =
        written.iter().map(|r| r.data["id"].to_string()).collect();
    assert_eq!(ids.len(), 1, "one of four entries writes one checkpoint");

    network.log.expire(CONFIGURATION_STREAM, 9);
    network.log.publish("service", "late", 0, &json!({}));
    let fresh = network.add(true);
    network.run(Duration::from_secs(2));
    assert!(network.nodes[fresh].ready);
    assert_eq!(network.held(fresh), Offset(11));
    let digest = |node: usize| {
        let status = network.nodes[node].status.as_ref();
        status.map(|status| status.digest.clone())
    };
    assert_eq!(digest(fresh), digest(entries[0]));
}

#[test]
fn control_traffic_stays_under_the_limit_at_the_target_size() {
    let mut network = Network::new();
    network.checkpoint_interval = Duration::from_hours(100);
    publish_large(&network.log, 580);
    let objects = network.log.records(CONFIGURATION_STREAM).len() as u64;
    let entry = network.add(true);
    let other = network.add(true);
    for _ in 0..LINKS_PER_ENTRY {
        let companion = network.add(false);
        network.link(entry, companion);
        network.link(other, companion);
    }
    network.run(Duration::from_secs(5));
    let state_bytes = network.bytes.values().sum::<u64>() / LINKS_PER_ENTRY as u64;
    println!("{objects} objects: {state_bytes} bytes to bring one fresh companion up");

    network.bytes.clear();
    let seconds = 60;
    let changes = seconds * CHANGES_PER_DAY / 86_400;
    for n in 0..changes {
        let body = json!({"token_digests": [format!("{n:064x}")], "weight": 2.0});
        network
            .log
            .publish("organisation", &format!("new-{n}"), 0, &body);
        network.run(Duration::from_secs(seconds / changes));
    }
    let last = Offset(objects + changes);
    for node in 0..network.nodes.len() {
        assert_eq!(network.held(node), last);
    }
    let entry_bytes = network.bytes_of(entry).max(network.bytes_of(other));
    let companion_bytes = network.bytes_of(2);
    println!(
        "{changes} changes in {seconds} s: entry with {LINKS_PER_ENTRY} links {} B/s, companion {} B/s, \
         {} bytes a change and link at the entry",
        entry_bytes / seconds,
        companion_bytes / seconds,
        entry_bytes / changes / LINKS_PER_ENTRY as u64,
    );
    assert!(entry_bytes / seconds < MAX_CONTROL_BYTES_PER_S);
    assert!(companion_bytes / seconds < MAX_CONTROL_BYTES_PER_S);
}

#[test]
fn offsets_never_decrease_when_readers_and_peers_are_stale() {
    let mut network = Network::new();
    let entry = network.add(true);
    let companion = network.add(false);
    let stale = network.add(false);
    network.link(entry, companion);
    publish_service(&network);
    network.run(ANNOUNCE_SETTLE_TIME);
    network.link(entry, stale);
    for n in 0..20 {
        network
            .log
            .publish("service", &format!("s{n}"), 0, &json!({}));
        network.run(Duration::from_millis(50));
    }
    let late = network.add(true);
    network.link(late, stale);
    network.link(late, companion);
    network.run(Duration::from_secs(3));
    for node in &network.nodes {
        assert!(node.offsets.is_sorted(), "{:?}", node.offsets);
        assert_eq!(node.offsets.last(), Some(&Offset(21)));
    }
}
