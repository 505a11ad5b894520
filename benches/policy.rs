//! Measures the product's routing policy and its baselines in virtual time.
//!
//! Every run gives the same results: all policies use the same seeds, and no wall
//! clock is read. Names after `--` select parts: `drafting`, `booking`, `target`,
//! `reports`, `cache`, `faults`, `storm`, and `own` for the product's own policy
//! alone.

use egretstage_standins::queueing::{
    Fault, Mechanisms, OUTAGE, PolicyKind, RunMetrics, Scenario, Site, booking_site, drafting_site,
    simulate, target_site,
};
use std::time::Duration;

/// The seed of every run.
const SEED: u64 = 7;

/// Time at which the fault starts in runs with a fault.
const FAULT_AT: Duration = Duration::from_secs(30);

/// Offered loads, relative to the capacity.
const RELATIVE_LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    let is_selected = |part: &str| selected.is_empty() || selected.iter().any(|name| name == part);
    let sites = [drafting_site(), booking_site(), target_site()];
    for site in sites.iter().filter(|site| is_selected(site.name)) {
        for load in RELATIVE_LOADS {
            let title = format!("{}: load {load}", site.name);
            print_table(&title, &Scenario::steady(site.clone(), load, SEED));
        }
    }
    if is_selected("reports") {
        print_report_delays(&sites[0]);
        print_report_delays(&sites[2]);
    }
    if is_selected("cache") {
        print_cache_event_loss(&sites[0]);
        print_cache_event_loss(&sites[2]);
    }
    if is_selected("faults") {
        print_faults(&sites[0]);
        print_faults(&sites[1]);
    }
    if is_selected("storm") {
        print_retry_storm(&sites[0]);
    }
}

fn compared_mechanisms() -> Vec<Mechanisms> {
    vec![
        Mechanisms::without_limits(PolicyKind::RoundRobin),
        Mechanisms::without_limits(PolicyKind::Random),
        Mechanisms::without_limits(PolicyKind::LeastLoaded),
        Mechanisms::without_limits(PolicyKind::PowerOfTwo),
        Mechanisms::with_limits(PolicyKind::RoundRobin),
        Mechanisms::with_limits(PolicyKind::LeastLoaded),
        Mechanisms::with_limits(PolicyKind::PowerOfTwo),
        Mechanisms::product(),
    ]
}

fn print_table(title: &str, scenario: &Scenario) {
    println!("\n{title}");
    println!(
        "  {:<22} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>8} {:>6} {:>7} {:>7} {:>6} {:>6}",
        "policy",
        "on time",
        "small",
        "refused",
        "p50",
        "p95",
        "p99",
        "goodput",
        "hits",
        "wasted",
        "sends",
        "zone",
        "lost"
    );
    for mechanisms in compared_mechanisms() {
        if mechanisms.policy != PolicyKind::Predicted && std::env::args().any(|arg| arg == "own") {
            continue;
        }
        let metrics = simulate(scenario, mechanisms);
        print_row(&mechanisms.name(), &metrics);
    }
}

fn print_row(name: &str, metrics: &RunMetrics) {
    let first_token_ms = |percent| metrics.first_token_percentile(percent).as_millis();
    println!(
        "  {:<22} {:>6.2}% {:>6.2}% {:>6.2}% {:>6} {:>6} {:>6} {:>8.0} {:>5.1}% {:>6.2}% {:>7.3} {:>5.1}% {:>6}",
        name,
        100.0 * metrics.on_time_share(),
        100.0 * metrics.small_on_time_share(),
        100.0 * metrics.refused_share(),
        first_token_ms(50),
        first_token_ms(95),
        first_token_ms(99),
        metrics.goodput(),
        100.0 * metrics.prefix_hit_share(),
        100.0 * metrics.wasted_token_share(),
        metrics.sends_per_admitted(),
        100.0 * metrics.same_zone_share(),
        metrics.lost(),
    );
}

fn print_report_delays(site: &Site) {
    for delay in [100, 1000, 5000] {
        let scenario = Scenario {
            report_delay: Duration::from_millis(delay),
            ..Scenario::steady(site.clone(), 0.9, SEED)
        };
        let title = format!("{}: load 0.9, reports {delay} ms late", site.name);
        print_table(&title, &scenario);
    }
}

fn print_cache_event_loss(site: &Site) {
    println!(
        "\n{}: load 0.9, own policy, cache events late and lost",
        site.name
    );
    for (delay, loss) in [(500, 0.0), (500, 0.3), (5000, 0.3), (500, 1.0)] {
        let scenario = Scenario {
            cache_delay: Duration::from_millis(delay),
            cache_loss: loss,
            ..Scenario::steady(site.clone(), 0.9, SEED)
        };
        let name = format!("{delay} ms, {:.0}% lost", 100.0 * loss);
        print_row(&name, &simulate(&scenario, Mechanisms::product()));
    }
}

fn print_faults(site: &Site) {
    let cases = [
        (
            "one upstream 10 times slower",
            Fault::SlowUpstream {
                upstream: 1,
                factor: 10.0,
            },
        ),
        ("an upstream fails", Fault::UpstreamFailure { upstream: 1 }),
        ("a zone fails", Fault::ZoneOutage { zone: 1 }),
    ];
    for (name, fault) in cases {
        let scenario = Scenario::steady(site.clone(), 0.6, SEED).with_fault(FAULT_AT, fault);
        print_table(
            &format!("{}: load 0.6, {name} after 30 s", site.name),
            &scenario,
        );
    }
}

fn print_retry_storm(site: &Site) {
    let outage_end = FAULT_AT + OUTAGE;
    let scenario = Scenario::steady(site.clone(), 0.8, SEED).with_outage(FAULT_AT);
    println!(
        "\n{}: load 0.8, 10 s outage, callers retry up to 8 times",
        site.name
    );
    for mechanisms in compared_mechanisms() {
        let metrics = simulate(&scenario, mechanisms);
        let on_time_before =
            metrics.on_time_share_between(Duration::from_secs(15), Duration::from_secs(25));
        let answers_per_second =
            metrics.on_time_per_second_between(Duration::from_secs(15), Duration::from_secs(25));
        let throughput = metrics.throughput_recovery_time(outage_end, 0.8 * answers_per_second);
        let throughput = throughput.map_or("-".to_owned(), |t| format!("{} s", t.as_secs()));
        let recovery = metrics.recovery_time(outage_end, 0.95 * on_time_before);
        let recovery = recovery.map_or("not within the run".to_owned(), |r| {
            format!("{} s", r.as_secs())
        });
        println!(
            "  {:<22} on time before {:>6.2}%, 5 s after {:>6.2}%, calls offered {:>6}, recovered after {recovery}, answers per second recovered after {throughput}",
            mechanisms.name(),
            100.0 * on_time_before,
            100.0 * metrics.on_time_share_between(outage_end, outage_end + Duration::from_secs(5)),
            metrics.offered(),
        );
    }
}
