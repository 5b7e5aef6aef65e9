use rstest::rstest;
use rustix::io::Errno;

use super::*;
use crate::interface::Timestamp;
use crate::ops::exclusions::Exclusion;
use crate::storage::simulated_disk::{Fault, Loss, SimulatedDisk};

fn file() -> AtomicFile {
    AtomicFile::new("/folder/stilespan.orders".into())
}

fn maintenance(name: &str) -> MaintenanceState {
    MaintenanceState {
        exclusions: vec![Exclusion {
            name: name.into(),
            excluded_at: Timestamp::from_micros(5),
            restored_at: None,
        }],
        is_drained: true,
    }
}

async fn loaded(disk: &SimulatedDisk) -> MaintenanceState {
    load(&file(), Arc::new(disk.clone()))
        .await
        .unwrap_or_default()
}

#[rstest]
#[case::interrupted(Errno::INTR)]
#[case::failing(Errno::IO)]
#[case::process_out_of_descriptors(Errno::MFILE)]
#[case::system_out_of_descriptors(Errno::NFILE)]
#[tokio::test]
async fn failing_read_is_retried(#[case] errno: Errno) {
    let disk = SimulatedDisk::default();
    disk.put(file().path(), maintenance("s-a").to_text().as_bytes());
    for call in 0..3 {
        disk.fault_after(call, Fault::Error(errno));
    }
    assert_eq!(loaded(&disk).await, maintenance("s-a"));
}

#[tokio::test]
async fn copy_replaces_a_torn_file() {
    let disk = SimulatedDisk::default();
    let text = maintenance("s-a").to_text();
    disk.put(file().copy(), text.as_bytes());
    for length in 0..text.len() {
        disk.put(file().path(), &text.as_bytes()[..length]);
        assert_eq!(loaded(&disk).await, maintenance("s-a"), "{length} bytes");
    }
}

#[tokio::test]
async fn copy_replaces_an_unreadable_file() {
    let disk = SimulatedDisk::default();
    disk.put(file().path(), maintenance("s-b").to_text().as_bytes());
    disk.put(file().copy(), maintenance("s-a").to_text().as_bytes());
    for call in 0..READ_ATTEMPTS {
        disk.fault_after(call, Fault::Error(Errno::IO));
    }
    assert_eq!(loaded(&disk).await, maintenance("s-a"));
}

#[tokio::test]
async fn removed_file_means_default_state() {
    let disk = SimulatedDisk::default();
    disk.put(file().copy(), maintenance("s-a").to_text().as_bytes());
    assert_eq!(loaded(&disk).await, MaintenanceState::default());
}

#[tokio::test]
async fn state_survives_interrupted_write() {
    let (old, new) = (maintenance("s-a"), maintenance("s-b"));
    let mut call = 0;
    loop {
        let disk = SimulatedDisk::default();
        file().write(&disk, old.to_text().as_bytes()).unwrap();
        disk.fault_after(call, Fault::StopHalfway);
        let acknowledged = file().write(&disk, new.to_text().as_bytes()).is_ok();
        for loss in Loss::ALL {
            let found = loaded(&disk.restarted(loss)).await;
            assert!(
                found == new || found == old && !acknowledged,
                "call {call}, {loss:?}: {found:?}"
            );
        }
        if acknowledged {
            break;
        }
        call += 1;
    }
    assert_eq!(call, 5);
}

#[test]
fn stale_temporary_files_are_removed() {
    let folder = tempfile::tempdir().unwrap();
    let file = AtomicFile::new(folder.path().join("stilespan.orders"));
    // process 1 is always running, and no process has an id as high as 4294967294
    let names = [
        "stilespan.orders",
        "stilespan.orders.copy",
        "stilespan.sock",
        "stilespan.1",
        "other.4294967294",
    ];
    let own = format!("stilespan.{}", std::process::id());
    for name in names
        .into_iter()
        .chain([own.as_str(), "stilespan.4294967294"])
    {
        std::fs::write(folder.path().join(name), "x").unwrap();
    }
    remove_stale_temporary_files(&file);
    let mut remaining: Vec<_> = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    remaining.sort();
    let mut expected = names;
    expected.sort();
    assert_eq!(remaining, expected);
}
