//! Runs the built program and exchanges batches with it over pipes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"n-instances": 2, "period": 0.002, "discovery": "push", "classes": [{"objective": 1.0, "deadline": 5.0, "effect": "read_like", "streaming": true}], "guarantees": {"drain-grace": 1, "fall": 1, "fall-multiple": 4, "start-capacity": 0.1, "warm-after": 20}, "limits": {"max-attempts": 3}}"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_string();
    let writer = std::thread::spawn(move || {
        // the adapter may stop reading at a malformed line
        let _ = stdin.write_all(input.as_bytes());
    });
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    output
}

fn start(i: usize) -> String {
    format!("INIT i={i} init-seed={} config={SETTINGS}\n", 40 + i)
}

/// Starts the given instances, whose numbers are 0 to 5, and then sends 400 batches with one
/// request for each instance.
fn batches(instances: &[usize]) -> String {
    let mut text = String::from("CLOCK now=5 seq=1\n");
    for &i in instances {
        text.push_str(&start(i));
    }
    text.push_str("DIRECTORY sheet=0 members-list=3\n");
    for name in ["a", "b", "c"] {
        text.push_str(&format!(
            "REPLICA model=0 lifecycle=in_service az=0 replica=replica_{name} pod=0 rating=1\n"
        ));
    }
    for &i in instances {
        text.push_str(&format!(
            "MEMBERSHIP i={i} how=Persisted generation=1 sheet=0\n"
        ));
    }
    text.push_str("EOF_BATCH\n");
    for n in 0..400u64 {
        text.push_str(&format!(
            "CLOCK now={} seq={}\n",
            5.0 + n as f64 / 50.0,
            n + 2
        ));
        for &i in instances {
            let id = n * 6 + i as u64;
            let until = 10.0 + n as f64 / 50.0;
            text.push_str(&format!(
                "INBOUND i={i} ref={id} cls=0 valid-until={until} key={:016x} prompt-len=900 output-cap=64\n",
                n % 7
            ));
        }
        text.push_str("EOF_BATCH\n");
    }
    text
}

fn actions(output: &[u8]) -> Vec<String> {
    let text = std::str::from_utf8(output).unwrap();
    let mut lines: Vec<String> = text
        .lines()
        .filter(|l| !l.starts_with("READY"))
        .map(String::from)
        .collect();
    lines.sort();
    lines
}

#[test]
fn process_count_does_not_change_actions() {
    let one = run_adapter(&batches(&[0, 1, 2, 3, 4, 5]));
    assert!(one.status.success());
    let mut split = Vec::new();
    for part in [[0, 3], [1, 4], [5, 2]] {
        split.extend(actions(&run_adapter(&batches(&part)).stdout));
    }
    split.sort();
    assert!(split.len() > 2_000);
    assert_eq!(actions(&one.stdout), split);
}

#[test]
fn instance_restarts_within_a_batch() {
    let list = "DIRECTORY sheet=0 members-list=1\nREPLICA lifecycle=in_service replica=replica_a\n";
    let persisted = "MEMBERSHIP i=0 how=Persisted generation=1 sheet=0\n";
    let inbound =
        |id| format!("INBOUND i=0 ref={id} cls=0 valid-until=9 prompt-len=10 output-cap=9\n");
    let input = format!(
        "CLOCK now=5 seq=1\n{}{list}{persisted}{}HALT i=0\n{}{persisted}{}EOF_BATCH\nCLOCK now=5.1 seq=2\nHALT i=0\n{}EOF_BATCH\n",
        start(0),
        inbound(1),
        start(0),
        inbound(2),
        inbound(3),
    );
    let output = run_adapter(&input);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(
        text.contains("DISPATCH i=0 ref=2 replica=replica_a"),
        "{text}"
    );
    assert!(!text.contains("ref=1") && !text.contains("ref=3"), "{text}");
    assert!(text.ends_with("READY seq=2\n"));
}

#[test]
fn end_of_input_exits_cleanly() {
    for input in ["", "CLOCK now=1 seq=1\nEOF_BATCH\n"] {
        let output = run_adapter(input);
        assert!(output.status.success() && output.stderr.is_empty());
    }
}

#[test]
fn bad_input_names_its_line() {
    let start = start(0);
    for (input, line) in [
        ("NONSENSE\n", 1),
        ("CLOCK now=1 seq=1\nEXPIRED i=0 ref=x\n", 2),
        (
            "CLOCK now=1 seq=1\nINIT i=0 init-seed=1 config={\"classes\": 5}\n",
            2,
        ),
        ("CLOCK now=1 seq=1\nEOF_BATCH\nCLOCK now=0.5 seq=2\n", 3),
        ("CLOCK now=1 seq=1\n", 2),
        (
            &format!("CLOCK now=1 seq=1\n{start}DIRECTORY sheet=0 members-list=2\nEOF_BATCH\n"),
            4,
        ),
    ] {
        let output = run_adapter(input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{input}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(&format!("line {line}:")), "{message}");
        let replies = String::from_utf8(output.stdout).unwrap();
        assert!(replies.lines().all(|l| l.starts_with("READY")), "{replies}");
    }
}
