mod fixture;

use rustix::io::Errno;
use serde_json::json;

use super::*;
use crate::batch::store::{StoreError, StoreLimits};
use crate::storage::simulated_disk::Fault;
use fixture::{INPUT_LINE, JobsFixture, LIMITS, LINES};

#[tokio::test]
async fn spool_failures_lose_no_outcomes() {
    let folder = tempfile::tempdir().unwrap();
    let fixture = JobsFixture::new(folder.path(), LIMITS);
    let id = fixture.start().await;
    // The creation and the opening of the result file fail, then two writes, the first of them
    // halfway. The truncations after the failed writes fail as well.
    let full = Fault::Error(Errno::NOSPC);
    fixture.disk.fail_next([full, Fault::Error(Errno::IO)]);
    fixture.disk.fail_next([Fault::Short, Fault::Short]);
    fixture.disk.fail_next([
        Fault::HalfThenError(Errno::IO),
        Fault::Error(Errno::IO),
        full,
        full,
    ]);
    let batch = fixture.wait_for_end(&id).await;
    assert_eq!(batch["status"], "completed", "{batch}");
    assert_eq!(fixture.disk.faults_left(), 0);
    let outcomes = fixture.outcomes(&batch).await;
    let numbers: Vec<_> = outcomes
        .iter()
        .map(|outcome| outcome["line"].as_u64().unwrap())
        .collect();
    assert_eq!(numbers, (1..=LINES as u64).collect::<Vec<_>>());
}

#[tokio::test]
async fn batch_resumes_after_files_deleted() {
    let folder = tempfile::tempdir().unwrap();
    let input = INPUT_LINE.len() * LINES;
    let fixture = JobsFixture::new(
        folder.path(),
        StoreLimits {
            spool_bytes: 4096,
            ..LIMITS
        },
    );
    // the remaining space holds the input and a part of the result
    let filler = fixture.file(&vec![b'x'; 4096 - input - 300]).await;
    let id = fixture.start().await;
    let counts =
        || fixture.jobs.get(&id, &Caller::default()).unwrap()["request_counts"]["failed"].clone();
    while counts() == json!(0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        fixture.jobs.get(&id, &Caller::default()).unwrap()["status"],
        "in_progress"
    );
    fixture.store().remove(&filler).await.unwrap();
    let batch = fixture.wait_for_end(&id).await;
    assert_eq!(batch["status"], "completed", "{batch}");
    assert_eq!(fixture.outcomes(&batch).await.len(), LINES);
}

/// Guards against accepting a batch whose outcomes can't be stored anywhere.
#[tokio::test]
async fn batch_without_result_file_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let fixture = JobsFixture::new(folder.path(), StoreLimits { files: 2, ..LIMITS });
    let input_file = fixture.input_file().await;
    let filler = fixture.file(b"x").await;
    let rejected = fixture.create(input_file.clone()).await;
    assert!(matches!(rejected, Err(JobError::Result(StoreError::Full))));
    fixture.store().remove(&filler).await.unwrap();
    let id = fixture.start_with(input_file).await;
    let batch = fixture.wait_for_end(&id).await;
    assert_eq!(fixture.outcomes(&batch).await.len(), LINES);
}

#[tokio::test]
async fn stopped_batch_ends_on_full_store() {
    for cancel in [true, false] {
        let folder = tempfile::tempdir().unwrap();
        // the result file gets its place, and a single byte
        let spool_bytes = (INPUT_LINE.len() * LINES + 1) as u64;
        let fixture = JobsFixture::new(
            folder.path(),
            StoreLimits {
                spool_bytes,
                ..LIMITS
            },
        );
        let id = fixture.start().await;
        if cancel {
            fixture.jobs.cancel(&id, &Caller::default()).unwrap();
        } else {
            fixture.shut_down.send_replace(true);
        }
        let batch = fixture.wait_for_end(&id).await;
        assert_eq!(batch["status"], "failed", "{batch}");
        assert_eq!(batch["errors"]["data"][0]["code"], "spool_error", "{batch}");
    }
}

#[tokio::test]
async fn bytes_past_recorded_size_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let fixture = JobsFixture::new(folder.path(), LIMITS);
    let info = fixture.create_file().await;
    let mut appender = fixture.store().append(&info.id, 0).await.unwrap();
    appender.write(b"no json\n").await.unwrap();
    fixture
        .disk
        .fail_next([Fault::HalfThenError(Errno::NOSPC), Fault::Error(Errno::IO)]);
    appender.write(b"garbage\ngarbage\n").await.unwrap_err();
    appender.finish().unwrap();
    let id = fixture.start_with(info.id).await;
    let batch = fixture.wait_for_end(&id).await;
    assert_eq!(batch["request_counts"]["total"], 1, "{batch}");
}

#[tokio::test]
async fn order_survives_clock_steps() {
    let folder = tempfile::tempdir().unwrap();
    let fixture = JobsFixture::new(folder.path(), LIMITS);
    let first = fixture.start().await;
    // as if the clock had been an hour ahead when the first batch was created
    fixture
        .jobs
        .table
        .update(&first, |batch| batch.created_at += 3600);
    let second = fixture.start().await;
    fixture.jobs.settle().await;
    let listed = fixture.jobs.list(&Caller::default());
    let listed: Vec<_> = listed
        .iter()
        .map(|batch| batch["id"].as_str().unwrap())
        .collect();
    assert_eq!(listed, [second.as_str(), first.as_str()]);
}

/// Guards against a batch that loses outcomes because they are longer than its input may be.
#[tokio::test]
async fn result_may_exceed_file_limit() {
    let folder = tempfile::tempdir().unwrap();
    let file_bytes = (INPUT_LINE.len() * LINES) as u64;
    let fixture = JobsFixture::new(
        folder.path(),
        StoreLimits {
            file_bytes,
            ..LIMITS
        },
    );
    let id = fixture.start().await;
    let batch = fixture.wait_for_end(&id).await;
    assert_eq!(batch["status"], "completed", "{batch}");
    assert_eq!(fixture.outcomes(&batch).await.len(), LINES);
}
