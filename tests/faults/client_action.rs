//! What a client may do next.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// The router closes a silent connection after this.
const IDLE: Duration = Duration::from_secs(2);
/// What a client does next.
#[derive(Clone, Copy, Debug)]
pub enum Move {
    /// Asks, and waits for the answer.
    Ask,
    /// Writes several requests at once.
    Pipeline(usize),
    /// Rests for about as long as the router keeps a silent connection, and asks.
    RestAndAsk(Duration),
    /// Writes in pieces, each so long after the last.
    Pieces(Duration),
    /// Asks and closes the connection so long after it.
    Leave(Duration),
    /// Asks and ends its side of the connection so long after it.
    HalfClose(Duration),
    /// Writes half a request and closes the connection.
    Half,
    /// Asks with a large body.
    Large(usize),
}

impl Move {
    pub fn draw(rng: &mut StdRng) -> Move {
        let wait = Duration::from_millis(rng.random_range(0..150));
        match rng.random_range(0..100) {
            0..40 => Move::Ask,
            40..55 => Move::Pipeline(rng.random_range(2..5)),
            55..63 => Move::RestAndAsk(
                IDLE + Duration::from_micros(rng.random_range(0..6_000)) - Duration::from_millis(3),
            ),
            63..73 => Move::Pieces(wait / 10),
            73..83 => Move::Leave(wait),
            83..88 => Move::HalfClose(wait),
            88..93 => Move::Half,
            _ => Move::Large(rng.random_range(40..200)),
        }
    }
}
