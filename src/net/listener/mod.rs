//! What every listening front needs: connections taken within the budget until the program's end, and a peer's
//! side of one of them.

mod peer;

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use super::budget::Budget;
use super::http::Buffer;
use crate::upkeep::Drained;

pub use peer::{Next, Peer};

/// How long a front waits for what its clients owe it.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// A connection on which no request begins is closed after this.
    pub idle: Duration,
    /// A request must be whole within this of its first byte, a connection's first one of the connection.
    pub arriving: Duration,
}

/// A client that takes nothing for so long is given up.
const STALLED: Duration = Duration::from_secs(20);
/// After the signal to end, connections are taken for so long: the platform still sends some.
const LINGER: Duration = Duration::from_millis(450);
/// A connection whose request isn't here whole by then is closed. Guards against a request that comes so late
/// that there is no time left to answer it before the platform ends the program.
pub const LAST_CALL: Duration = Duration::from_millis(600);
/// A drained router closes idle connections so long after the call: until then the platform's front, which asks for
/// its health now and then, may still send clients.
const EMPTY: Duration = Duration::from_millis(500);
/// A drained router gives up requests that are not here whole by then, so that none is young when it must be empty.
const EMPTY_CALL: Duration = Duration::from_millis(1800);
/// What a client goes on writing after its last answer is read for so long.
const DRAIN: Duration = Duration::from_secs(1);
/// How often a client that has written far ahead is looked at for its end. Well within 0.1 s: an attempt that begins
/// so long after its client has gone is a break.
const LOOK: Duration = Duration::from_millis(20);

/// What all listening fronts share.
#[derive(Clone)]
pub struct Shared {
    /// The clients' share of the budget of sockets.
    pub budget: Budget,
    /// Turns true when the program is to end.
    pub ending: watch::Receiver<bool>,
    /// When that was seen first.
    pub since: Arc<OnceLock<Instant>>,
    /// Whether another process has taken the listening socket over.
    pub succeeded: watch::Receiver<bool>,
    /// Since when the router is drained.
    pub drained: watch::Receiver<Drained>,
}

impl Shared {
    /// Waits for the signal to end and then until so long after it, the same instant for every connection.
    async fn after_end(&mut self, long: Duration) {
        turned(&mut self.ending).await;
        let since = *self.since.get_or_init(Instant::now);
        tokio::time::sleep_until((since + long).into()).await;
    }

    /// Whether so long has passed since the signal to end.
    fn ended(&self, long: Duration) -> bool {
        *self.ending.borrow() && self.since.get_or_init(Instant::now).elapsed() >= long
    }

    /// Waits until the router has been drained for so long, and as long has passed since a new connection's opening.
    async fn emptied(&mut self, opened: Option<Instant>, long: Duration) {
        loop {
            let drained = self.drained.wait_for(Option::is_some).await.ok().and_then(|since| *since);
            // nobody can drain it any more
            let Some(since) = drained else { return std::future::pending().await };
            tokio::select! {
                () = tokio::time::sleep_until((opened.map_or(since, |at| at.max(since)) + long).into()) => return,
                _ = self.drained.wait_for(Option::is_none) => {}
            }
        }
    }
}

/// Waits until a flag is true, or nobody can set it any more.
pub async fn turned(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|&set| set).await;
}

/// Takes connections until the program is to end and nothing more comes; returns once all of them are over.
pub async fn serve<F, Fut>(shared: Shared, patience: Patience, listener: TcpListener, handle: F)
where
    F: Fn(Peer) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let mut ending = shared.ending.clone();
    // dropped by every connection at its end
    let (alive, mut none_alive) = mpsc::channel::<()>(1);
    let mut last: Option<Instant> = None;
    loop {
        let until = last.unwrap_or_else(|| Instant::now() + Duration::from_secs(3600));
        tokio::select! {
            biased;
            () = turned(&mut ending), if last.is_none() => {
                let since = *shared.since.get_or_init(Instant::now);
                if *shared.succeeded.borrow() {
                    info!("ending: another process takes the connections");
                    break;
                }
                info!("ending: taking connections for a little longer");
                last = Some(since + LINGER);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let opened = Some(Instant::now());
                    // taken only now: guards against a connection that is closed to make room for nobody
                    let mut late = shared.clone();
                    let permit = tokio::select! {
                        permit = shared.budget.take() => permit,
                        () = late.after_end(LINGER) => None,
                    };
                    let Some(permit) = permit else { break };
                    let peer = Peer {
                        stream,
                        buffer: Buffer::default(),
                        shared: shared.clone(),
                        patience,
                        opened,
                        arriving: None,
                        _permit: permit,
                    };
                    let (handled, alive) = (handle(peer), alive.clone());
                    tokio::spawn(async move {
                        handled.await;
                        drop(alive);
                    });
                }
                Err(e) => {
                    // out of descriptors, or a connection that was gone again: wait a little rather than spin
                    warn!("accept: {e}");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            },
            // what the platform has sent in the meantime is taken first: this branch comes last
            () = tokio::time::sleep_until(until.into()), if last.is_some() => break,
        }
    }
    drop((listener, alive));
    let _ = none_alive.recv().await;
}

/// Shares one front among its connections.
pub fn handler<T, Fut>(front: Arc<T>, run: fn(Arc<T>, Peer) -> Fut) -> impl Fn(Peer) -> Fut
where
    Fut: Future<Output = ()> + Send + 'static,
{
    move |peer| run(front.clone(), peer)
}
