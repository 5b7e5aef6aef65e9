//! What two processes of one router owe each other while one replaces the other: orders, list, shares of the limits,
//! and the word that the new one has taken over. Lines of JSON over a Unix socket in the router's own folder.

use std::collections::HashMap;
use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::budget::Budget;
use super::http::Buffer;
use super::list::RawList;
use super::listener::{LAST_CALL, turned};
use crate::core::ListOrder;
use crate::interface::ListKind;
use crate::ops::kept::Orders;
use crate::upkeep::{Call, Upkeep};

/// The form of the messages.
const VERSION: u32 = 1;
/// How long a process that starts waits for the one before it to answer, and for its share. Guards against one that
/// hangs: the new one then goes by the file, and by half of the limits.
const PATIENCE: Duration = Duration::from_millis(600);
/// A message holds so much at most: a list.
const MAX_LINE: usize = 4 << 20;
/// Messages that wait for the other process at the most.
const MAILBOX: usize = 64;
/// Processes that are met at once at the most.
const MOST: usize = 4;
/// How often it is looked whether this process can serve.
const LOOK: Duration = Duration::from_millis(5);
/// A folder's path may be so long, for a socket's path with a name in it to be allowed.
const MAX_FOLDER: usize = 64;

/// What goes between the two.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    /// From the new process, first.
    Hello { version: u32 },
    /// The answer to it: orders in force, and the list as it is held.
    Met { orders: Orders, list: Option<RawList> },
    /// The list, as it is held now.
    List(RawList),
    /// So much of the limits is the new process's from now on.
    Share([usize; 3]),
    /// The new process serves.
    Ready,
    /// The old one knows.
    Taken,
    /// An operator's call that concerns both.
    Call { id: u64, call: Call },
    /// It is carried out, or could not be.
    Done { id: u64, done: bool },
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The limits that the processes of one router share: clients' sockets, model servers' sockets, room for bodies.
pub struct Shares {
    /// The clients' share of the sockets.
    pub clients: Budget,
    /// The model servers' share of the sockets.
    pub servers: Budget,
    /// Room for bodies, in KiB.
    pub bodies: Arc<Semaphore>,
    whole: [usize; 3],
    held: Mutex<[usize; 3]>,
}

impl Shares {
    /// The whole limits, or nothing yet.
    pub fn new(descriptors: usize, bodies: usize, all: bool) -> Shares {
        let (clients, servers) = Budget::sizes(descriptors);
        let whole = [clients, servers, bodies];
        let held = if all { whole } else { [0; 3] };
        Shares {
            clients: Budget::new(held[0]),
            servers: Budget::new(held[1]),
            bodies: Arc::new(Semaphore::new(held[2])),
            whole,
            held: Mutex::new(held),
        }
    }

    fn held(&self) -> [usize; 3] {
        *lock(&self.held)
    }

    fn grow(&self, by: [usize; 3]) {
        let mut held = lock(&self.held);
        // guards against a share that is given twice
        let by: [usize; 3] = std::array::from_fn(|k| by[k].min(self.whole[k] - held[k]));
        for k in 0..by.len() {
            held[k] += by[k];
        }
        self.clients.grow(by[0]);
        self.servers.grow(by[1]);
        self.bodies.add_permits(by[2]);
    }

    fn grow_to(&self, part: usize) {
        let held = self.held();
        self.grow(std::array::from_fn(|k| (self.whole[k] / part).saturating_sub(held[k])));
    }

    /// Gives so many of one kind away as they fall free, asking idle connections to close; each part is told.
    async fn cede(&self, kind: usize, mut left: usize, given: &mpsc::UnboundedSender<[usize; 3]>) {
        while left > 0 {
            let got = match kind {
                0 => self.clients.cede(left).await,
                1 => self.servers.cede(left).await,
                _ => {
                    let Ok(one) = self.bodies.acquire().await else { return };
                    one.forget();
                    1 + self.bodies.forget_permits(left - 1)
                }
            };
            if got == 0 {
                return;
            }
            left -= got;
            lock(&self.held)[kind] -= got;
            let mut share = [0; 3];
            share[kind] = got;
            if given.send(share).is_err() {
                return self.grow(share);
            }
        }
    }
}

/// The router's own folder, where its processes meet.
pub struct Room {
    folder: PathBuf,
    _open: Option<File>,
}

impl Room {
    /// This folder. A long path is replaced by one through an open descriptor: a socket's has to be short.
    pub fn new(folder: &Path) -> std::io::Result<Room> {
        if folder.as_os_str().len() <= MAX_FOLDER {
            return Ok(Room { folder: folder.to_path_buf(), _open: None });
        }
        let open = File::open(folder)?;
        Ok(Room { folder: format!("/proc/self/fd/{}", open.as_raw_fd()).into(), _open: Some(open) })
    }

