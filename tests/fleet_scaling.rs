//! Work and memory of one gateway's balancer as the fleet grows to sixteen times its size and
//! beyond under the same traffic. Both are measured as allocations, which are the same on every
//! run.

mod common;

use common::counting_allocator::{CountingAllocator, allocated_bytes, live_bytes};
use common::fleet::*;
use common::*;
use rstest::rstest;
use stilespan::interface::*;

#[global_allocator]
static COUNTED: CountingAllocator = CountingAllocator;

/// The usual number of servers, sixteen times as many, and the maximum.
const USUAL: u64 = 100;
const LARGE: [u64; 2] = [1_600, 3_200];
/// Bytes that the balancer may hold for a server.
const MAX_LIVE_PER_SERVER: isize = 1_000;
/// Bytes that it may allocate for a server at a change to the list.
const MAX_CHANGE_PER_SERVER: usize = 500;
/// Requests in one measurement.
const REQUESTS: u32 = 2_000;

/// A gateway with the complete list, and the bytes that were live before it was made.
struct Measured {
    gateway: Gateway,
    servers: u64,
    before: isize,
    requests: u32,
}

impl Measured {
    fn new(servers: u64) -> Measured {
        let before = live_bytes();
        let gateway = Gateway::seeded(slow_start_settings(), 1, (0..servers).map(entry).collect());
        Measured {
            gateway,
            servers,
            before,
            requests: 0,
        }
    }

    /// Bytes that the balancer holds.
    fn live(&self) -> isize {
        live_bytes() - self.before
    }

    /// Serves requests, one each 10 ms; bytes allocated for one, and requests sent.
    fn serve(&mut self) -> (usize, u32) {
        let (before, mut sent) = (allocated_bytes(), 0);
        for _ in 0..REQUESTS {
            self.requests += 1;
            let request = arrival(self.requests).with_session(u64::from(self.requests % 50));
            for (id, _) in sends(&self.gateway.submit(10_000, request)) {
                sent += 1;
                let answer = vec![
                    first_token(id, 0, 50_000),
                    attempt_ended(id, 0, Outcome::Completed, true),
                ];
                self.gateway.step(1_000, answer);
            }
        }
        ((allocated_bytes() - before) / REQUESTS as usize, sent)
    }

    /// Replaces every server by a new one, a twentieth at a time; the maximum of bytes allocated
    /// for one change.
    fn replace(&mut self, generation: u64) -> usize {
        let (id, mut max) = (|n: u64, of: u64| ReplicaId(of * 1_000_000 + n), 0);
        let all: Vec<u64> = (0..self.servers).collect();
        for part in all.chunks(self.servers as usize / 20) {
            let removed = |&n: &u64| {
                entry(n)
                    .with_replica(id(n, generation - 1))
                    .with_state(EndpointState::Removed)
            };
            let new = |&n: &u64| entry(n).with_replica(id(n, generation));
            let entries = part
                .iter()
                .map(removed)
                .chain(part.iter().map(new))
                .collect();
            let before = allocated_bytes();
            self.gateway.step(
                300_000,
                vec![endpoints_updated(EndpointListKind::Partial, entries)],
            );
            max = max.max(allocated_bytes() - before);
        }
        max
    }
}

/// The processor time may grow 1.4 times: a request's allocations may grow by no more, and each is
/// sent.
#[rstest]
fn allocations_hardly_grow_with_the_fleet(#[values(LARGE[0], LARGE[1])] servers: u64) {
    let (usual, _) = Measured::new(USUAL).serve();
    let (large, sent) = Measured::new(servers).serve();
    assert!(
        10 * large <= 14 * usual,
        "{large} bytes a request, {usual} at the usual size"
    );
    assert_eq!(sent, REQUESTS);
}

/// The memory of the process may grow 1.5 times and by 4 KB a server: the balancer has a quarter of
/// that, also once every server has been replaced twice.
#[rstest]
fn memory_grows_little_with_the_fleet(#[values(LARGE[0], LARGE[1])] servers: u64) {
    let measure = |servers| {
        let mut measured = Measured::new(servers);
        measured.serve();
        let served = measured.live();
        measured.replace(1);
        measured.replace(2);
        assert!(
            10 * measured.live() <= 11 * served,
            "{} bytes after {served}",
            measured.live()
        );
        served.max(measured.live())
    };
    let (usual, large) = (measure(USUAL), measure(servers));
    let limit = 3 * usual / 2 + MAX_LIVE_PER_SERVER * servers as isize;
    assert!(large <= limit, "{large} bytes, {usual} at the usual size");
}

/// A change to the list allocates in proportion to the fleet, and no more.
#[rstest]
fn list_change_allocates_in_proportion(#[values(USUAL, LARGE[0], LARGE[1])] servers: u64) {
    let mut measured = Measured::new(servers);
    let max = measured.replace(1);
    assert!(
        max <= MAX_CHANGE_PER_SERVER * servers as usize,
        "{max} bytes"
    );
}
