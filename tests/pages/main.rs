//! The pages name files, modules, types and tests that exist: a rename in the code that a page does
//! not follow fails here. `docs/measurements` and the roadmap tell history and are left out.
//!
//! A test is named as `tests/FILE::TEST`, or `src/MODULE::TEST` for a unit test.

mod paths;

use std::collections::HashSet;
use std::fs;
use std::path::PathBuf;

use paths::{root, rust_files, wrong_paths};

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

/// The lines of a page outside fenced blocks.
fn lines_outside_fences(page: &str) -> Vec<&str> {
    let mut lines = Vec::new();
    let mut fenced = false;
    for line in page.lines() {
        if line.trim_start().starts_with("```") {
            fenced = !fenced;
        } else if !fenced {
            lines.push(line);
        }
    }
    lines
}

/// The texts between backquotes on each line outside fenced blocks.
fn code_spans(page: &str) -> Vec<String> {
    let lines = lines_outside_fences(page);
    let spans = |line: &str| -> Vec<String> {
        let texts = line.split('`').skip(1).step_by(2);
        texts.map(String::from).collect()
    };
    lines.into_iter().flat_map(spans).collect()
}

/// The names in snake case that stand outside backquotes, where no other check sees them.
fn unquoted_names(page: &str) -> Vec<String> {
    let separator = |c: char| !c.is_ascii_alphanumeric() && c != '_';
    let mut unquoted = Vec::new();
    for line in lines_outside_fences(page) {
        for text in line.split('`').step_by(2) {
            let names = text.split(separator).filter(|word| is_snake_case(word));
            unquoted.extend(names.map(String::from));
        }
    }
    unquoted
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

/// The types in a text such as `Outcome::Completed` or `core::Clock::now` whose members it names.
fn types_with_members(span: &str) -> Vec<&str> {
    if names(span).is_empty() {
        return Vec::new();
    }
    let mut parts: Vec<&str> = span.split("::").collect();
    parts.pop();
    let is_type = |part: &&str| part.starts_with(|c: char| c.is_ascii_uppercase());
    parts.into_iter().filter(is_type).collect()
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

/// What the code has: its words, and the types that it declares.
#[derive(Default)]
struct Code {
    words: HashSet<String>,
    types: HashSet<String>,
}

impl Code {
    /// Of all Rust files of the project.
    fn read() -> Code {
        let mut code = Code::default();
        for folder in ["src", "crates", "tests", "benches"] {
            for file in rust_files(&root().join(folder)) {
                code.add(&fs::read_to_string(&file).unwrap());
            }
        }
        code
    }

    fn add(&mut self, text: &str) {
        let separator = |c: char| !c.is_ascii_alphanumeric() && c != '_';
        self.words.extend(text.split(separator).map(String::from));
        let words: Vec<&str> = text.split_whitespace().collect();
        for pair in words.windows(2) {
            if ["struct", "enum", "trait", "type"].contains(&pair[0]) {
                let name = pair[1].split(separator).next().unwrap_or_default();
                self.types.insert(name.to_owned());
            }
        }
    }

    /// What is wrong with the names in a text between backquotes.
    fn wrong_names(&self, span: &str) -> Vec<String> {
        let mut missing = names(span);
        missing.retain(|name| !self.words.contains(*name));
        let mut undeclared = types_with_members(span);
        undeclared.retain(|name| !self.types.contains(*name));
        let names = missing.into_iter().map(|name| format!("no name {name}"));
        let types = undeclared.into_iter().map(|name| format!("no type {name}"));
        names.chain(types).collect()
    }
}

#[test]
fn pages_name_existing_files_and_types() {
    let code = Code::read();
    let mut unknown = Vec::new();
    for page in pages() {
        let name = page.strip_prefix(root()).unwrap().display().to_string();
        for span in code_spans(&fs::read_to_string(&page).unwrap()) {
            let wrong = wrong_paths(&span)
                .into_iter()
                .chain(code.wrong_names(&span));
            unknown.extend(wrong.map(|wrong| format!("{name}: {wrong}")));
        }
    }
    assert!(unknown.is_empty(), "{}", unknown.join("\n"));
}

#[test]
fn names_stand_in_backquotes() {
    let mut unquoted = Vec::new();
    for page in pages() {
        let name = page.strip_prefix(root()).unwrap().display().to_string();
        let found = unquoted_names(&fs::read_to_string(&page).unwrap());
        unquoted.extend(found.into_iter().map(|word| format!("{name}: {word}")));
    }
    assert!(unquoted.is_empty(), "{}", unquoted.join("\n"));
}

/// The check of a test's name fails on a test that its file lacks, and on a function that is none.
#[test]
fn wrong_test_names_are_found() {
    let this_test = "tests/pages::wrong_test_names_are_found";
    assert_eq!(wrong_paths(this_test), None);
    assert_eq!(
        wrong_paths("src/lru::size_is_bounded_and_latest_remain"),
        None
    );
    for wrong in [
        "tests/closing::wrong_test_names_are_found",
        "tests/pages::test_exists",
        "tests/no_such_file::wrong_test_names_are_found",
    ] {
        assert_eq!(wrong_paths(wrong), Some(format!("no test {wrong}")));
    }
}

/// The check of a type's member fails where the code has the type's name as a mere word.
#[test]
fn undeclared_types_are_found() {
    let mut code = Code::default();
    code.add("/// Not a Word. pub struct Clock; impl Clock { fn now() {} }");
    assert!(
        code.wrong_names("core::Clock::now")
            .contains(&"no name core".into())
    );
    assert_eq!(code.wrong_names("Clock::now"), Vec::<String>::new());
    assert_eq!(code.wrong_names("Word::now"), ["no type Word"]);
    assert_eq!(code.wrong_names("Clock::later"), ["no name later"]);
}