    /// The file that keeps orders.
    pub fn orders(&self) -> PathBuf {
        self.folder.join("stilespan.orders")
    }

    fn socket(&self) -> PathBuf {
        self.folder.join("stilespan.sock")
    }

    /// The orders that were kept; none where there is no such file, or none that can be read.
    pub fn kept(&self) -> Orders {
        let file = self.orders();
        let text = match std::fs::read(&file) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Orders::default(),
            Err(e) => {
                warn!("{}: {e}; starting without bans or drain", file.display());
                return Orders::default();
            }
        };
        Orders::read(&text).unwrap_or_else(|e| {
            warn!("{}: {e}; starting without bans or drain", file.display());
            Orders::default()
        })
    }

    /// Meets the process that has the path, if one has.
    pub async fn meet(&self) -> Option<Meeting> {
        let stream = UnixStream::connect(self.socket()).await.ok()?;
        let (read, mut write) = stream.into_split();
        let mut meeting = Meeting { read, buffer: Buffer::default(), write: None, orders: None, list: None };
        let met = timeout(PATIENCE, async {
            send(&mut write, &Message::Hello { version: VERSION }).await?;
            next(&mut meeting.buffer, &mut meeting.read).await
        });
        match met.await {
            Ok(Ok(Some(Message::Met { orders, list }))) => {
                info!("met the process before this one");
                (meeting.orders, meeting.list) = (Some(orders), list);
            }
            Ok(Ok(None) | Err(_)) => return None,
            _ => warn!("the process before this one doesn't answer; going by the file"),
        }
        meeting.write = Some(write);
        Some(meeting)
    }

    /// Takes the path: whoever starts from now on meets this process.
    fn bind(&self) -> std::io::Result<UnixListener> {
        let own = self.folder.join(format!("stilespan.{}.sock", std::process::id()));
        let _ = std::fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        std::fs::rename(&own, self.socket())?;
        Ok(listener)
    }
}

/// The process before this one, and what it said.
pub struct Meeting {
    read: OwnedReadHalf,
    buffer: Buffer,
    write: Option<OwnedWriteHalf>,
    /// Its orders, where it answered.
    pub orders: Option<Orders>,
    /// Its list.
    pub list: Option<RawList>,
}

async fn send(write: &mut OwnedWriteHalf, message: &Message) -> std::io::Result<()> {
    let mut line = serde_json::to_vec(message).map_err(std::io::Error::other)?;
    line.push(b'\n');
    write.write_all(&line).await
}

/// The next message; none at the end. Cancel safe.
async fn next(buffer: &mut Buffer, read: &mut OwnedReadHalf) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.bytes().iter().position(|&b| b == b'\n') {
            let line = buffer.copy_out(end + 1);
            return serde_json::from_slice(&line).map(Some).map_err(std::io::Error::other);
        }
        if buffer.bytes().len() > MAX_LINE {
            return Err(std::io::Error::other("a message without end"));
        }
        if buffer.fill(read).await? == 0 {
            return Ok(None);
        }
    }
}

/// Which side of a replacement the other process is on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Other {
    Before,
    After,
}

/// This process's side of replacements.
pub struct Handover {
    /// The folder.
    pub room: Room,
    /// What operators ask for.
    pub upkeep: Arc<Upkeep>,
    /// The limits.
    pub shares: Arc<Shares>,
    /// The list as it is held.
    pub list: watch::Receiver<Option<RawList>>,
    /// The names of the zones.
    pub localities: Vec<String>,
    /// The list's actor.
    pub asks: mpsc::Sender<ListOrder>,
    /// Turns true when the program is to end.
    pub ending: watch::Receiver<bool>,
    /// Turns true once another process has taken over.
    pub succeeded: watch::Sender<bool>,
    /// The path is to be taken (anew).
    pub path: Notify,
    /// The path is this process's, unless another has come since. Guards against a process that meets itself.
    pub owner: AtomicBool,
}

impl Handover {
    /// Starts this process's side. Done once it may accept clients: at once where there is no process before it,
    /// else once it has the list and a share, or the other has gone.
    pub async fn start(self: Arc<Self>, before: Option<Meeting>) {
        let met = before.is_some();
        let gone = Arc::<AtomicBool>::default();
        let (tell, told) = oneshot::channel();
        if let Some(meeting) = before {
            let (me, gone) = (self.clone(), gone.clone());
            tokio::spawn(async move { me.follow(meeting, told, &gone).await });
        }
        let start = tokio::time::Instant::now();
        while met && !gone.load(Ordering::Relaxed) {
            if self.shares.held()[0] == 0 && start.elapsed() > PATIENCE {
                warn!("no share from the process before this one; taking half");
                self.shares.grow_to(2);
            }
            if self.upkeep.listed() && self.shares.held()[0] > 0 {
                break;
            }
            sleep(LOOK).await;
        }
        self.owner.store(true, Ordering::Relaxed);
        tokio::spawn(self.clone().welcome());
        tokio::spawn(async move {
            let (taken, word) = oneshot::channel();
            if met && tell.send(taken).is_ok() && timeout(PATIENCE, word).await.is_err() {
                warn!("no word from the process before this one");
            }
            self.upkeep.can_serve();
        });
    }

