//! The limits on the decision module, and the source's width.

use std::fs;
use std::path::Path;

fn read(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).expect(path)
}

/// The files that the deploy file names as the decision module, with their text.
fn policy() -> Vec<(String, String)> {
    let deploy: toml::Table = read("deploy/balancer.toml")
        .parse()
        .expect("deploy/balancer.toml");
    let files = deploy["policy"]
        .as_array()
        .expect("policy")
        .iter()
        .map(|v| v.as_str().expect("a path"));
    files.map(|path| (path.to_string(), read(path))).collect()
}

/// The Rust files of a folder and of all folders under it, test files set apart from the rest.
fn rust_files(folder: &Path) -> (Vec<String>, Vec<String>) {
    let (mut sources, mut tests) = (Vec::new(), Vec::new());
    for entry in fs::read_dir(folder).expect("a folder of the module") {
        let path = entry.expect("an entry of the module's folder").path();
        if path.is_dir() {
            let (below, tests_below) = rust_files(&path);
            sources.extend(below);
            tests.extend(tests_below);
            continue;
        }
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let name = path.strip_prefix(root).expect("a path of the project");
        let name = name.to_string_lossy().into_owned();
        if path.file_name().is_some_and(|file| file == "tests.rs") {
            tests.push(name);
        } else {
            sources.push(name);
        }
    }
    (sources, tests)
}

fn policy_folder() -> (Vec<String>, Vec<String>) {
    rust_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy"))
}

#[test]
fn deploy_file_names_every_policy_file() {
    let mut named: Vec<String> = policy().into_iter().map(|(path, _)| path).collect();
    let (mut existing, _) = policy_folder();
    named.sort();
    existing.sort();
    assert_eq!(named, existing);
}

#[test]
fn policy_files_stay_within_250_lines() {
    let (sources, tests) = policy_folder();
    assert!(sources.len() > 1 && !tests.is_empty(), "{sources:?}");
    for path in sources.into_iter().chain(tests) {
        let lines = read(&path).lines().count();
        assert!(lines <= 250, "{path} has {lines} lines");
    }
}

#[test]
fn lines_stay_within_110_characters() {
    let others = [
        "src/lib.rs",
        "src/config/settings.rs",
        "src/config/raw_settings.rs",
    ];
    let others = others.map(|path| (path.to_string(), read(path)));
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let (interface, _) = rust_files(&root.join("src/interface"));
    let (adapter, _) = rust_files(&root.join("crates/simulator_adapter/src"));
    let folders = interface.into_iter().chain(adapter).map(|path| {
        let text = read(&path);
        (path, text)
    });
    for (path, text) in policy().into_iter().chain(others).chain(folders) {
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{path}:{}", n + 1);
        }
    }
}

/// Guards against a block that the doc test would take for Rust: one without a language, or made by
/// indenting.
#[test]
fn readme_blocks_name_their_language() {
    let mut in_block = false;
    for (n, line) in read("README.md").lines().enumerate() {
        if let Some(language) = line.strip_prefix("```") {
            assert!(
                in_block || !language.is_empty(),
                "README.md:{} names no language",
                n + 1
            );
            in_block = !in_block;
        }
        assert!(
            in_block || !line.starts_with("    "),
            "README.md:{} is an indented block",
            n + 1
        );
    }
}
