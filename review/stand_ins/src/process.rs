//! The two system calls that the cases need and the standard library lacks: one to kill a process
//! that a case has started, and one that ends a process with its case, however the case ends.

use std::os::unix::process::CommandExt;
use std::process::Command;

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Kills a process that the case has started.
pub(crate) fn kill_process(id: u32) {
    // SAFETY: the call has no memory of ours to touch
    unsafe {
        kill(id as i32, SIGKILL);
    }
}

/// Lets a process end when the case does.
pub(crate) fn end_with_parent(command: &mut Command) {
    // SAFETY: between fork and exec the child makes this one system call
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}
