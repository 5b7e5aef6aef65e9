//! Decides whether a call fails. Initialised once when the library is loaded; before that, and
//! without a plan, no call fails.

use std::ffi::c_int;
use std::os::fd::AsRawFd;
use std::ptr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use fault_plan::{Call, Fault, Rule, state};

static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// Runs when the library is loaded, before the program's `main` and its threads.
#[used]
#[unsafe(link_section = ".init_array")]
static AT_LOAD: extern "C" fn() = initialise;

struct Injector {
    rules: Vec<Rule>,
    seed: u64,
    /// Random numbers drawn so far.
    draws: AtomicU64,
    start: Instant,
    state: &'static [AtomicU64],
}

extern "C" fn initialise() {
    let Some(plan) = std::env::var_os(fault_plan::PLAN_VARIABLE) else {
        return;
    };
    match Injector::new(&plan.to_string_lossy()) {
        Ok(injector) => _ = INJECTOR.set(injector),
        Err(problem) => {
            eprintln!("fault injector: {problem}");
            std::process::abort();
        }
    }
}

impl Injector {
    fn new(plan: &str) -> Result<Injector, String> {
        let rules = fault_plan::parse_plan(plan).map_err(|error| error.to_string())?;
        let seed = std::env::var(fault_plan::SEED_VARIABLE)
            .ok()
            .and_then(|seed| seed.parse().ok());
        let seed: u64 =
            seed.ok_or_else(|| format!("{} is no number", fault_plan::SEED_VARIABLE))?;
        let state = map_state()?;
        let starts = state[state::STARTS].fetch_add(1, Ordering::Relaxed);
        let seed = mix(seed ^ mix(starts));
        Ok(Injector {
            rules,
            seed,
            draws: AtomicU64::new(0),
            start: Instant::now(),
            state,
        })
    }

    fn draw(&self, call: Call) -> Option<Fault> {
        let mut rules = self
            .rules
            .iter()
            .filter(|rule| rule.call == call)
            .peekable();
        rules.peek()?;
        if self.state[state::ARMED].load(Ordering::Relaxed) == 0 {
            return None;
        }
        let age = self.start.elapsed();
        rules
            .find(|rule| rule.applies_at(age) && self.next_random() < rule.rate)
            .map(|rule| rule.fault)
    }

    /// The next random number, from 0 to below 1.
    fn next_random(&self) -> f64 {
        let draw = self.draws.fetch_add(1, Ordering::Relaxed);
        (mix(self.seed.wrapping_add(draw)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Draws the fault of one call by the plan. The caller counts it if it takes effect.
pub fn draw(call: Call) -> Option<Fault> {
    INJECTOR.get()?.draw(call)
}

/// Draws the `errno` of one call that transfers no data, and counts it.
pub fn failure(call: Call) -> Option<c_int> {
    match draw(call)? {
        Fault::Errno(errno) => {
            count(call);
            Some(errno)
        }
        Fault::Short => None,
    }
}

/// Counts a call that was made to fail.
pub fn count(call: Call) {
    if let Some(injector) = INJECTOR.get() {
        injector.state[state::counter(call)].fetch_add(1, Ordering::Relaxed);
    }
}

/// The offset of the wall clock in milliseconds.
pub fn clock_offset() -> i64 {
    let word = |injector: &Injector| injector.state[state::CLOCK_OFFSET].load(Ordering::Relaxed);
    INJECTOR.get().map_or(0, word).cast_signed()
}

/// Sets `errno` and returns -1, the result of a failed call.
pub fn fail(errno: c_int) -> c_int {
    // SAFETY: the address is that of the thread's own `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Maps the state file for as long as the process runs.
fn map_state() -> Result<&'static [AtomicU64], String> {
    let path = std::env::var_os(fault_plan::STATE_VARIABLE);
    let path = path.ok_or_else(|| format!("{} is not set", fault_plan::STATE_VARIABLE))?;
    let problem = |error: std::io::Error| format!("{}: {error}", path.display());
    let file = std::fs::File::options()
        .read(true)
        .write(true)
        .open(&path)
        .map_err(problem)?;
    let length = state::WORD_COUNT * state::WORD_BYTES;
    if file.metadata().map_err(problem)?.len() != length as u64 {
        return Err(format!("{} has not {length} bytes", path.display()));
    }
    let access = libc::PROT_READ | libc::PROT_WRITE;
    // SAFETY: a new mapping at an address of the system's choice, of a file of this length.
    let address = unsafe {
        libc::mmap(
            ptr::null_mut(),
            length,
            access,
            libc::MAP_SHARED,
            file.as_raw_fd(),
            0,
        )
    };
    if address == libc::MAP_FAILED {
        return Err(problem(std::io::Error::last_os_error()));
    }
    // SAFETY: the mapping has this length, begins at a page, is never unmapped, and is used by
    // atomic words alone.
    Ok(unsafe { std::slice::from_raw_parts(address.cast(), state::WORD_COUNT) })
}

/// The output function of the SplitMix64 generator.
fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
