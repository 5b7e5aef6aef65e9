//! Makes system calls of a process under test fail. The library `fault_injector` is loaded into the
//! process with `LD_PRELOAD`.

use std::ffi::OsString;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

pub use fault_plan::{Call, Fault, Rule, errno};
use fault_plan::{PLAN_VARIABLE, SEED_VARIABLE, STATE_VARIABLE, state, write_plan};

use crate::error::ClusterError;

/// Cargo package of the injector.
const PACKAGE: &str = "fault_injector";
/// File name of the built library.
const LIBRARY: &str = "libfault_injector.so";
/// Target folder of Cargo's profile `dev`; the folder of any other profile has
/// the profile's name.
const DEV_FOLDER: &str = "debug";
/// Name of the file that the injector shares with the test.
const STATE_FILE: &str = "fault-injector-state";

/// Error message if the profile's target folder can't be determined.
const NO_PROFILE_FOLDER: &str = "the test binary is not in a Cargo target folder";

/// The faults of a process, and the state file that the process shares with its test.
pub struct Injection {
    library: PathBuf,
    plan: String,
    seed: u64,
    state_path: PathBuf,
    state: File,
}

impl Injection {
    /// Creates a plan whose rules apply immediately. Creates the state file in this folder,
    /// where it remains in use when the process is restarted.
    pub fn new(folder: &Path, seed: u64, rules: &[Rule]) -> Result<Injection, ClusterError> {
        let library = library()?;
        std::fs::create_dir_all(folder)?;
        let state_path = folder.join(STATE_FILE);
        let state = File::options()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&state_path)?;
        state.set_len((state::WORD_COUNT * state::WORD_BYTES) as u64)?;
        let injection = Injection {
            library,
            plan: write_plan(rules),
            seed,
            state_path,
            state,
        };
        injection.arm(true)?;
        Ok(injection)
    }

    /// The environment variables that load and configure the injector in a process.
    pub fn environment(&self) -> [(&'static str, OsString); 4] {
        [
            ("LD_PRELOAD", self.library.clone().into()),
            (PLAN_VARIABLE, self.plan.clone().into()),
            (SEED_VARIABLE, self.seed.to_string().into()),
            (STATE_VARIABLE, self.state_path.clone().into()),
        ]
    }

    /// Sets whether the rules apply from now on.
    pub fn arm(&self, armed: bool) -> Result<(), ClusterError> {
        self.set(state::ARMED, u64::from(armed))
    }

    /// Sets the offset of the process's wall clock from now on.
    pub fn set_clock_offset(&self, milliseconds: i64) -> Result<(), ClusterError> {
        self.set(state::CLOCK_OFFSET, milliseconds.cast_unsigned())
    }

    /// Number of calls of this kind that the injector has made fail.
    pub fn count(&self, call: Call) -> Result<u64, ClusterError> {
        self.get(state::counter(call))
    }

    /// The kinds of call that the injector has made fail, each with its number of failed calls.
    pub fn counts(&self) -> Result<Vec<(Call, u64)>, ClusterError> {
        let mut counts = Vec::new();
        for call in Call::ALL {
            counts.push((call, self.count(call)?));
        }
        counts.retain(|(_, count)| *count > 0);
        Ok(counts)
    }

    /// Number of processes that have loaded the injector.
    pub fn starts(&self) -> Result<u64, ClusterError> {
        self.get(state::STARTS)
    }

    fn get(&self, word: usize) -> Result<u64, ClusterError> {
        let mut bytes = [0; state::WORD_BYTES];
        self.state
            .read_exact_at(&mut bytes, (word * state::WORD_BYTES) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    fn set(&self, word: usize, value: u64) -> Result<(), ClusterError> {
        self.state
            .write_all_at(&value.to_ne_bytes(), (word * state::WORD_BYTES) as u64)?;
        Ok(())
    }
}

/// The path of the injector library, which is built on first use in a test process. It can't be a
/// dependency of the test: Cargo doesn't build a `cdylib` for one, and a test linked to the library
/// would make its own calls fail.
fn library() -> Result<PathBuf, ClusterError> {
    static LIBRARY_PATH: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    LIBRARY_PATH
        .get_or_init(build_library)
        .clone()
        .map_err(ClusterError::InjectorUnavailable)
}

/// Builds the library in the target folder of the running test, with the test's profile.
fn build_library() -> Result<PathBuf, String> {
    let profile_folder = profile_folder()?;
    let target_folder = profile_folder.parent().ok_or(NO_PROFILE_FOLDER)?;
    let folder_name = profile_folder.file_name().and_then(|name| name.to_str());
    let profile = match folder_name.unwrap_or_default() {
        DEV_FOLDER => "dev",
        name => name,
    };
    let output = Command::new(env!("CARGO"))
        .args(["build", "--locked", "--offline"])
        .args(["--package", PACKAGE])
        .args(["--profile", profile])
        .arg("--target-dir")
        .arg(target_folder)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .map_err(|error| format!("cargo could not be started: {error}"))?;
    let library = profile_folder.join(LIBRARY);
    if output.status.success() && library.exists() {
        return Ok(library);
    }
    let log = String::from_utf8_lossy(&output.stderr);
    Err(format!(
        "`cargo build` failed or did not create {}: {log}",
        library.display()
    ))
}

/// The target folder of the profile that the running test was built with. The test's path is
/// `target/PROFILE/deps/TEST`.
fn profile_folder() -> Result<PathBuf, String> {
    let test = std::env::current_exe().map_err(|error| error.to_string())?;
    let folder = test.ancestors().nth(2).ok_or(NO_PROFILE_FOLDER)?;
    Ok(folder.to_path_buf())
}
