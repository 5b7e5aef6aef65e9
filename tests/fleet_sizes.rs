//! What the balancer of one gateway needs as the fleet grows to sixteen times its size and beyond,
//! its own traffic being the same: allocations, which are the same on every run, stand for its work
//! and memory.

mod common;

use common::counted::{Counted, allocated_bytes, live_bytes};
use common::fleet::*;
use common::*;
use rstest::rstest;
use stilespan::interface::*;

#[global_allocator]
static COUNTED: Counted = Counted;

/// The usual number of servers, sixteen times as many, and the most there may be.
const USUAL: u64 = 100;
const LARGE: [u64; 2] = [1_600, 3_200];
/// Bytes that the balancer may hold for a server, and may allocate for a server at a change to the
/// list.
const SHARE: isize = 1_000;
const CHANGE: usize = 500;
/// Requests in one measure.
const REQUESTS: u32 = 2_000;

/// A gateway that has the whole list, and what it keeps of it.
struct Measured {
    gateway: Gateway,
    servers: u64,
    before: isize,
    requests: u32,
}

impl Measured {
    fn new(servers: u64) -> Measured {
        let before = live_bytes();
        let balancer = stilespan::Balancer::new(rules(), 1, START);
        let mut gateway = Gateway {
            balancer,
            now: START,
        };
        gateway.step(
            0,
            vec![list(
                EndpointListKind::Persisted,
                (0..servers).map(entry).collect(),
            )],
        );
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
            let ask = Arrival {
                session: Some(u64::from(self.requests % 50)),
                ..arrival(self.requests)
            };
            for (request, _) in sends(&self.gateway.ask(10_000, ask)) {
                sent += 1;
                let answer = vec![
                    first(request, 0, 50_000),
                    ended(request, 0, Outcome::Completed, true),
                ];
                self.gateway.step(1_000, answer);
            }
        }
        ((allocated_bytes() - before) / REQUESTS as usize, sent)
    }

    /// Replaces every server by a new one, a twentieth at a time; the most bytes allocated for one
    /// change.
    fn replace(&mut self, generation: u64) -> usize {
        let (id, mut most) = (|n: u64, of: u64| ReplicaId(of * 1_000_000 + n), 0);
        let all: Vec<u64> = (0..self.servers).collect();
        for part in all.chunks(self.servers as usize / 20) {
            let gone = |&n: &u64| ReplicaEntry {
                replica: id(n, generation - 1),
                state: EndpointState::Removed,
                ..entry(n)
            };
            let new = |&n: &u64| ReplicaEntry {
                replica: id(n, generation),
                ..entry(n)
            };
            let entries = part.iter().map(gone).chain(part.iter().map(new)).collect();
            let before = allocated_bytes();
            self.gateway
                .step(300_000, vec![list(EndpointListKind::Partial, entries)]);
            most = most.max(allocated_bytes() - before);
        }
        most
    }
}

/// The page allows 1.4 times the processor time: a request's allocations may grow by no more, and
/// each is sent.
#[rstest]
fn a_request_allocates_as_much_in_a_large_fleet(#[values(LARGE[0], LARGE[1])] servers: u64) {
    let (usual, _) = Measured::new(USUAL).serve();
    let (large, sent) = Measured::new(servers).serve();
    assert!(
        10 * large <= 14 * usual,
        "{large} bytes a request, {usual} at the usual size"
    );
    assert_eq!(sent, REQUESTS);
}

/// The page allows 1.5 times the memory and 4 KB a server for the whole process: the balancer has a
/// quarter of that, also once every server has been replaced twice.
#[rstest]
fn memory_grows_by_little_a_server(#[values(LARGE[0], LARGE[1])] servers: u64) {
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
    let most = 3 * usual / 2 + SHARE * servers as isize;
    assert!(large <= most, "{large} bytes, {usual} at the usual size");
}

/// A change to the list allocates in proportion to the fleet, and no more.
#[rstest]
fn a_change_to_the_list_allocates_by_the_size_of_the_fleet(
    #[values(USUAL, LARGE[0], LARGE[1])] servers: u64,
) {
    let mut measured = Measured::new(servers);
    let most = measured.replace(1);
    assert!(most <= CHANGE * servers as usize, "{most} bytes");
}