    /// Keeps to the process before this one until it ends, and then looks whether there is another.
    async fn follow(
        &self,
        meeting: Meeting,
        told: oneshot::Receiver<oneshot::Sender<()>>,
        gone: &AtomicBool,
    ) {
        let mut told = Some(told);
        let mut meeting = Some(meeting);
        while let Some(Meeting { read, buffer, write: Some(write), .. }) = meeting.take() {
            self.converse(Other::Before, read, buffer, write, told.take()).await;
            info!("the process before this one has ended");
            if !self.owner.load(Ordering::Relaxed) || *self.succeeded.borrow() {
                meeting = self.room.meet().await;
            }
        }
        self.shares.grow_to(1);
        gone.store(true, Ordering::Relaxed);
    }

    /// Meets the processes after this one.
    async fn welcome(self: Arc<Self>) {
        let places = Arc::new(Semaphore::new(MOST));
        loop {
            let listener = match self.room.bind() {
                Ok(listener) => listener,
                Err(e) => return warn!("{}: {e}; no process can follow", self.room.socket().display()),
            };
            loop {
                let stream = tokio::select! {
                    () = self.path.notified() => break,
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(e) => {
                            warn!("{}: {e}", self.room.socket().display());
                            sleep(LOOK).await;
                            continue;
                        }
                    },
                };
                let Ok(place) = places.clone().try_acquire_owned() else { continue };
                let me = self.clone();
                tokio::spawn(async move {
                    me.precede(stream).await;
                    drop(place);
                });
            }
        }
    }

    /// Keeps to a process after this one until either ends.
    async fn precede(&self, stream: UnixStream) {
        let (mut read, mut write) = stream.into_split();
        let mut buffer = Buffer::default();
        let hello = timeout(PATIENCE, next(&mut buffer, &mut read)).await;
        match hello {
            Ok(Ok(Some(Message::Hello { version: VERSION }))) => {}
            _ => return warn!("another process came that speaks otherwise"),
        }
        info!("another process has come to take over");
        let (orders, list) = (self.upkeep.orders().await, self.list.borrow().clone());
        if send(&mut write, &Message::Met { orders, list }).await.is_err() {
            return;
        }
        let took_over = self.converse(Other::After, read, buffer, write, None).await;
        // guards against a path taken back from one of two that goes on serving
        if !*self.ending.borrow() && (took_over || !*self.succeeded.borrow()) {
            warn!("the process that came to take over has gone; this one goes on");
            self.succeeded.send_replace(false);
            self.upkeep.succeeded(false);
            self.path.notify_one();
        }
    }

    /// Exchanges messages until the other process ends; whether it had taken over.
    async fn converse(
        &self,
        other: Other,
        mut read: OwnedReadHalf,
        mut buffer: Buffer,
        mut write: OwnedWriteHalf,
        mut told: Option<oneshot::Receiver<oneshot::Sender<()>>>,
    ) -> bool {
        let mut took_over = false;
        let (to, mut from) = mpsc::channel::<Message>(MAILBOX);
        let writer = async {
            while let Some(message) = from.recv().await {
                if send(&mut write, &message).await.is_err() {
                    return;
                }
            }
        };
        let (key, mut forwards) = self.upkeep.join();
        // holds no more than there are places to give; a send that waited could lose one when this ends
        let (given, mut shares) = mpsc::unbounded_channel();
        let mut ceded = [0; 3];
        let ceding = async {
            if other == Other::Before {
                return std::future::pending().await;
            }
            let half = self.shares.held().map(|n| n / 2);
            let all = [0, 1, 2].map(|kind| self.shares.cede(kind, half[kind], &given));
            futures_util::future::join_all(all).await;
            turned(&mut self.ending.clone()).await;
            turned(&mut self.succeeded.subscribe()).await;
            // what clients leave free here is for those who come there; idle ones have their time first
            sleep(LAST_CALL).await;
            self.shares.cede(0, self.shares.held()[0], &given).await;
            std::future::pending().await
        };
        let talk = async {
            let mut list = self.list.clone();
            list.mark_unchanged();
            let mut calls: HashMap<u64, oneshot::Sender<bool>> = HashMap::new();
            let (mut last, mut taken) = (0, None);
            loop {
                let answer = tokio::select! {
                    message = next(&mut buffer, &mut read) => match message {
                        Ok(Some(message)) => match message {
                            Message::Call { id, call } => {
                                let done = self.upkeep.carry(call).await;
                                Some(Message::Done { id, done })
                            }
                            Message::Done { id, done } => {
                                if let Some(waits) = calls.remove(&id) {
                                    let _ = waits.send(done);
                                }
                                None
                            }
                            Message::List(list) if other == Other::Before => {
                                let revision = list.revision();
                                let list = list.resolved(ListKind::Complete, &self.localities);
                                let _ = self.asks.send(ListOrder::Told(revision, list)).await;
                                None
                            }
                            Message::Share(share) if other == Other::Before => {
                                self.shares.grow(share);
                                None
                            }
                            Message::Ready if other == Other::After => {
                                info!("another process has taken over");
                                took_over = true;
                                self.succeeded.send_replace(true);
                                self.upkeep.succeeded(true);
                                Some(Message::Taken)
                            }
                            Message::Taken => {
                                let word: Option<oneshot::Sender<()>> = taken.take();
                                let _ = word.map(|word| word.send(()));
                                None
                            }
                            _ => None,
                        },
                        Ok(None) => return,
                        Err(e) => return warn!("the other process: {e}"),
                    },
                    Some((call, done)) = forwards.recv() => {
                        last += 1;
                        calls.retain(|_, waits| !waits.is_closed());
                        calls.insert(last, done);
                        Some(Message::Call { id: last, call })
                    }
                    Ok(()) = list.changed(), if other == Other::After => {
                        let list = list.borrow_and_update().clone();
                        list.map(Message::List)
                    }
                    Some(share) = shares.recv() => {
                        for k in 0..share.len() {
                            ceded[k] += share[k];
                        }
                        Some(Message::Share(share))
                    }
                    word = async { told.as_mut().unwrap_or_else(|| unreachable!()).await }, if told.is_some() => {
                        told = None;
                        taken = word.ok();
                        Some(Message::Ready)
                    }
                };
                if let Some(answer) = answer
                    && to.send(answer).await.is_err()
                {
                    return;
                }
            }
        };
        tokio::select! {
            () = writer => {}
            () = talk => {}
            () = ceding => {}
        }
        self.upkeep.leave(key);
        shares.close();
        while let Ok(share) = shares.try_recv() {
            self.shares.grow(share);
        }
        // the other has gone: what it was given is this process's again
        self.shares.grow(ceded);
        took_over
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn what_is_given_away_and_taken_never_adds_up_to_more_than_the_whole() {
        let (old, new) = (Shares::new(140, 100, true), Shares::new(140, 100, false));
        let whole = old.held();
        assert_eq!((whole, new.held()), ([50, 50, 100], [0; 3]));
        // ten clients are connected there: their sockets come as they go
        let mut held = Vec::new();
        for _ in 0..45 {
            held.push(old.clients.take().await);
        }
        let (given, mut shares) = mpsc::unbounded_channel();
        let ceding =
            async { futures_util::future::join_all([0, 1, 2].map(|k| old.cede(k, 25, &given))).await };
        tokio::pin!(ceding);
        let mut got = [0; 3];
        loop {
            tokio::select! {
                _ = &mut ceding => break,
                Some(share) = shares.recv() => {
                    new.grow(share);
                    (0..3).for_each(|k| got[k] += share[k]);
                    // what is on its way counts with neither
                    assert!((0..3).all(|k| old.held()[k] + new.held()[k] <= whole[k]));
                    held.pop();
                }
            }
            if got[0] < 25 && shares.is_empty() {
                held.pop();
            }
        }
        while let Ok(share) = shares.try_recv() {
            new.grow(share);
        }
        assert_eq!((old.held(), new.held()), ([25, 25, 75], [25, 25, 25]));
        // the other has ended: all of it, and no more however often it is said
        for _ in 0..2 {
            new.grow_to(1);
            new.grow([3, 3, 3]);
        }
        assert_eq!(new.held(), whole);
    }

    #[tokio::test]
    async fn a_socket_is_met_in_a_folder_with_a_long_path() {
        let folder =
            std::env::temp_dir().join(format!("stilespan-{}-{}", std::process::id(), "a".repeat(120)));
        std::fs::create_dir_all(&folder).unwrap();
        let room = Room::new(&folder).unwrap();
        assert!(room.meet().await.is_none());
        let listener = room.bind().unwrap();
        let (met, accepted) = tokio::join!(UnixStream::connect(room.socket()), listener.accept());
        assert!(met.is_ok() && accepted.is_ok());
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
