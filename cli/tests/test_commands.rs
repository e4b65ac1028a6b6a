//! The command line: error messages, hints and exit statuses.

use std::fs;
use std::process;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const SIDECAR: &str = env!("CARGO_BIN_EXE_bramleyshelf-sidecar");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");

/// Runs a program and returns its exit status, standard output and standard error.
fn run(program: &str, args: &[&str]) -> (i32, String, String) {
    let output = process::Command::new(program).args(args).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(output.stdout), text(output.stderr))
}

/// Writes a temporary file and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("bramleyshelf-{}-{name}", process::id()));
    fs::write(&path, text).expect("a writable directory");
    path.to_string_lossy().into_owned()
}

/// Checks a configuration and returns the exit status and standard output.
fn check(name: &str, config: &str) -> (i32, String) {
    let path = write_file(name, config);
    let (code, printed, _) = run(PROGRAM, &["check", &path]);
    let _ = fs::remove_file(path);
    (code, printed)
}

/// Returns the example configuration with a change.
fn with_change(change: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut value = serde_json::from_str(CONFIG).expect("JSON");
    change(&mut value);
    value.to_string()
}

#[test]
fn check_accepts_both_examples() {
    for config in [CONFIG, include_str!("../../examples/paddock-lane.json")] {
        let (code, printed) = check("good.json", config);
        assert_eq!(code, 0, "{printed}");
    }
}

#[test]
fn check_reports_each_kind_of_error() {
    type Change = fn(&mut serde_json::Value);
    let cases: [(&str, Change, &str); 17] = [
        ("unknown section", |v| v["extra"] = 1.into(), "/extra: unknown field"),
        ("unknown field", |v| v["limits"]["speed"] = 1.into(), "/limits/speed: unknown field"),
        (
            "wrong type",
            |v| v["services"]["encoder"]["queue"] = "many".into(),
            "/services/encoder/queue",
        ),
        ("no version", |v| v["version"] = 7.into(), "/version: version 7 is not known"),
        (
            "unknown service",
            |v| v["pipelines"]["fitting-guide"]["stages"]["rank"]["service"] = "x".into(),
            "/pipelines/fitting-guide/stages/rank/service: unknown service `x`",
        ),
        (
            "unknown dependency",
            |v| v["services"]["bookings"]["depends_on"] = serde_json::json!(["x"]),
            "unknown service `x`",
        ),
        (
            "service cycle",
            |v| v["services"]["deposits"]["depends_on"] = serde_json::json!(["bookings"]),
            "dependency cycle",
        ),
        (
            "stage cycle",
            |v| v["pipelines"]["fitting-guide"]["stages"]["embed"]["after"] = vec!["draft"].into(),
            "/after: dependency cycle",
        ),
        (
            "unknown stage",
            |v| v["pipelines"]["fitting-guide"]["stages"]["rank"]["after"] = vec!["x"].into(),
            "unknown stage `x`",
        ),
        (
            "reads a stage that it does not wait for",
            |v| v["pipelines"]["fitting-guide"]["stages"]["draft"]["after"] = serde_json::json!([]),
            "which it does not wait for",
        ),
        (
            "short deadline",
            |v| v["pipelines"]["fitting-guide"]["deadline_ms"] = 5.into(),
            "/pipelines/fitting-guide/deadline_ms: 5ms is shorter",
        ),
        ("empty pool", |v| v["services"]["encoder"]["concurrency"] = 0.into(), "empty pool"),
        (
            "empty region",
            |v| v["regions"]["west"]["domains"] = serde_json::json!([]),
            "no failure domain",
        ),
        (
            "domain in two regions",
            |v| v["regions"]["west"]["domains"] = serde_json::json!(["east-1"]),
            "duplicate id `east-1`",
        ),
        (
            "bad credential",
            |v| v["teams"]["counter"]["credential_sha256"] = "secret".into(),
            "not a SHA-256 digest",
        ),
        (
            "no list of teams",
            |v| drop(v.as_object_mut().expect("an object").remove("teams")),
            "/teams: missing",
        ),
        ("short key window", |v| v["limits"]["key_ms"] = 1.into(), "/limits/key_ms"),
    ];
    for (name, change, expected) in cases {
        let (code, printed) = check("error.json", &with_change(change));
        assert_eq!(code, 1, "{name}");
        let line = printed.lines().find(|line| line.contains(expected));
        assert!(line.is_some_and(|line| line.contains("; ")), "{name}: {printed}");
    }
}

#[test]
fn check_lists_all_errors_and_duplicates() {
    let text = with_change(|value| {
        value["services"]["encoder"]["path"] = "relative".into();
        value["limits"]["retry_share"] = 3.into();
        value["unknown"] = 1.into();
    });
    let text = text.replacen("\"limits\":", "\"limits\":{},\"limits\":", 1);
    let (code, printed) = check("many.json", &text);
    assert_eq!(code, 1);
    for part in
        ["/services/encoder/path", "/limits/retry_share", "/unknown", "/limits: duplicate id"]
    {
        assert!(printed.contains(part), "{part}: {printed}");
    }
    assert_eq!(printed.lines().count(), 4, "{printed}");
    let (code, printed) = check("broken.json", "{\"version\": 1,");
    assert!(code == 1 && printed.contains("not valid JSON at line 1"), "{printed}");
}

#[test]
fn settings_errors_are_listed_with_a_hint() {
    let path = write_file("settings.json", r#"{"instance":"a b","listne":"127.0.0.1:1"}"#);
    for (program, args) in
        [(PROGRAM, vec!["entry", "--settings", &path]), (SIDECAR, vec!["--settings", &path])]
    {
        let (code, printed, errors) = run(program, &args);
        assert_eq!(code, 1);
        assert!(printed.contains("/listne: unknown field"), "{printed}");
        assert!(printed.contains("is not a name"), "{printed}");
        assert!(errors.contains("Hint: "), "{errors}");
    }
    let (code, _, errors) = run(SIDECAR, &["--settings", "/nothing/here.json"]);
    assert!(code == 1 && errors.contains("check the path"), "{errors}");
    let (code, _, errors) = run(SIDECAR, &["--settings", &path, "--set", "listen"]);
    assert!(code == 1 && errors.contains("not of the form FIELD=VALUE"), "{errors}");
    let _ = fs::remove_file(path);
}

#[test]
fn unreachable_store_gives_a_hint() {
    let store = ["--store", "http://127.0.0.1:9"];
    for command in ["show", "status"] {
        let (code, _, errors) = run(PROGRAM, &[&[command][..], &store].concat());
        assert_eq!(code, 1);
        assert!(errors.contains("does not answer") && errors.contains("Hint: "), "{errors}");
    }
}

#[test]
fn help_names_every_command() {
    let (code, printed, _) = run(PROGRAM, &["--help"]);
    assert_eq!(code, 0);
    for command in ["apply", "check", "dev", "diff", "drain", "undrain", "entry", "show", "status"]
    {
        assert!(printed.contains(command), "{command}");
    }
}
