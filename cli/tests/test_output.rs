//! Commands whose standard output cannot be written to: a pipe closed by its reader, and a full disk.

use std::fs;
use std::io;
use std::process;

use bramleyshelf_testutils::{cluster, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");

/// Runs a command with the given standard output and returns its exit status and standard error.
async fn run(args: Vec<String>, stdout: impl Into<process::Stdio>) -> (Option<i32>, String) {
    let mut command = process::Command::new(PROGRAM);
    command.args(args).stdout(stdout).stderr(process::Stdio::piped());
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
async fn commands_with_closed_pipe_and_full_disk() {
    let options = cluster::Options { upstreams: 3, ..cluster::Options::default() };
    let config = soak::shorten_leases(CONFIG);
    let system = cluster::Cluster::start(PROGRAM, "output", &config, options).await;
    let path = system.directory.join("text.json");
    let mut changed: serde_json::Value = serde_json::from_str(&config).expect("JSON");
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
        let mut args: Vec<String> = command.iter().map(ToString::to_string).collect();
        args.extend(["--store".to_owned(), system.store_url()]);
        let (code, errors) = run(args.clone(), closed_pipe()).await;
        assert_eq!(code, Some(0), "{command:?}: {errors}");
        assert!(!errors.contains("panicked"), "{command:?}: {errors}");
        let (code, errors) = run(args, full_disk()).await;
        assert_eq!(code, Some(1), "{command:?}: {errors}");
        assert!(errors.contains("Hint: "), "{command:?}: {errors}");
    }
}

#[tokio::test]
async fn check_with_closed_pipe() {
    let directory = std::env::temp_dir();
    for (name, config, expected) in [("good", CONFIG, 0), ("bad", "{}", 1)] {
        let path = directory.join(format!("bramleyshelf-{}-{name}", process::id()));
        fs::write(&path, config).expect("a writable directory");
        let args = vec!["check".to_owned(), path.to_string_lossy().into_owned()];
        let (code, errors) = run(args, closed_pipe()).await;
        fs::remove_file(&path).expect("the file exists");
        assert_eq!(code, Some(expected), "{name}: {errors}");
        assert!(!errors.contains("panicked"), "{name}: {errors}");
    }
}
