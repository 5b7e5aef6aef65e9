//! One run of a case: its record, its clock, its end.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// A run: writes `record.txt`, and counts the time from its start.
#[derive(Clone)]
pub struct Case {
    record: Arc<Mutex<File>>,
    started: Instant,
    pub root: PathBuf,
    /// False where `TROUBLE=0`.
    pub trouble: bool,
}

impl Case {
    /// The arguments are the case's folder and the project's root.
    pub fn open() -> Case {
        let mut args = std::env::args().skip(1);
        let (Some(folder), Some(root)) = (args.next(), args.next()) else {
            eprintln!("usage: CASE FOLDER ROOT");
            exit(2);
        };
        let Ok(record) = File::create(Path::new(&folder).join("record.txt")) else {
            eprintln!("{folder}: record.txt can't be written");
            exit(2);
        };
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let case = Case {
            record: Arc::new(Mutex::new(record)),
            started: Instant::now(),
            root: root.into(),
            trouble,
        };
        case.note(&format!("the run begins, TROUBLE={}", u8::from(trouble)));
        case
    }

    /// Writes a line to the record, with the seconds since the start.
    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut record) = self.record.lock() {
            let _ = writeln!(record, "{at:9.3} {text}");
        }
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.note(text);
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    /// Runs the case and ends the process with its result. `body` owns all processes of the case,
    /// which end as it returns.
    pub fn run(self, body: impl FnOnce(&Case) -> Result<Verdict, String>) -> ! {
        let verdict = match body(&self) {
            Ok(verdict) => verdict,
            Err(reason) => {
                self.say(&format!("could not run: {reason}"));
                Verdict::CouldNotRun
            }
        };
        self.say(&format!("result: {verdict:?}"));
        exit(match verdict {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::CouldNotRun => 2,
        })
    }
}

/// Waits until `is_true`, at most for `limit`. Returns whether it became true.
pub fn wait_until(limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if is_true() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
