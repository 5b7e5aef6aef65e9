//! A file system in memory for tests. Any call may fail, be short, or be the last one before the
//! process or the machine stops. A stop of the machine may lose everything that wasn't synced.

mod calls;

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use rustix::io::Errno;

/// A fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The call fails.
    Error(Errno),
    /// A write transfers half of the bytes; any other call succeeds.
    Short,
    /// A write transfers half of the bytes and fails; any other call fails.
    HalfThenError(Errno),
    /// The process stops before the call.
    Stop,
    /// The process stops halfway through a write, or before any other call.
    StopHalfway,
}

/// Which unsynced changes are lost. A kill of the process loses nothing; a stop of the machine may
/// lose any of these.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    /// Nothing.
    Nothing,
    /// Creations and renames.
    Names,
    /// The content of files.
    Data,
    /// The second half of the content of files.
    HalfOfData,
    /// Creations, renames and content.
    NamesAndData,
}

impl Loss {
    /// All variants.
    pub const ALL: [Loss; 5] = [
        Loss::Nothing,
        Loss::Names,
        Loss::Data,
        Loss::HalfOfData,
        Loss::NamesAndData,
    ];
}

#[derive(Clone, Default)]
struct Inode {
    content: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Clone, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    faults: BTreeMap<usize, Fault>,
    calls: usize,
    stopped: bool,
}

impl State {
    /// Counts a call. Returns its error, or a fault that the caller has to apply to its bytes.
    fn record_call(&mut self) -> Result<Option<Fault>, io::Error> {
        let fault = self.faults.get(&self.calls).copied();
        self.calls += 1;
        self.stopped |= fault == Some(Fault::Stop);
        if self.stopped {
            return Err(io::Error::other("stopped"));
        }
        match fault {
            Some(Fault::Error(errno)) => Err(errno.into()),
            fault => Ok(fault),
        }
    }

    /// Counts a call that transfers no bytes, and returns its error.
    fn record_call_without_data(&mut self) -> io::Result<()> {
        match self.record_call()? {
            Some(Fault::HalfThenError(errno)) => Err(errno.into()),
            Some(Fault::StopHalfway) => {
                self.stopped = true;
                Err(io::Error::other("stopped"))
            }
            _ => Ok(()),
        }
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        self.names
            .get(path)
            .copied()
            .ok_or_else(|| Errno::NOENT.into())
    }
}

/// A simulated disk. Clones share its state.
#[derive(Clone, Default)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

impl SimulatedDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// The number of calls so far.
    pub fn calls(&self) -> usize {
        self.state().calls
    }

    /// Injects a fault into the call that follows the next `calls` calls.
    pub fn fault_after(&self, calls: usize, fault: Fault) {
        let mut state = self.state();
        let at = state.calls + calls;
        state.faults.insert(at, fault);
    }

    /// Makes all calls fail from now on, until [`SimulatedDisk::clear_faults`].
    pub fn fail_from_now(&self, errno: Errno) {
        let mut state = self.state();
        let from = state.calls;
        state
            .faults
            .extend((from..from + 100_000).map(|call| (call, Fault::Error(errno))));
    }

    /// Removes the faults that have not been injected yet.
    pub fn clear_faults(&self) {
        self.state().faults.clear();
    }

    /// The disk as the next process finds it after this loss.
    pub fn restarted(&self, loss: Loss) -> SimulatedDisk {
        let mut state = self.state().clone();
        (state.faults, state.stopped) = (BTreeMap::new(), false);
        if matches!(loss, Loss::Names | Loss::NamesAndData) {
            state.names = state.durable_names.clone();
        }
        for inode in &mut state.inodes {
            match loss {
                Loss::Nothing | Loss::Names => {}
                Loss::HalfOfData if inode.content != inode.durable => {
                    inode.content.truncate(inode.content.len() / 2);
                }
                Loss::HalfOfData => {}
                Loss::Data | Loss::NamesAndData => inode.content = inode.durable.clone(),
            }
        }
        SimulatedDisk(Arc::new(Mutex::new(state)))
    }

    /// A file's content. Not affected by faults.
    pub fn content(&self, path: &Path) -> Option<Vec<u8>> {
        let state = self.state();
        state
            .names
            .get(path)
            .map(|&inode| state.inodes[inode].content.clone())
    }

    /// Creates a durable file. Not affected by faults.
    pub fn put(&self, path: &Path, content: &[u8]) {
        let mut state = self.state();
        let inode = state.inodes.len();
        state.inodes.push(Inode {
            content: content.to_vec(),
            durable: content.to_vec(),
        });
        state.names.insert(path.to_path_buf(), inode);
        state.durable_names.insert(path.to_path_buf(), inode);
    }

    /// The names of all files.
    pub fn names(&self) -> Vec<PathBuf> {
        self.state().names.keys().cloned().collect()
    }
}
