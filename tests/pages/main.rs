//! The pages name files, modules and types that exist: a rename in the code that a page does not
//! follow fails here. `docs/measurements` and the roadmap tell history and are left out.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders of pages that describe the present code.
const PAGE_FOLDERS: [&str; 3] = ["docs", "docs/design", "docs/operate"];
/// Pages outside these folders.
const PAGES: [&str; 2] = ["README.md", "CONTRIBUTING.md"];
/// Pages in them that tell history or plans.
const HISTORY: [&str; 3] = [
    "docs/ROADMAP.md",
    "docs/questions.md",
    "docs/design/regions.md",
];
/// Folders whose names may stand first in a path, besides those of `src`.
const ROOT_FOLDERS: [&str; 7] = [
    "src", "tests", "crates", "benches", "examples", "deploy", "docs",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All pages that are checked.
fn pages() -> Vec<PathBuf> {
    let mut pages: Vec<PathBuf> = PAGES.iter().map(|page| root().join(page)).collect();
    for folder in PAGE_FOLDERS {
        let entries = fs::read_dir(root().join(folder)).unwrap();
        let paths = entries.map(|entry| entry.unwrap().path());
        pages.extend(paths.filter(|path| path.extension().is_some_and(|kind| kind == "md")));
    }
    pages.retain(|page| !HISTORY.iter().any(|history| page.ends_with(history)));
    pages
}

/// The texts between backquotes on each line outside fenced blocks.
fn code_spans(page: &str) -> Vec<String> {
    let mut spans = Vec::new();
    let mut fenced = false;
    for line in page.lines() {
        if line.trim_start().starts_with("```") {
            fenced = !fenced;
        } else if !fenced {
            spans.extend(line.split('`').skip(1).step_by(2).map(String::from));
        }
    }
    spans
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

/// The names in a text such as `core::Request`, `LoadReport` or `cancel_unstarted` that the code
/// has to have: those of a qualified name, in camel case, or of several words.
fn names(span: &str) -> Vec<&str> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == ':';
    if !span.chars().all(plain) {
        return Vec::new();
    }
    let parts: Vec<&str> = span.split("::").filter(|part| !part.is_empty()).collect();
    let qualified = parts.len() > 1;
    let is_name = |part: &&str| qualified || is_camel_case(part) || is_snake_case(part);
    parts.into_iter().filter(is_name).collect()
}

/// Whether a word is in camel case with two words or more.
fn is_camel_case(word: &str) -> bool {
    let capitals = word.chars().filter(char::is_ascii_uppercase).count();
    let begins = word.chars().next().is_some_and(|c| c.is_ascii_uppercase());
    begins && capitals >= 2 && word.chars().any(|c| c.is_ascii_lowercase())
}

/// Whether a word is in snake case with two words or more.
fn is_snake_case(word: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    word.contains('_') && word.chars().all(plain)
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

/// Adds all words of the Rust files below a folder.
fn collect_words(folder: &Path, words: &mut HashSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_words(&path, words);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            let separator = |c: char| !c.is_ascii_alphanumeric() && c != '_';
            words.extend(text.split(separator).map(String::from));
        }
    }
}

#[test]
fn pages_name_existing_files_and_types() {
    let mut words = HashSet::new();
    for folder in ["src", "crates", "tests", "benches"] {
        collect_words(&root().join(folder), &mut words);
    }
    let mut unknown = Vec::new();
    for page in pages() {
        let name = page.strip_prefix(root()).unwrap().display().to_string();
        for span in code_spans(&fs::read_to_string(&page).unwrap()) {
            if is_path(&span) && !path_exists(&span) {
                unknown.push(format!("{name}: no file {span}"));
            }
            if module_path(&span).is_some_and(|module| !module_exists(&module)) {
                unknown.push(format!("{name}: no module {span}"));
            }
            let missing = names(&span)
                .into_iter()
                .filter(|part| !words.contains(*part));
            unknown.extend(missing.map(|missing| format!("{name}: no name {missing}")));
        }
    }
    assert!(unknown.is_empty(), "{}", unknown.join("\n"));
}
