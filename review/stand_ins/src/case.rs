//! What all cases share: the folders, the record, the verdict and the time limit.

use std::fmt::Display;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A case may run for 120 s; this leaves time to end its processes.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// The result of a case, which is also its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

struct Shared {
    record: Mutex<File>,
    temporary: PathBuf,
    /// The processes that the case has started and not ended yet.
    processes: Mutex<Vec<u32>>,
    started: Instant,
}

/// A running case. Clones share it.
#[derive(Clone)]
pub struct Case {
    shared: Arc<Shared>,
    /// The project's root, from which the programs are started.
    pub root: PathBuf,
    /// Whether the disruption is on (`TROUBLE=0` turns it off).
    pub trouble: bool,
}

impl Case {
    /// Begins a case. `run.sh` passes the project's root and the case's folder.
    pub fn begin() -> Case {
        let arguments: Vec<String> = std::env::args().collect();
        let [_, root, folder] = arguments.as_slice() else {
            eprintln!("usage: CASE ROOT FOLDER");
            exit(Verdict::CouldNotRun as i32);
        };
        let temporary = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        let record = File::create(Path::new(folder).join("record.txt"));
        let (Ok(record), Ok(())) = (record, fs::create_dir_all(&temporary)) else {
            eprintln!("the record or the temporary folder can't be created");
            exit(Verdict::CouldNotRun as i32);
        };
        let case = Case {
            shared: Arc::new(Shared {
                record: Mutex::new(record),
                temporary,
                processes: Mutex::default(),
                started: Instant::now(),
            }),
            root: root.into(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        };
        case.note(format!(
            "disruption: {}",
            if case.trouble { "on" } else { "off" }
        ));
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            watched.note("the case did not end in its time");
            watched.end(Verdict::CouldNotRun);
        });
        case
    }

    /// The time since the case began.
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: impl Display) {
        let line = format!("{:8.3} {text}\n", self.elapsed().as_secs_f64());
        let _ = self
            .shared
            .record
            .lock()
            .unwrap()
            .write_all(line.as_bytes());
    }

    /// A file in the case's temporary folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.shared.temporary.join(name)
    }

    /// Writes a file into the temporary folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.file(name);
        if let Err(error) = fs::write(&path, text) {
            self.give_up(format!("{name}: {error}"));
        }
        path
    }

    pub(crate) fn started_process(&self, id: u32) {
        self.shared.processes.lock().unwrap().push(id);
    }

    pub(crate) fn ended_process(&self, id: u32) {
        self.shared
            .processes
            .lock()
            .unwrap()
            .retain(|&other| other != id);
    }

    /// Ends the case because it can't be run.
    pub fn give_up(&self, why: impl Display) -> ! {
        self.note(format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        self.end(Verdict::CouldNotRun)
    }

    /// Ends the case's processes and the case.
    pub fn end(&self, verdict: Verdict) -> ! {
        for id in self.shared.processes.lock().unwrap().drain(..) {
            crate::process::kill_process(id);
        }
        self.note(format!("verdict: {verdict:?}"));
        println!("{verdict:?}");
        let _ = fs::remove_dir_all(&self.shared.temporary);
        exit(verdict as i32)
    }
}
