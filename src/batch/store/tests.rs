use std::time::Duration;

use rstest::rstest;
use rustix::io::Errno;
use tokio::io::AsyncReadExt;

use super::*;
use crate::edge::Caller;
use crate::storage::failing_disk::FailingDisk;
use crate::storage::simulated_disk::Fault;

const LIMITS: StoreLimits = StoreLimits {
    file_bytes: 1 << 20,
    spool_bytes: 1 << 20,
    files: 8,
};

fn store(folder: &Path, disk: &FailingDisk) -> Store {
    Store::open_on(folder, LIMITS, Arc::new(disk.clone())).unwrap()
}

async fn create(store: &Store, size: FileSize) -> FileInfo {
    let new = NewFile {
        name: "a",
        purpose: "batch",
        size,
        owner: &Caller::default(),
    };
    store.create(new).await.unwrap()
}

impl StoredFile {
    /// The file's content, without bytes that a failed write left after it.
    pub(in crate::batch) async fn text(self) -> String {
        let mut text = String::new();
        self.file
            .take(self.info.bytes)
            .read_to_string(&mut text)
            .await
            .unwrap();
        text
    }
}

/// The content of a file, as readers get it.
async fn content(store: &Store, id: &str) -> String {
    store.read(id).await.unwrap().text().await
}

#[rstest]
#[case::full(Fault::HalfThenError(Errno::NOSPC))]
#[case::failing(Fault::HalfThenError(Errno::IO))]
#[tokio::test]
async fn half_written_bytes_are_overwritten(#[case] fault: Fault) {
    let folder = tempfile::tempdir().unwrap();
    let disk = FailingDisk::default();
    let store = store(folder.path(), &disk);
    let info = create(&store, FileSize::Announced(9)).await;
    let mut appender = store.append(&info.id, 0).await.unwrap();
    appender.write(b"one").await.unwrap();
    // both the write and the truncation to the recorded size fail
    disk.fail_next([fault, Fault::Error(Errno::IO)]);
    assert!(matches!(
        appender.write(b"garbage").await,
        Err(StoreError::TooLarge { .. })
    ));
    assert!(matches!(
        appender.write(b"xxxxxx").await,
        Err(StoreError::Io(_))
    ));
    assert_eq!(store.info(&info.id).unwrap().bytes, 3);
    drop(appender);
    // a resumed upload: the error reports the offset at which it has to continue
    assert!(matches!(
        store.append(&info.id, 6).await,
        Err(StoreError::WrongOffset { end: 3 })
    ));
    let mut appender = store.append(&info.id, 3).await.unwrap();
    appender.write(b"two").await.unwrap();
    appender.finish().unwrap();
    assert_eq!(content(&store, &info.id).await, "onetwo");
    // the used space equals the content that readers get
    assert_eq!(store.table.used_bytes(), 6);
}

#[tokio::test]
async fn failed_write_frees_its_space() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FailingDisk::default();
    let store = store(folder.path(), &disk);
    let info = create(&store, FileSize::Limited).await;
    let mut appender = store.append(&info.id, 0).await.unwrap();
    disk.fail_next([Fault::HalfThenError(Errno::NOSPC)]);
    appender.write(b"xxxxxx").await.unwrap_err();
    assert_eq!(std::fs::metadata(store.path(&info.id)).unwrap().len(), 0);
}

#[tokio::test]
async fn short_and_interrupted_writes_continue() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FailingDisk::default();
    let store = store(folder.path(), &disk);
    let interrupted = Fault::Error(Errno::INTR);
    disk.fail_next([interrupted]);
    let info = create(&store, FileSize::Limited).await;
    disk.fail_next([interrupted]);
    let mut appender = store.append(&info.id, 0).await.unwrap();
    disk.fail_next([Fault::Short, interrupted, Fault::Short, Fault::Short]);
    appender.write(b"one by one").await.unwrap();
    appender.finish().unwrap();
    assert_eq!(content(&store, &info.id).await, "one by one");
}

#[tokio::test]
async fn file_is_busy_while_written() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FailingDisk::default();
    let store = store(folder.path(), &disk);
    let info = create(&store, FileSize::Limited).await;
    let mut appender = store.append(&info.id, 0).await.unwrap();
    disk.block_writes(true);
    let write = appender.write(b"late");
    // the future is polled once, which starts the write
    assert!(futures_util::FutureExt::now_or_never(write).is_none());
    drop(appender);
    assert!(matches!(
        store.append(&info.id, 0).await,
        Err(StoreError::Busy)
    ));
    disk.block_writes(false);
    let written = async {
        while store.info(&info.id).unwrap().bytes == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), written)
        .await
        .expect("the write did not complete after its caller was dropped");
    assert_eq!(store.table.used_bytes(), 4);
}

/// Guards against a file that keeps its place in the store when its creation is given up while a
/// write is in progress.
#[tokio::test]
async fn dropped_reservation_leaves_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FailingDisk::default();
    let store = store(folder.path(), &disk);
    let new = NewFile {
        name: "a",
        purpose: "batch",
        size: FileSize::Limited,
        owner: &Caller::default(),
    };
    let reservation = store.reserve(new).unwrap();
    let mut appender = reservation.create().await.unwrap();
    appender.write(b"first").await.unwrap();
    disk.block_writes(true);
    assert!(futures_util::FutureExt::now_or_never(appender.write(b"late")).is_none());
    drop((appender, reservation));
    assert!(store.list().is_empty());
    disk.block_writes(false);
    let files = || std::fs::read_dir(folder.path()).unwrap().count();
    let removed = async {
        while files() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), removed)
        .await
        .expect("the file was not removed from the spool");
    assert_eq!(store.table.used_bytes(), 0);
}

/// Guards against uploads that nobody continues and that fill the store.
#[tokio::test]
async fn abandoned_uploads_make_room() {
    let folder = tempfile::tempdir().unwrap();
    let store = store(folder.path(), &FailingDisk::default());
    let kept = create(&store, FileSize::Announced(0)).await;
    store.append(&kept.id, 0).await.unwrap().finish().unwrap();
    let written = create(&store, FileSize::Announced(9)).await;
    let _appender = store.append(&written.id, 0).await.unwrap();
    for _ in 2..LIMITS.files {
        create(&store, FileSize::Announced(9)).await;
    }
    let new = NewFile {
        name: "a",
        purpose: "batch",
        size: FileSize::Limited,
        owner: &Caller::default(),
    };
    let now = Instant::now();
    assert!(matches!(
        store.reserve_at(new, now + Duration::from_secs(3500)),
        Err(StoreError::Full)
    ));
    let later = now + Duration::from_secs(3700);
    let reservation = store.reserve_at(new, later).unwrap();
    let ids: Vec<String> = store.list().into_iter().map(|info| info.id).collect();
    assert_eq!(ids, [reservation.keep().id, written.id, kept.id]);
}
