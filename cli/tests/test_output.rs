//! Commands whose output goes nowhere: a pipe that its reader has closed, and a full disk.

use std::fs;
use std::io;
use std::process;

use bramleyshelf_testutils::{cluster, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const TEXT: &str = include_str!("../../examples/takbaerer.json");

/// Runs a command with this standard output; returns its exit status and its standard error.
async fn run(words: Vec<String>, stdout: impl Into<process::Stdio>) -> (Option<i32>, String) {
    let mut command = process::Command::new(PROGRAM);
    command.args(words).stdout(stdout).stderr(process::Stdio::piped());
    let run = move || command.output().expect("it runs");
    let output = tokio::task::spawn_blocking(run).await.expect("no panic");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

fn closed_pipe() -> io::PipeWriter {
    let (reader, writer) = io::pipe().expect("a pipe");
    drop(reader);
    writer
}

fn full_disk() -> fs::File {
    fs::OpenOptions::new().write(true).open("/dev/full").expect("a device that is always full")
}

#[tokio::test]
async fn output_to_nowhere() {
    let shape = cluster::Options { upstreams: 3, ..cluster::Options::default() };
    let text = soak::shorten_leases(TEXT);
    let system = cluster::Cluster::start(PROGRAM, "output", &text, shape).await;
    let path = system.directory.join("text.json");
    let mut changed: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    changed["limits"]["requests"] = 2_001.into();
    fs::write(&path, changed.to_string()).expect("a writable directory");
    let path = path.to_string_lossy().into_owned();
    let commands: [&[&str]; 9] = [
        &["status"],
        &["status", "--json"],
        &["show"],
        &["show", "--json"],
        &["diff", &path],
        &["diff", "--json", &path],
        &["apply", "--wait", &path],
        &["drain", "bookings-0", "--wait"],
        &["undrain", "bookings-0", "--wait"],
    ];
    for command in commands {
        let mut words: Vec<String> = command.iter().map(ToString::to_string).collect();
        words.extend(["--store".to_owned(), system.store_url()]);
        let (code, errors) = run(words.clone(), closed_pipe()).await;
        assert_eq!(code, Some(0), "{command:?}: {errors}");
        assert!(!errors.contains("panicked"), "{command:?}: {errors}");
        let (code, errors) = run(words, full_disk()).await;
        assert_eq!(code, Some(1), "{command:?}: {errors}");
        assert!(errors.contains("Hint: "), "{command:?}: {errors}");
    }
}

#[tokio::test]
async fn output_of_check_to_closed_pipe() {
    let directory = std::env::temp_dir();
    for (name, text, expected) in [("good", TEXT, 0), ("bad", "{}", 1)] {
        let path = directory.join(format!("bramleyshelf-{}-{name}", process::id()));
        fs::write(&path, text).expect("a writable directory");
        let words = vec!["check".to_owned(), path.to_string_lossy().into_owned()];
        let (code, errors) = run(words, closed_pipe()).await;
        fs::remove_file(&path).expect("it is there");
        assert_eq!(code, Some(expected), "{name}: {errors}");
        assert!(!errors.contains("panicked"), "{name}: {errors}");
    }
}
