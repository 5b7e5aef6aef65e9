//! Decides whether a call fails. The injector is initialised once, when the library is loaded. No
//! call fails before that, or if there is no plan.

use std::ffi::c_int;
use std::os::fd::AsRawFd;
use std::ptr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use fault_plan::{Call, Fault, Rule, state};

static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// Runs when the library is loaded, before the program's `main` and before it starts threads.
#[used]
#[unsafe(link_section = ".init_array")]
static AT_LOAD: extern "C" fn() = initialise;

struct Injector {
    rules: Vec<Rule>,
    seed: u64,
    /// Number of random numbers drawn so far.
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
        Err(message) => {
            eprintln!("fault injector: {message}; aborting the process");
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
            seed.ok_or_else(|| format!("{} is not a decimal number", fault_plan::SEED_VARIABLE))?;
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

    /// The next random number, at least 0 and less than 1.
    fn next_random(&self) -> f64 {
        let draw = self.draws.fetch_add(1, Ordering::Relaxed);
        (mix(self.seed.wrapping_add(draw)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Draws the fault of one call according to the plan. The caller must count the fault if it takes
/// effect.
pub fn draw(call: Call) -> Option<Fault> {
    INJECTOR.get()?.draw(call)
}

/// Draws the `errno` of one call that transfers no data, and counts the fault.
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

/// The current offset of the wall clock, in milliseconds.
pub fn clock_offset() -> i64 {
    let word = |injector: &Injector| injector.state[state::CLOCK_OFFSET].load(Ordering::Relaxed);
    INJECTOR.get().map_or(0, word).cast_signed()
}

/// Sets `errno` and returns -1, the result of a failed call.
pub fn fail(errno: c_int) -> c_int {
    // SAFETY: the address is that of the current thread's `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Maps the state file into memory until the process exits.
fn map_state() -> Result<&'static [AtomicU64], String> {
    let path = std::env::var_os(fault_plan::STATE_VARIABLE);
    let path = path.ok_or_else(|| format!("{} is not set", fault_plan::STATE_VARIABLE))?;
    let describe = |error: std::io::Error| format!("{}: {error}", path.display());
    let file = std::fs::File::options()
        .read(true)
        .write(true)
        .open(&path)
        .map_err(describe)?;
    let length = state::WORD_COUNT * state::WORD_BYTES;
    if file.metadata().map_err(describe)?.len() != length as u64 {
        return Err(format!("{} does not have {length} bytes", path.display()));
    }
    let access = libc::PROT_READ | libc::PROT_WRITE;
    // SAFETY: this creates a new mapping of a file of this length, at an address that the system
    // chooses.
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
        return Err(describe(std::io::Error::last_os_error()));
    }
    // SAFETY: the mapping has this length, is aligned to a page, is never unmapped, and is only
    // accessed through atomic words.
    Ok(unsafe { std::slice::from_raw_parts(address.cast(), state::WORD_COUNT) })
}

/// The output function of the SplitMix64 generator.
fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
