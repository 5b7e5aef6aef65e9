//! One run of a case: its record, its clock, its end.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, exit};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest time of a run. After it, whatever still runs is ended.
const LONGEST_RUN: Duration = Duration::from_secs(112);
/// The processes that the case has started and that have not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes that a process was started.
pub fn process_started(pid: u32) {
    if let Ok(mut processes) = PROCESSES.lock() {
        processes.push(pid);
    }
}

/// Notes that a process has ended.
pub fn process_ended(pid: u32) {
    if let Ok(mut processes) = PROCESSES.lock() {
        processes.retain(|other| *other != pid);
    }
}

/// Ends a run that takes too long: kills its processes, and says that the case couldn't run.
fn end_late_run(case: Case) {
    std::thread::sleep(LONGEST_RUN);
    case.say("could not run: the run takes too long");
    if let Ok(processes) = PROCESSES.lock() {
        for pid in processes.iter() {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(pid.to_string())
                .status();
        }
    }
    exit(2);
}

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
        let late = case.clone();
        std::thread::spawn(move || end_late_run(late));
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
