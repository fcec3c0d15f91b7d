//! Tests of the built command: help, offline checks, errors and exit codes.

#![expect(clippy::needless_raw_string_hashes, reason = "expect-test writes its snapshots this way")]

use std::process::Command;

use expect_test::{Expect, expect};

/// Runs the command; returns its exit code, standard output and standard error as one text.
fn run(args: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_dahliaseam"))
        .args(args)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
        .env_remove("DAHLIASEAM_ADDRESS")
        .env_remove("DAHLIASEAM_TOKEN")
        .output()
        .expect("the command runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("exit {}\n{}{}", out.status.code().unwrap_or(-1), text(&out.stdout), text(&out.stderr))
}

fn expect_output(args: &[&str], expected: &Expect) {
    expected.assert_eq(&run(args));
}

fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("dahliaseam-command-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the temporary folder is writable");
    path.display().to_string()
}

#[test]
fn committed_example_files_pass_check() {
    for deployment in ["fjordkjede", "portalinea"] {
        for file in ["settings", "resources"] {
            let path = format!("deploy/{deployment}/{file}.json");
            let out = run(&["check", &path]);
            assert!(out.starts_with("exit 0"), "{out}");
        }
    }
}

#[test]
fn drain_help() {
    expect_output(
        &["drain", "--help"],
        &expect![[r#"
        exit 0
        Take an endpoint out of service and wait until no request runs there

        Usage: dahliaseam drain [--undo] [--wait-seconds=N] ENDPOINT

        Available positional items:
            ENDPOINT              Name of the endpoint

        Available options:
                --undo            Put the endpoint back into service
                --wait-seconds=N  Maximum time to wait, in seconds
            -h, --help            Prints help information

    "#]],
    );
}

#[test]
fn check_lists_all_invalid_resource_fields() {
    let path = write_temp_file(
        "resources.json",
        r#"{ "resources": [
            { "kind": "team", "name": "t", "spec": { "rate": 0 } },
            { "kind": "endpoint", "name": "e", "spec": { "pool": "p", "address": "here", "vm": "v", "hall": "h" } } ] }"#,
    );
    let out = run(&["check", &path]).replace(&path, "FILE");
    expect![[r#"
        exit 1
        dahliaseam: FILE: not valid
          endpoints.e.pool: expected the name of a pool that exists, not "p"
          endpoints.e.address: expected an IP number and a port, as in 10.0.0.1:8000
          teams.t.rate: expected requests a second above 0
    "#]]
    .assert_eq(&out);
}

#[test]
fn check_names_unknown_settings_field() {
    let path = write_temp_file("settings.json", r#"{ "vm": "a", "colour": 1 }"#);
    let out = run(&["check", &path]).replace(&path, "FILE");
    expect![[r#"
        exit 1
        dahliaseam: FILE: colour: unknown field `colour`, expected one of `vm`, `hall`, `caller_address`, `operator_address`, `peer_address`, `peer_advertise`, `kv_address`, `vm_list_address`, `keyspace`, `peer_secret`, `operator_token`, `default_kind`, `memory_mb`, `limits`, `timing`, `policy`, `loads_per_minute`, `log`, `otlp_endpoint` at line 1 column 21
    "#]].assert_eq(&out);
}

#[test]
fn unknown_kind_is_usage_error() {
    expect_output(
        &["get", "engines"],
        &expect![[r#"
        exit 2
        Error: couldn't parse `engines`: expected a kind of resource, such as pools or endpoints
    "#]],
    );
}

#[test]
fn unreachable_daemon_exits_with_unavailable() {
    let out = run(&["--address", "127.0.0.1:1", "status"]);
    assert!(out.starts_with("exit 3\ndahliaseam: the daemon does not answer: not sent"), "{out}");
}

#[test]
fn set_requires_path_and_value() {
    let mut spec = serde_json::json!({ "a": { "b": 1 }, "c": 2 });
    dahliaseam::patch::set(&mut spec, "a.b=[3]").expect("existing field is set");
    dahliaseam::patch::set(&mut spec, "d.e=words").expect("missing object is created");
    assert_eq!(spec, serde_json::json!({ "a": { "b": [3] }, "c": 2, "d": { "e": "words" } }));
    assert!(dahliaseam::patch::set(&mut spec, "c").is_err());
    assert!(dahliaseam::patch::set(&mut spec, "c.x=1").is_err());
}

#[test]
fn streams_are_summarized_by_replica() {
    let log_line = |replica: &str, outcome: &str, beside: u32, events: u64, interval_us: u64| {
        format!(
            r#"12.1 entry-1 {{"event":"ROUTED_OVER","request":"r","outcome":"{outcome}","replica":"{replica}","beside":{beside},"events":{events},"interval_us":{interval_us}}}"#
        )
    };
    let lines = [
        log_line("i-slow", "answered", 3, 40, 57_000),
        log_line("i-slow", "timed_out", 76, 176, 81_000),
        log_line("i-slow", "timed_out", 70, 180, 83_000),
        log_line("i-usual", "answered", 30, 214, 54_000),
        "12.2 entry-1 a line of something else".to_owned(),
        r#"12.3 entry-1 {"event":"ROUTED_OVER","request":"plain","outcome":"answered"}"#.to_owned(),
    ];
    let log = write_temp_file("streams.log", &lines.join("\n"));
    expect_output(
        &["streams", "--log", &log],
        &expect![[r#"
        exit 0
        REPLICA              STREAMS UNFINISHED EVENTS   MS@0  MS@20  MS@40  MS@60  MS@80
        i-slow                     3          2    180     57      -      -     83      -
        i-usual                    1          0    214      -     54      -      -      -
    "#]],
    );
    let empty = run(&["streams", "--log", &write_temp_file("no-streams.log", "")]);
    assert!(empty.starts_with("exit 3") && empty.contains("reports the end of a stream"), "{empty}");
}
