//! Which system calls of a run's routers fail, drawn from its seed: as often as on a busy system.

use std::time::Duration;

use cluster_test::injection::{Call, Fault, Rule, errno};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Makes these draws independent of the run's others, so that a seed has the same schedule with and
/// without failing calls.
const SALT: u64 = 0x5e_ed0f_ca11;
/// Probability of each fault in a run.
const CHANCE: f64 = 0.6;
/// Rates are drawn from this range.
const RATES: std::ops::Range<f64> = 0.005..0.02;
/// A process that can't make its listening socket doesn't start: sockets fail from here on.
const STARTED: Duration = Duration::from_secs(1);
/// Calls that move bytes over a socket.
const TRANSFERS: [Call; 6] = [
    Call::Recv,
    Call::Send,
    Call::Read,
    Call::Write,
    Call::Readv,
    Call::Writev,
];
/// Calls that may fail for a moment, and how.
const FAILURES: [(Call, &[i32]); 6] = [
    (Call::Peek, &[errno::EINTR]),
    (Call::Poll, &[errno::EINTR]),
    (Call::EpollWait, &[errno::EINTR]),
    (
        Call::Accept4,
        &[errno::ECONNABORTED, errno::ENFILE, errno::EINTR],
    ),
    (
        Call::Connect,
        &[
            errno::EADDRNOTAVAIL,
            errno::ENOBUFS,
            errno::ENETUNREACH,
            errno::EINTR,
        ],
    ),
    (Call::Socket, &[errno::ENFILE, errno::EMFILE]),
];

/// The rules of a seed. Transfers are interrupted or short in every run.
pub fn draw_rules(seed: u64) -> Vec<Rule> {
    let mut rng = StdRng::seed_from_u64(seed ^ SALT);
    let mut rules = Vec::new();
    let interrupted = rng.random_bool(0.5);
    for (fault, always) in [
        (Fault::Errno(errno::EINTR), interrupted),
        (Fault::Short, !interrupted),
    ] {
        if always || rng.random_bool(CHANCE) {
            let rate = rng.random_range(RATES);
            rules.extend(TRANSFERS.map(|call| Rule::new(call, fault, rate)));
        }
    }
    for (call, numbers) in FAILURES {
        if rng.random_bool(CHANCE) {
            let fault = Fault::Errno(*numbers.choose(&mut rng).expect("a number"));
            let from = if call == Call::Socket {
                STARTED
            } else {
                Duration::ZERO
            };
            rules.push(Rule {
                from,
                ..Rule::new(call, fault, rng.random_range(RATES))
            });
        }
    }
    rules
}
