//! A link: a TCP relay between a router and one of its peers that applies an injected fault.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::scenario::LinkFault;

/// Maximum number of bytes buffered in each direction of a connection.
const CHUNK_BYTES: usize = 16 << 10;
/// Time that the task of a connection waits after one direction has ended. The wait is intended to
/// let a last response arrive, but has no such effect: `select!` drops the other direction first.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// A relay to one address. Dropping it stops the relay and ends its open connections.
pub struct Link {
    /// The address that the relay listens on.
    pub address: SocketAddr,
    fault: watch::Sender<Option<LinkFault>>,
    acceptor: JoinHandle<()>,
}

/// The direction of data through a link.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From the connecting side.
    Requests,
    /// To the connecting side.
    Responses,
}

/// The state that all connections of a link share.
#[derive(Clone)]
struct Relay {
    destination: SocketAddr,
    fault: watch::Receiver<Option<LinkFault>>,
    rng: Arc<Mutex<StdRng>>,
}

impl Link {
    /// Opens a relay to an address. The seed determines the random disconnects.
    pub async fn open(destination: SocketAddr, seed: u64) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, receiver) = watch::channel(None);
        let relay = Relay {
            destination,
            fault: receiver,
            rng: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
        };
        let acceptor = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(relay.clone().serve(stream));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Link {
            address,
            fault,
            acceptor,
        })
    }

    /// Sets the current fault; `None` passes all data.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

impl Relay {
    /// Relays one connection to its end, or until the link disconnects.
    async fn serve(self, stream: TcpStream) {
        let mut disconnect = self.fault.clone();
        tokio::select! {
            () = self.relay(stream) => {}
            _ = disconnect.wait_for(|fault| *fault == Some(LinkFault::Disconnect)) => {}
        }
    }

    async fn relay(mut self, source: TcpStream) {
        // a connection that is opened on a stalled link stays open and silent
        let passes = |fault: &Option<LinkFault>| !stalls(*fault, Direction::Requests);
        let _ = self.fault.wait_for(passes).await;
        let Ok(destination) = TcpStream::connect(self.destination).await else {
            return;
        };
        let _ = (source.set_nodelay(true), destination.set_nodelay(true));
        let (from_source, to_source) = source.into_split();
        let (from_destination, to_destination) = destination.into_split();
        let requests = self
            .clone()
            .copy(from_source, to_destination, Direction::Requests);
        let responses = self.copy(from_destination, to_source, Direction::Responses);
        // when one direction ends, `select!` drops the other one and the data that it still has
        tokio::select! {
            reached_end = requests => if reached_end { sleep(FLUSH_TIME).await },
            reached_end = responses => if reached_end { sleep(FLUSH_TIME).await },
        }
    }

    /// Copies the data of one direction and applies the current fault. Returns `true` at the end of
    /// the data and `false` if the connection broke.
    async fn copy(
        mut self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        direction: Direction,
    ) -> bool {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let length = match from.read(&mut chunk).await {
                Ok(0) => return true,
                Ok(length) => length,
                Err(_) => return false,
            };
            let passes = |fault: &Option<LinkFault>| !stalls(*fault, direction);
            if self.fault.wait_for(passes).await.is_err() {
                return false;
            }
            let fault = *self.fault.borrow();
            match fault {
                Some(LinkFault::Delay(milliseconds)) => {
                    sleep(Duration::from_millis(milliseconds)).await;
                }
                Some(LinkFault::DisconnectPercent(percent)) if self.draw(percent) => return false,
                _ => {}
            }
            if to.write_all(&chunk[..length]).await.is_err() {
                return false;
            }
        }
    }

    /// Returns `true` with the given probability in percent.
    fn draw(&self, percent: u8) -> bool {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..100) < percent
    }
}

fn stalls(fault: Option<LinkFault>, direction: Direction) -> bool {
    match fault {
        Some(LinkFault::Stall) => true,
        Some(LinkFault::StallRequests) => direction == Direction::Requests,
        Some(LinkFault::StallResponses) => direction == Direction::Responses,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
