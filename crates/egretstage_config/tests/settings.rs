//! Errors in settings files name the file, the line, the key and what is
//! allowed.

use egretstage_config::settings::{CompanionSettings, EntrySettings, parse};

const ENTRY: &str = r#"[process]
instance = "entry-1"
zone = "west"
admin_listen = "127.0.0.1:9001"
log_url = "http://127.0.0.1:9002"
list_url = "http://127.0.0.1:9003"
link_key = "key"
[callers]
listen = "127.0.0.1:9000"
"#;

fn error(text: &str) -> String {
    parse::<EntrySettings>("entry.toml", text)
        .unwrap_err()
        .to_string()
}

#[test]
fn complete_settings_are_accepted() {
    let settings: EntrySettings = parse("entry.toml", ENTRY).unwrap();
    assert_eq!(settings.callers.max_connections, 4096);
    assert_eq!(settings.configuration.checkpoint_interval().as_secs(), 3600);
}

#[test]
fn each_error_names_its_location_and_what_is_allowed() {
    let cases = [
        (
            "max_connections = 0",
            "entry.toml:10: callers.max_connections: 0 is not allowed, allowed are 1 to 1000000",
        ),
        (
            "max_body_bytes = -4",
            "entry.toml:10: callers.max_body_bytes: -4 is not allowed",
        ),
        (
            "max_budget_ms = 99999999999",
            "callers.max_budget_ms: 99999999999 is not allowed, allowed are 1 to 86400000",
        ),
        (
            "default_budget_ms = 130000",
            "entry.toml:10: callers.default_budget_ms: 130000 is not allowed, allowed are 1 to max_budget_ms, which is 120000",
        ),
        (
            "max_body_bytes = 3000\nmax_all_bodies_bytes = 3998",
            "entry.toml:11: callers.max_all_bodies_bytes: 3998 is not allowed, allowed is 3999 or more, so that three quarters hold a body of max_body_bytes, which is 3000",
        ),
        (
            "max_all_bodies_bytes = 1048576",
            "entry.toml:10: callers.max_all_bodies_bytes: 1048576 is not allowed, allowed is 1398101 or more",
        ),
        ("max_conections = 5", "did you mean `max_connections`?"),
        (
            "[configuration]\ncheckpoint_interval_s = 0",
            "entry.toml:11: configuration.checkpoint_interval_s: 0 is not allowed, allowed are 1 to 604800",
        ),
    ];
    for (line, expected) in cases {
        let error = error(&format!("{ENTRY}{line}\n"));
        assert!(error.contains(expected), "{error:?} lacks {expected:?}");
    }
}

#[test]
fn room_for_one_body_of_the_largest_size_is_enough() {
    let text = format!("{ENTRY}max_body_bytes = 3000\nmax_all_bodies_bytes = 3999\n");
    let settings: EntrySettings = parse("entry.toml", &text).unwrap();
    assert_eq!(settings.callers.max_all_bodies_bytes, 3999);
}

#[test]
fn each_value_is_checked() {
    let cases = [
        (
            "127.0.0.1:9000",
            "127.0.0.1:0",
            "entry.toml:9: callers.listen: port 0 is not allowed, allowed are 1 to 65535",
        ),
        (
            "http://127.0.0.1:9002",
            "ftp://x",
            "process.log_url: \"ftp://x\" is not allowed, allowed are http:// and https:// URLs",
        ),
        ("west", "We st", "entry.toml:3: process.zone: "),
        (
            "\"key\"",
            "\"\"",
            "process.link_key: an empty key is not allowed",
        ),
        ("zone = \"west\"\n", "", "missing field `zone`"),
    ];
    for (from, to, expected) in cases {
        let error = error(&ENTRY.replace(from, to));
        assert!(error.contains(expected), "{error:?} lacks {expected:?}");
    }
}

#[test]
fn a_companion_checks_its_upstream() {
    let process = ENTRY.split("[callers]").next().unwrap();
    let text = format!(
        "listen = \"127.0.0.1:9000\"\n{process}[upstream]\nservice = \"booking\"\nkind = \"plain\"\naddress = \"127.0.0.1:80\"\n"
    );
    assert!(parse::<CompanionSettings>("c.toml", &text).is_ok());
    let wrong = format!("{text}slots = 0\n");
    let error = parse::<CompanionSettings>("c.toml", &wrong)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("c.toml:13: upstream.slots: 0 is not allowed, allowed are 1 to 65536"),
        "{error}"
    );
    let wrong = text.replace("\"plain\"", "\"plian\"");
    let error = parse::<CompanionSettings>("c.toml", &wrong)
        .unwrap_err()
        .to_string();
    assert!(error.contains("did you mean `plain`?"), "{error}");
}
