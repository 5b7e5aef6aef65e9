//! Whether the files, modules and tests exist that a text between backquotes names.

use std::fs;
use std::path::{Path, PathBuf};

/// Folders whose names may stand first in a path, besides those of `src`.
const ROOT_FOLDERS: [&str; 7] = [
    "src", "tests", "crates", "benches", "examples", "deploy", "docs",
];

/// The project's folder.
pub fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Whether a text looks like the path of a file or folder of this project.
fn is_path(span: &str) -> bool {
    let Some((first, _)) = span.split_once('/') else {
        return false;
    };
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "_-./".contains(c);
    span.chars().all(plain) && (ROOT_FOLDERS.contains(&first) || is_module(first))
}

/// Whether a name is a module at the top of `src`.
fn is_module(name: &str) -> bool {
    !name.is_empty() && path_exists(&format!("src/{name}"))
}

/// Whether a path exists, below the root or below `src`, as it stands or as a module.
fn path_exists(path: &str) -> bool {
    let candidates = [
        root().join(path),
        root().join(format!("{path}.rs")),
        root().join("src").join(path),
        root().join("src").join(format!("{path}.rs")),
    ];
    candidates.iter().any(|candidate| candidate.exists())
}

/// The file or folder of a module in a qualified name, such as `net/listener` of
/// `net::listener::Heartbeat`; none where the first part is no module of this project.
fn module_path(span: &str) -> Option<String> {
    let parts: Vec<&str> = span.split("::").collect();
    let lower = |part: &&str| part.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let module: Vec<&str> = parts.iter().copied().take_while(lower).collect();
    (parts.len() > 1 && module.first().is_some_and(|first| is_module(first)))
        .then(|| module.join("/"))
}

/// Whether a module exists, or its parent, where the last part is a function.
fn module_exists(path: &str) -> bool {
    path_exists(path)
        || path
            .rsplit_once('/')
            .is_some_and(|(parent, _)| path_exists(parent))
}

/// All Rust files below a folder.
pub fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            files.push(path);
        }
    }
    files
}

/// The file or folder and the test in a text such as `tests/closing::late_request_is_rejected`.
fn test_reference(span: &str) -> Option<(&str, &str)> {
    let (path, test) = span.split_once("::")?;
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "_/".contains(c);
    let is_reference = path.contains('/') && path.chars().all(plain) && !test.contains("::");
    is_reference.then_some((path, test))
}

/// Whether a file has a test function of a name: one with a test's attribute above it.
fn has_test(file: &Path, test: &str) -> bool {
    let text = fs::read_to_string(file).unwrap();
    let mut is_test = false;
    for line in text.lines().map(str::trim_start) {
        let attributes = ["#[test]", "#[tokio::test", "#[rstest"];
        is_test |= attributes.iter().any(|start| line.starts_with(start));
        let declaration = line.strip_prefix("async ").unwrap_or(line);
        if let Some(function) = declaration.strip_prefix("fn ") {
            let name = function.split(['(', '<']).next();
            if is_test && name == Some(test) {
                return true;
            }
            is_test = false;
        }
    }
    false
}

/// Whether the file or folder of a test reference has the test; the tests of a module stand in
/// files below its folder.
fn test_exists(path: &str, test: &str) -> bool {
    let mut files = vec![root().join(format!("{path}.rs"))];
    let folder = root().join(path);
    if folder.is_dir() {
        files.extend(rust_files(&folder));
    }
    files.retain(|file| file.is_file());
    files.iter().any(|file| has_test(file, test))
}

/// Whether a text is the name of a Rust file, whole or its last parts, and no file has it.
fn is_missing_source(span: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_-./".contains(c);
    if !span.ends_with(".rs") || !span.chars().all(plain) {
        return false;
    }
    let folders = ["src", "crates", "tests", "benches", "examples"];
    let mut files = folders
        .iter()
        .flat_map(|name| rust_files(&root().join(name)));
    !files.any(|file| file.ends_with(span))
}

/// What is wrong with the files, modules and tests that a text between backquotes names.
pub fn wrong_paths(span: &str) -> Option<String> {
    if let Some((path, test)) = test_reference(span) {
        return (!test_exists(path, test)).then(|| format!("no test {span}"));
    }
    if is_missing_source(span) || (is_path(span) && !path_exists(span)) {
        return Some(format!("no file {span}"));
    }
    let module = module_path(span)?;
    (!module_exists(&module)).then(|| format!("no module {span}"))
}
