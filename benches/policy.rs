//! Measures every routing policy against its baselines in virtual time.
//!
//! All figures repeat exactly: the same seeds for every policy, no wall clock.
//! Names after `--` choose parts: `drafting`, `booking`, `target`, `reports`,
//! `cache`, `faults`, `storm`, and `own` for the product's own policy alone.

use egretstage_standins::queueing::{
    Fault, Mechanisms, OUTAGE, PolicyKind, RunMetrics, Scenario, Site, booking_site, drafting_site,
    simulate, target_site,
};
use std::time::Duration;

/// The seed of every run.
const SEED: u64 = 7;

/// Time of the fault in runs with one.
const FAULT_AT: Duration = Duration::from_secs(30);

/// Loads relative to the capacity.
const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

fn main() {
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    let wants = |part: &str| wanted.is_empty() || wanted.iter().any(|w| w == part);
    let sites = [drafting_site(), booking_site(), target_site()];
    for site in sites.iter().filter(|site| wants(site.name)) {
        for load in LOADS {
            let title = format!("{}: load {load}", site.name);
            table(&title, &Scenario::steady(site.clone(), load, SEED));
        }
    }
    if wants("reports") {
        reports(&sites[0]);
        reports(&sites[2]);
    }
    if wants("cache") {
        cache_events(&sites[0]);
        cache_events(&sites[2]);
    }
    if wants("faults") {
        faults(&sites[0]);
        faults(&sites[1]);
    }
    if wants("storm") {
        storm(&sites[0]);
    }
}

fn contenders() -> Vec<Mechanisms> {
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

fn table(title: &str, scenario: &Scenario) {
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
    for mechanisms in contenders() {
        if mechanisms.policy != PolicyKind::Predicted && std::env::args().any(|arg| arg == "own") {
            continue;
        }
        let figures = simulate(scenario, mechanisms);
        row(&mechanisms.name(), &figures);
    }
}

fn row(name: &str, figures: &RunMetrics) {
    let ms = |percent| figures.first_token_percentile(percent).as_millis();
    println!(
        "  {:<22} {:>6.2}% {:>6.2}% {:>6.2}% {:>6} {:>6} {:>6} {:>8.0} {:>5.1}% {:>6.2}% {:>7.3} {:>5.1}% {:>6}",
        name,
        100.0 * figures.on_time_share(),
        100.0 * figures.small_on_time_share(),
        100.0 * figures.refused_share(),
        ms(50),
        ms(95),
        ms(99),
        figures.goodput(),
        100.0 * figures.prefix_hit_share(),
        100.0 * figures.wasted_token_share(),
        figures.sends_per_admitted(),
        100.0 * figures.same_zone_share(),
        figures.lost(),
    );
}

fn reports(site: &Site) {
    for delay in [100, 1000, 5000] {
        let scenario = Scenario {
            report_delay: Duration::from_millis(delay),
            ..Scenario::steady(site.clone(), 0.9, SEED)
        };
        let title = format!("{}: load 0.9, reports {delay} ms late", site.name);
        table(&title, &scenario);
    }
}

fn cache_events(site: &Site) {
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
        row(&name, &simulate(&scenario, Mechanisms::product()));
    }
}

fn faults(site: &Site) {
    let cases = [
        (
            "one runner 10 times slower",
            Fault::SlowUpstream {
                upstream: 1,
                factor: 10.0,
            },
        ),
        ("a runner dies", Fault::UpstreamFailure { upstream: 1 }),
        ("a zone is lost", Fault::ZoneOutage { zone: 1 }),
    ];
    for (name, fault) in cases {
        let scenario = Scenario::steady(site.clone(), 0.6, SEED).with_fault(FAULT_AT, fault);
        table(
            &format!("{}: load 0.6, {name} after 30 s", site.name),
            &scenario,
        );
    }
}

fn storm(site: &Site) {
    let end = FAULT_AT + OUTAGE;
    let scenario = Scenario::steady(site.clone(), 0.8, SEED).with_outage(FAULT_AT);
    println!(
        "\n{}: load 0.8, 10 s outage, callers ask again up to 8 times",
        site.name
    );
    for mechanisms in contenders() {
        let figures = simulate(&scenario, mechanisms);
        let before =
            figures.on_time_share_between(Duration::from_secs(15), Duration::from_secs(25));
        let answers =
            figures.on_time_per_second_between(Duration::from_secs(15), Duration::from_secs(25));
        let throughput = figures.throughput_recovery_time(end, 0.8 * answers);
        let throughput = throughput.map_or("-".to_owned(), |t| format!("{} s", t.as_secs()));
        let recovery = figures.recovery_time(end, 0.95 * before);
        let recovery = recovery.map_or("not within the run".to_owned(), |r| {
            format!("{} s", r.as_secs())
        });
        println!(
            "  {:<22} on time before {:>6.2}%, 5 s after {:>6.2}%, asks {:>6}, back after {recovery}, answers a second back after {throughput}",
            mechanisms.name(),
            100.0 * before,
            100.0 * figures.on_time_share_between(end, end + Duration::from_secs(5)),
            figures.offered(),
        );
    }
}
