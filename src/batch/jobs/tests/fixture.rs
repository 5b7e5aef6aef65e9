//! Batches whose lines need no model server, on a disk that can fail.

use std::path::Path;

use tokio::sync::mpsc;

use super::super::*;
use crate::batch::concurrency::ConcurrencyLimit;
use crate::batch::store::{FileInfo, FileSize, NewFile, Store, StoreLimits};
use crate::core::{CoreHandle, CoreLoad};
use crate::log_limit::LogLimit;
use crate::ops::metrics::Metrics;
use crate::storage::failing_disk::FailingDisk;

const TIMEOUT: Duration = Duration::from_secs(30);
pub(super) const LINES: usize = 6;
/// An invalid line, which gets its outcome at once.
pub(super) const INPUT_LINE: &str = "no json\n";

pub(super) const LIMITS: StoreLimits = StoreLimits {
    file_bytes: 1 << 20,
    spool_bytes: 1 << 20,
    files: 8,
};

/// Batches whose core has stopped, so that every line gets its outcome at once.
pub(super) struct JobsFixture {
    pub(super) jobs: BatchJobs,
    pub(super) disk: FailingDisk,
    pub(super) shut_down: watch::Sender<bool>,
}

impl JobsFixture {
    pub(super) fn new(folder: &Path, limits: StoreLimits) -> JobsFixture {
        let disk = FailingDisk::default();
        let store = Store::open_on(folder, limits, Arc::new(disk.clone())).unwrap();
        let (messages, commands) = (mpsc::channel(1).0, mpsc::channel(1).0);
        let metrics = Arc::new(Metrics::new(&["batch".to_string()]));
        let core = CoreHandle::new(messages, commands, Arc::new(CoreLoad::default()), metrics);
        let options = JobOptions {
            class: 0,
            class_name: "batch".into(),
            request_timeout: TIMEOUT,
            max_lines: 100,
            max_line_bytes: 1 << 10,
            max_batches: 8,
        };
        let (shut_down, shutting_down) = watch::channel(false);
        let jobs = BatchJobs::new(JobContext {
            concurrency: ConcurrencyLimit::new(2, core.clone()),
            core,
            edge: None,
            store,
            options,
            shutting_down,
            spool_log: Arc::new(LogLimit::new()),
        });
        JobsFixture {
            jobs,
            disk,
            shut_down,
        }
    }

    pub(super) fn store(&self) -> &Store {
        &self.jobs.context.store
    }

    pub(super) async fn create_file(&self) -> FileInfo {
        let new = NewFile {
            name: "a",
            purpose: "batch",
            size: FileSize::Limited,
            owner: &Caller::default(),
        };
        self.store().create(new).await.unwrap()
    }

    pub(super) async fn file(&self, text: &[u8]) -> String {
        let info = self.create_file().await;
        let mut appender = self.store().append(&info.id, 0).await.unwrap();
        appender.write(text).await.unwrap();
        appender.finish().unwrap().id
    }

    /// Starts a batch whose lines are not valid JSON; returns its id.
    pub(super) async fn start(&self) -> String {
        let input_file = self.input_file().await;
        self.start_with(input_file).await
    }

    pub(super) async fn input_file(&self) -> String {
        self.file(INPUT_LINE.repeat(LINES).as_bytes()).await
    }

    /// Starts a batch with this input file; returns its id.
    pub(super) async fn start_with(&self, input_file: String) -> String {
        let batch = self.create(input_file).await.unwrap();
        batch["id"].as_str().unwrap().to_string()
    }

    pub(super) async fn create(&self, input_file: String) -> Result<Value, JobError> {
        let new_batch = NewBatch {
            input_file,
            endpoint: "/v1/chat/completions".to_string(),
            completion_window: CompletionWindow {
                text: "1h".to_string(),
                duration: Duration::from_secs(3600),
            },
            metadata: Value::Null,
            owner: Caller::default(),
        };
        self.jobs.create(new_batch).await
    }

    pub(super) async fn wait_for_end(&self, id: &str) -> Value {
        tokio::time::timeout(TIMEOUT, self.jobs.settle())
            .await
            .expect("the batches did not end in time");
        self.jobs.get(id, &Caller::default()).unwrap()
    }

    /// The lines of the batch's result file, up to its recorded size.
    pub(super) async fn outcomes(&self, batch: &Value) -> Vec<Value> {
        let id = batch["output_file_id"].as_str().unwrap();
        let text = self.store().read(id).await.unwrap().text().await;
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}
