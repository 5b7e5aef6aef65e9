//! What several cases have in common: the platform's limit on memory, students who ask for hints,
//! and the forms of the public API for files.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::case::Case;
use crate::http;
use crate::model_server::ModelServer;
use crate::router::Router;

/// How often the platform looks at a router's memory.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The time between two students' requests, and how long a student waits.
const HINT_INTERVAL: Duration = Duration::from_millis(200);
const HINT_PATIENCE: Duration = Duration::from_secs(5);

/// The platform's limit on a router's memory: over it the router is killed.
#[derive(Clone)]
pub struct MemoryLimit {
    limit_kib: u64,
    peak_kib: Arc<AtomicU64>,
    exceeded: Arc<AtomicBool>,
}

impl MemoryLimit {
    /// Watches a router's memory from now on.
    pub fn watch(case: &Case, router: &Arc<Router>) -> MemoryLimit {
        let memory = MemoryLimit {
            limit_kib: router.memory_limit_kib(),
            peak_kib: Arc::default(),
            exceeded: Arc::default(),
        };
        let (case, router, watched) = (case.clone(), router.clone(), memory.clone());
        thread::spawn(move || {
            while let Some(held) = router.memory_kib() {
                watched.peak_kib.fetch_max(held, Ordering::SeqCst);
                if held > watched.limit_kib {
                    let limit = watched.limit_kib;
                    case.note(format!(
                        "platform: the router holds {held} KiB, its limit is {limit}"
                    ));
                    router.kill();
                    watched.exceeded.store(true, Ordering::SeqCst);
                    return;
                }
                thread::sleep(MEMORY_CHECK_INTERVAL);
            }
        });
        memory
    }

    /// Whether the router was killed.
    pub fn was_exceeded(&self) -> bool {
        self.exceeded.load(Ordering::SeqCst)
    }

    pub fn summary(&self) -> String {
        let peak = self.peak_kib.load(Ordering::SeqCst);
        format!(
            "peak of the router's memory: {peak} KiB of {} KiB",
            self.limit_kib
        )
    }
}

/// Students' requests by what became of them.
#[derive(Default)]
pub struct Students {
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
}

impl Students {
    pub fn summary(&self) -> String {
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        format!(
            "students' requests: {} answered whole, {} refused, {} failed, {} broken off or not answered",
            count(&self.answered),
            count(&self.refused),
            count(&self.failed),
            count(&self.unanswered)
        )
    }
}

/// Asks for a hint every 200 ms on the platform's front, each on a connection of its own.
pub fn students(case: &Case, router: &Arc<Router>) -> Arc<Students> {
    let students = Arc::new(Students::default());
    let (case, router, counted) = (case.clone(), router.clone(), students.clone());
    thread::spawn(move || {
        for number in 0u64.. {
            let head = format!(
                "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: {number:016x}\r\nX-Qos: hint\r\nX-Object: {number:016x}\r\n\
                 X-Expires-In-Ms: 1500\r\nX-Props: prompt_len=100,max_out=20\r\nConnection: close\r\n"
            );
            let body = format!(
                "{{\"model\":\"hint-small\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
                "a".repeat(400)
            );
            let answer = http::call(&router.clients, HINT_PATIENCE, &head, body.as_bytes());
            let counter = match &answer {
                Ok(answer) if answer.status == 200 && answer.whole => &counted.answered,
                Ok(answer) if matches!(answer.status, 429 | 503) => &counted.refused,
                Ok(answer) if answer.status != 200 => &counted.failed,
                _ => &counted.unanswered,
            };
            if counter.fetch_add(1, Ordering::SeqCst) == 0 {
                let answer = answer.map(|answer| (answer.status, answer.whole));
                case.note(format!(
                    "student's request {number}: status, whole: {answer:?}"
                ));
            }
            thread::sleep(HINT_INTERVAL);
        }
    });
    students
}

/// The inventory of these model servers.
pub fn inventory(servers: &[ModelServer]) -> String {
    let rows: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(number, server)| format!("s{number},{},cleveland\n", server.address))
        .collect();
    format!("name,address,zone\n{}", rows.concat())
}

/// The head of a file's upload in a form.
pub const UPLOAD: &str =
    "POST /v1/files HTTP/1.1\r\nContent-Type: multipart/form-data; boundary=XX\r\n";

/// The form in which a file is uploaded.
pub fn form(file: &str) -> String {
    format!(
        "--XX\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --XX\r\nContent-Disposition: form-data; name=\"file\"; filename=\"set.jsonl\"\r\n\r\n{file}\r\n--XX--\r\n"
    )
}

/// A line of a class set.
pub fn line(number: usize, text: &str) -> String {
    format!(
        "{{\"custom_id\":\"pupil-{number}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{{\"model\":\"mark\",\"max_tokens\":60,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}}}\n"
    )
}
