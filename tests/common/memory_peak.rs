//! The anonymous memory of a child process, which the platform counts against its limit.
#![allow(dead_code)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// The interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Samples the memory of a process until the process ends, and keeps the highest sample.
pub struct MemoryPeak(Arc<AtomicU64>);

impl MemoryPeak {
    pub fn watch(process_id: u32) -> MemoryPeak {
        let peak = Arc::new(AtomicU64::new(0));
        let sampled = peak.clone();
        thread::spawn(move || {
            while let Some(kib) = anonymous_kib(process_id) {
                sampled.fetch_max(kib, Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        MemoryPeak(peak)
    }

    /// The highest sample, in MiB.
    pub fn mib(&self) -> u64 {
        self.0.load(Ordering::Relaxed) >> 10
    }
}

/// The anonymous memory of a process in KiB; `None` if the process has ended.
fn anonymous_kib(process_id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse().ok()
}
