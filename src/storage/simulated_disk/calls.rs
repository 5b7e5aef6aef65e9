//! The calls of the simulated file system.

use std::io;
use std::path::Path;
use std::sync::Arc;

use super::{Fault, Inode, SimulatedDisk};
use crate::storage::{FileSystem, OpenFile};

impl FileSystem for SimulatedDisk {
    fn create(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>> {
        let mut state = self.state();
        state.record_call_without_data()?;
        let inode = state.inodes.len();
        match state.names.get(path).copied() {
            Some(inode) => state.inodes[inode].content.clear(),
            None => {
                state.inodes.push(Inode::default());
                state.names.insert(path.to_path_buf(), inode);
            }
        }
        let inode = state.find(path)?;
        Ok(Arc::new(SimulatedFile {
            disk: self.clone(),
            inode,
        }))
    }

    fn open(&self, path: &Path) -> io::Result<Arc<dyn OpenFile>> {
        let mut state = self.state();
        state.record_call_without_data()?;
        let inode = state.find(path)?;
        Ok(Arc::new(SimulatedFile {
            disk: self.clone(),
            inode,
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.record_call_without_data()?;
        let inode = state.find(from)?;
        state.names.remove(from);
        state.names.insert(to.to_path_buf(), inode);
        Ok(())
    }

    fn sync_directory(&self, _: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.record_call_without_data()?;
        state.durable_names = state.names.clone();
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.record_call_without_data()?;
        state.find(path)?;
        state.names.remove(path);
        Ok(())
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        state.record_call_without_data()?;
        let inode = state.find(path)?;
        Ok(state.inodes[inode].content.clone())
    }
}

struct SimulatedFile {
    disk: SimulatedDisk,
    inode: usize,
}

impl OpenFile for SimulatedFile {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize> {
        let mut state = self.disk.state();
        let fault = state.record_call()?;
        let bytes = if fault.is_some() {
            &bytes[..bytes.len().div_ceil(2)]
        } else {
            bytes
        };
        let content = &mut state.inodes[self.inode].content;
        let offset = offset as usize;
        let end = offset + bytes.len();
        if content.len() < end {
            content.resize(end, 0);
        }
        content[offset..end].copy_from_slice(bytes);
        match fault {
            Some(Fault::HalfThenError(errno)) => Err(errno.into()),
            Some(Fault::StopHalfway) => {
                state.stopped = true;
                Err(io::Error::other("stopped"))
            }
            _ => Ok(bytes.len()),
        }
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.record_call_without_data()?;
        state.inodes[self.inode].content.resize(length as usize, 0);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.record_call_without_data()?;
        let inode = &mut state.inodes[self.inode];
        inode.durable = inode.content.clone();
        Ok(())
    }
}
