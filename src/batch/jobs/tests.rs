use std::path::Path;

use rustix::io::Errno;
use serde_json::json;
use tokio::sync::mpsc;

use super::*;
use crate::batch::store::Limits;
use crate::core::CoreLoad;
use crate::ops::metrics::Metrics;
use crate::storage::failing_disk::FailingDisk;
use crate::storage::simulated_disk::Fault;

const LONG: Duration = Duration::from_secs(30);
const LINES: usize = 6;

/// Batches over a core that has ended: every line comes to an outcome at once.
struct Bench {
    jobs: Jobs,
    disk: FailingDisk,
    end: watch::Sender<bool>,
}

impl Bench {
    fn new(folder: &Path, limits: Limits) -> Bench {
        let disk = FailingDisk::default();
        let store = Store::open_on(folder, limits, Arc::new(disk.clone())).unwrap();
        let (messages, orders) = (mpsc::channel(1).0, mpsc::channel(1).0);
        let metrics = Arc::new(Metrics::new(&["batch".to_string()]));
        let core = CoreHandle::new(messages, orders, Arc::new(CoreLoad::default()), metrics);
        let options = Options {
            class: 0,
            class_name: "batch".into(),
            patience: LONG,
            max_lines: 100,
            max_line: 1 << 10,
            max_batches: 8,
        };
        let (end, ending) = watch::channel(false);
        let window = Window::new(2, core.clone());
        Bench {
            jobs: Jobs::new(core, store, window, options, ending, None),
            disk,
            end,
        }
    }

    async fn file(&self, text: &[u8]) -> String {
        let info = self
            .jobs
            .store
            .create("a", "batch", None, &Caller::default())
            .await
            .unwrap();
        let mut appender = self.jobs.store.append(&info.id, 0).await.unwrap();
        appender.write(text).await.unwrap();
        appender.finish().unwrap().id
    }

    /// Starts a batch of lines that are no JSON; its id.
    async fn start(&self) -> String {
        let input = self.file("no json\n".repeat(LINES).as_bytes()).await;
        let window = ("1h".to_string(), Duration::from_secs(3600));
        let endpoint = "/v1/chat/completions".to_string();
        let order = Order {
            input,
            endpoint,
            window,
            metadata: Value::Null,
            caller: Caller::default(),
        };
        self.jobs.create(order).await.unwrap()["id"]
            .as_str()
            .unwrap()
            .to_string()
    }

    async fn ended(&self, id: &str) -> Value {
        tokio::time::timeout(LONG, self.jobs.settle())
            .await
            .expect("an end");
        self.jobs.get(id, &Caller::default()).unwrap()
    }

    /// The lines of the batch's result that were counted.
    async fn outcomes(&self, batch: &Value) -> Vec<Value> {
        let (file, info) = self
            .jobs
            .store
            .read(batch["output_file_id"].as_str().unwrap())
            .await
            .unwrap();
        let mut text = String::new();
        file.take(info.bytes)
            .read_to_string(&mut text)
            .await
            .unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

const LIMITS: Limits = Limits {
    file: 1 << 20,
    spool: 1 << 20,
    files: 8,
};

#[tokio::test]
async fn outcomes_wait_for_a_failing_spool() {
    let folder = tempfile::tempdir().unwrap();
    let bench = Bench::new(folder.path(), LIMITS);
    let id = bench.start().await;
    // the result's creation and opening fail, then two writes, the first halfway; the cuts back
    // fail as well
    let full = Fault::Error(Errno::NOSPC);
    bench.disk.fail_next([full, Fault::Error(Errno::IO)]);
    bench.disk.fail_next([Fault::Short, Fault::Short]);
    bench.disk.fail_next([
        Fault::HalfThenError(Errno::IO),
        Fault::Error(Errno::IO),
        full,
        full,
    ]);
    let batch = bench.ended(&id).await;
    assert_eq!(batch["status"], "completed", "{batch}");
    assert_eq!(bench.disk.faults_left(), 0);
    let outcomes = bench.outcomes(&batch).await;
    let numbers: Vec<_> = outcomes
        .iter()
        .map(|outcome| outcome["line"].as_u64().unwrap())
        .collect();
    assert_eq!(numbers, (1..=LINES as u64).collect::<Vec<_>>());
}

#[tokio::test]
async fn batch_goes_on_after_files_deleted() {
    let folder = tempfile::tempdir().unwrap();
    let input = "no json\n".len() * LINES;
    let bench = Bench::new(
        folder.path(),
        Limits {
            spool: 4096,
            ..LIMITS
        },
    );
    // what is left holds the input and a part of the result
    let filler = bench.file(&vec![b'x'; 4096 - input - 300]).await;
    let id = bench.start().await;
    let counts =
        || bench.jobs.get(&id, &Caller::default()).unwrap()["request_counts"]["failed"].clone();
    while counts() == json!(0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        bench.jobs.get(&id, &Caller::default()).unwrap()["status"],
        "in_progress"
    );
    bench.jobs.store.remove(&filler).await.unwrap();
    let batch = bench.ended(&id).await;
    assert_eq!(batch["status"], "completed", "{batch}");
    assert_eq!(bench.outcomes(&batch).await.len(), LINES);
}

#[tokio::test]
async fn batch_on_full_store_can_end() {
    for cancel in [true, false] {
        let folder = tempfile::tempdir().unwrap();
        let bench = Bench::new(folder.path(), Limits { files: 1, ..LIMITS });
        let id = bench.start().await;
        if cancel {
            bench.jobs.cancel(&id, &Caller::default()).unwrap();
        } else {
            bench.end.send_replace(true);
        }
        let batch = bench.ended(&id).await;
        assert_eq!(batch["status"], "failed", "{batch}");
        assert_eq!(batch["errors"]["data"][0]["code"], "spool_error", "{batch}");
    }
}

#[tokio::test]
async fn bytes_behind_the_size_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let bench = Bench::new(folder.path(), LIMITS);
    let info = bench
        .jobs
        .store
        .create("a", "batch", None, &Caller::default())
        .await
        .unwrap();
    let mut appender = bench.jobs.store.append(&info.id, 0).await.unwrap();
    appender.write(b"no json\n").await.unwrap();
    bench
        .disk
        .fail_next([Fault::HalfThenError(Errno::NOSPC), Fault::Error(Errno::IO)]);
    appender.write(b"garbage\ngarbage\n").await.unwrap_err();
    appender.finish().unwrap();
    let window = ("1h".to_string(), Duration::from_secs(3600));
    let endpoint = "/v1/chat/completions".to_string();
    let order = Order {
        input: info.id,
        endpoint,
        window,
        metadata: Value::Null,
        caller: Caller::default(),
    };
    let id = bench.jobs.create(order).await.unwrap()["id"]
        .as_str()
        .unwrap()
        .to_string();
    let batch = bench.ended(&id).await;
    assert_eq!(batch["request_counts"]["total"], 1, "{batch}");
}

#[tokio::test]
async fn order_survives_clock_steps() {
    let folder = tempfile::tempdir().unwrap();
    let bench = Bench::new(folder.path(), LIMITS);
    let first = bench.start().await;
    // the clock was an hour ahead when the first batch was created
    if let Some(batch) = bench.jobs.batches().get_mut(&first) {
        batch.created += 3600;
    }
    let second = bench.start().await;
    bench.jobs.settle().await;
    let listed = bench.jobs.list(&Caller::default());
    let listed: Vec<_> = listed
        .iter()
        .map(|batch| batch["id"].as_str().unwrap())
        .collect();
    assert_eq!(listed, [second.as_str(), first.as_str()]);
}
