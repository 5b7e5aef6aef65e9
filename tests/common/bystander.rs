//! A client whose requests must all be answered in time, whatever other clients do.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::peers::*;

/// Time until a client observes what the router did, on a busy machine.
pub const SLACK: Duration = Duration::from_millis(400);

/// Another client of the same router, which sends requests until it is stopped.
pub struct Bystander {
    stop: tokio::sync::oneshot::Sender<()>,
    requests: tokio::task::JoinHandle<usize>,
}

impl Bystander {
    /// Starts to send requests.
    pub fn start(router: &Router) -> Bystander {
        let (stop, mut stopped) = tokio::sync::oneshot::channel();
        let address = router.platform.clone();
        let requests = tokio::spawn(async move {
            let (mut client, mut answered) = (Client::new(&address).await, 0);
            while stopped.try_recv().is_err() {
                let start = Instant::now();
                let got = client.call(&request("hint", 1000, "")).await;
                assert!(got.whole && got.head.status == 200, "{got:?}");
                assert!(
                    start.elapsed() < Duration::from_millis(1000),
                    "after {:?}",
                    start.elapsed()
                );
                answered += 1;
                sleep(Duration::from_millis(10)).await;
            }
            answered
        });
        Bystander { stop, requests }
    }

    /// Fails unless all of its requests were answered in time.
    pub async fn served(self) {
        let _ = self.stop.send(());
        assert!(self.requests.await.expect("each was answered") > 0);
    }
}
