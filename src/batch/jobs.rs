//! Batches: a file's lines, each run as one RPC through the core, and one result file with one outcome a line.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::fs::File;
use tokio::io::AsyncReadExt;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tracing::{info, warn};

use super::line::{self, Ask, Assembly, LineError};
use super::live::Live;
use super::store::{Appender, Store, StoreError, unix};
use super::window::{Place, Window};
use crate::core::{Answer, Handle, Piece};
use crate::edge::Caller;
use crate::edge::service::{Declined, Part, Work};
use crate::net::listener::turned;

/// The first wait before a line that was turned away unsent is submitted anew; it doubles up to the second.
const WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
/// Read from the spool at a time.
const READ: usize = 16 << 10;

/// Where a batch stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Its lines are being counted.
    Validating,
    /// The file can't be run at all.
    Failed,
    /// Its lines are being run.
    InProgress,
    /// All lines have their outcomes.
    Completed,
    /// Its time ran out; the rest of the lines say so.
    Expired,
    /// It is being cancelled.
    Cancelling,
    /// It was cancelled; the rest of the lines say so.
    Cancelled,
}

impl Status {
    fn name(self) -> &'static str {
        match self {
            Status::Validating => "validating",
            Status::Failed => "failed",
            Status::InProgress => "in_progress",
            Status::Completed => "completed",
            Status::Expired => "expired",
            Status::Cancelling => "cancelling",
            Status::Cancelled => "cancelled",
        }
    }

    /// Whether nothing more happens.
    pub fn ended(self) -> bool {
        matches!(self, Status::Failed | Status::Completed | Status::Expired | Status::Cancelled)
    }
}

/// Why the rest of a batch's lines is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Cancelled,
    Expired,
}

impl Stop {
    fn error(self) -> LineError {
        match self {
            Stop::Cancelled => {
                LineError::new("batch_cancelled", "the batch was cancelled ahead of this line")
            }
            Stop::Expired => LineError::new("batch_expired", "the batch's time ran out ahead of this line"),
        }
    }
}

struct Batch {
    id: String,
    number: u64,
    endpoint: String,
    input: String,
    output: Option<String>,
    window: String,
    metadata: Value,
    owner: Caller,
    status: Status,
    problem: Option<(&'static str, String)>,
    created: u64,
    expires: u64,
    /// When it came to a status; kept for the batch object.
    times: Vec<(&'static str, u64)>,
    total: u64,
    completed: u64,
    failed: u64,
    cancel: watch::Sender<bool>,
}

impl Batch {
    fn object(&self) -> Value {
        let errors = self.problem.as_ref().map(|(code, message)| {
            json!({"object": "list", "data": [{"code": code, "message": message, "line": null, "param": null}]})
        });
        let mut object = json!({
            "id": self.id, "object": "batch", "endpoint": self.endpoint, "errors": errors,
            "input_file_id": self.input, "completion_window": self.window, "status": self.status.name(),
            "output_file_id": self.output, "error_file_id": null, "created_at": self.created,
            "expires_at": self.expires, "metadata": self.metadata,
            "request_counts": {"total": self.total, "completed": self.completed, "failed": self.failed},
        });
        for name in ["in_progress", "completed", "failed", "expired", "cancelling", "cancelled"] {
            let at = self.times.iter().find(|(n, _)| *n == name).map(|(_, at)| *at);
            object[format!("{name}_at")] = json!(at);
        }
        object
    }

    fn come_to(&mut self, status: Status) {
        self.status = status;
        self.times.push((status.name(), unix()));
    }
}

/// What the batches run on.
pub struct Options {
    /// The class of their RPCs.
    pub class: u32,
    /// Its name.
    pub class_name: String,
    /// Its deadline.
    pub patience: Duration,
    /// Lines of a file at the most.
    pub max_lines: u64,
    /// Bytes of a line at the most.
    pub max_line: usize,
    /// Batches that are remembered at the most.
    pub max_batches: usize,
}

/// Why a batch can't be created or found.
#[derive(Debug)]
pub enum JobError {
    /// No batch of this id.
    Unknown,
    /// It has ended already.
    Ended,
    /// Too many are under way.
    Full,
    /// Its input file.
    File(StoreError),
}

impl std::fmt::Display for JobError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            JobError::Unknown => out.write_str("no such batch"),
            JobError::Ended => out.write_str("the batch has ended"),
            JobError::Full => out.write_str("too many batches are under way"),
            JobError::File(e) => write!(out, "the input file: {e}"),
        }
    }
}

impl std::error::Error for JobError {}

/// All batches; copies share them.
#[derive(Clone)]
pub struct Jobs {
    core: Handle,
    live: Option<Live>,
    store: Store,
    window: Window,
    options: Arc<Options>,
    ending: watch::Receiver<bool>,
    batches: Arc<Mutex<BTreeMap<String, Batch>>>,
}

/// A batch as a client asks for it.
pub struct Order {
    /// The input file.
    pub input: String,
    /// The endpoint that all its lines name.
    pub endpoint: String,
    /// How long it may take, as text and as a time.
    pub window: (String, Duration),
    /// The client's own notes.
    pub metadata: Value,
    /// Who asks, and pays for it.
    pub caller: Caller,
}

impl Jobs {
    /// No batches yet.
    pub fn new(
        core: Handle,
        store: Store,
        window: Window,
        options: Options,
        ending: watch::Receiver<bool>,
        live: Option<Live>,
    ) -> Jobs {
        Jobs { core, live, store, window, options: Arc::new(options), ending, batches: Arc::default() }
    }

    fn batches(&self) -> MutexGuard<'_, BTreeMap<String, Batch>> {
        self.batches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a batch and starts it.
    pub async fn create(&self, order: Order) -> Result<Value, JobError> {
        let (file, info) = self.store.read(&order.input).await.map_err(JobError::File)?;
        let id = self.store.fresh_id("batch_");
        let (cancel, cancelled) = watch::channel(false);
        let created = unix();
        let batch = Batch {
            id: id.clone(),
            number: info.number,
            endpoint: order.endpoint.clone(),
            input: order.input,
            output: None,
            window: order.window.0,
            metadata: order.metadata,
            owner: order.caller.clone(),
            status: Status::Validating,
            problem: None,
            created,
            expires: created + order.window.1.as_secs(),
            times: Vec::new(),
            total: 0,
            completed: 0,
            failed: 0,
            cancel,
        };
        let object = batch.object();
        {
            let mut batches = self.batches();
            if batches.len() >= self.options.max_batches {
                // the oldest that has ended is forgotten; its result file stays
                let ended =
                    batches.values().filter(|b| b.status.ended()).min_by_key(|b| (b.created, b.number));
                let oldest = ended.map(|b| b.id.clone()).ok_or(JobError::Full)?;
                batches.remove(&oldest);
            }
            batches.insert(id.clone(), batch);
        }
        let until = Instant::now() + order.window.1;
        let (jobs, caller) = (self.clone(), order.caller);
        let run = Run { jobs, id, endpoint: order.endpoint, cancelled, until, caller };
        tokio::spawn(run.run(file));
        Ok(object)
    }

    /// A batch's object.
    pub fn get(&self, id: &str, caller: &Caller) -> Result<Value, JobError> {
        let batches = self.batches();
        batches.get(id).filter(|b| caller.sees(&b.owner)).map(Batch::object).ok_or(JobError::Unknown)
    }

    /// All batches that a caller may see, the latest first.
    pub fn list(&self, caller: &Caller) -> Vec<Value> {
        let batches = self.batches();
        let mut all: Vec<&Batch> = batches.values().filter(|b| caller.sees(&b.owner)).collect();
        all.sort_by_key(|b| std::cmp::Reverse((b.created, b.number)));
        all.into_iter().map(Batch::object).collect()
    }

    /// Cancels a batch: lines in flight are finished, the rest get an outcome that says so.
    pub fn cancel(&self, id: &str, caller: &Caller) -> Result<Value, JobError> {
        let mut batches = self.batches();
        let batch = batches.get_mut(id).filter(|b| caller.sees(&b.owner)).ok_or(JobError::Unknown)?;
        if batch.status.ended() {
            return Err(JobError::Ended);
        }
        if batch.status != Status::Cancelling {
            batch.come_to(Status::Cancelling);
        }
        let _ = batch.cancel.send(true);
        Ok(batch.object())
    }

    /// Waits until no batch is under way.
    pub async fn settle(&self) {
        while self.batches().values().any(|b| !b.status.ended()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A batch under way.
struct Run {
    jobs: Jobs,
    id: String,
    endpoint: String,
    cancelled: watch::Receiver<bool>,
    until: Instant,
    caller: Caller,
}

/// A line's outcome, ready for the result file.
struct Done {
    number: u64,
    custom_id: Option<String>,
    trace: String,
    came: Result<Value, LineError>,
}

impl Run {
    fn with<T>(&self, change: impl FnOnce(&mut Batch) -> T) -> Option<T> {
        self.jobs.batches().get_mut(&self.id).map(change)
    }

    async fn run(self, file: File) {
        let ended = self.lines(file).await;
        let (status, problem) = match ended {
            Ok(None) => (Status::Completed, None),
            Ok(Some(Stop::Cancelled)) => (Status::Cancelled, None),
            Ok(Some(Stop::Expired)) => (Status::Expired, None),
            Err(problem) => (Status::Failed, Some(problem)),
        };
        if let Some((code, message)) = &problem {
            warn!("{}: {code}: {message}", self.id);
        }
        self.with(|batch| {
            batch.problem = problem;
            batch.come_to(status);
        });
        info!("{}: {}", self.id, status.name());
    }

    /// Why the rest is not to be run, once that is so. Cancel safe.
    async fn stop(&self) -> Stop {
        let (mut cancelled, mut ending) = (self.cancelled.clone(), self.jobs.ending.clone());
        tokio::select! {
            () = turned(&mut cancelled) => Stop::Cancelled,
            () = turned(&mut ending) => Stop::Cancelled,
            () = tokio::time::sleep_until(self.until.into()) => Stop::Expired,
        }
    }

    async fn lines(&self, file: File) -> Result<Option<Stop>, (&'static str, String)> {
        let spool = |e: StoreError| ("spool_error", e.to_string());
        let store = &self.jobs.store;
        let options = &self.jobs.options;
        let mut count = Lines::new(file, options.max_line);
        let mut total = 0;
        while count.next().await.map_err(|e| spool(e.into()))?.is_some() {
            total += 1;
            if total > options.max_lines {
                return Err(("too_many_lines", format!("the file has over {} lines", options.max_lines)));
            }
        }
        if total == 0 {
            return Err(("empty_file", "the file has no lines".into()));
        }
        let mut file = count.file;
        tokio::io::AsyncSeekExt::rewind(&mut file).await.map_err(|e| spool(e.into()))?;
        let output =
            store.create(&format!("{}_output.jsonl", self.id), "batch_output", None, &self.caller).await;
        let output = output.map_err(spool)?.id;
        let mut result = store.append(&output, 0).await.map_err(spool)?;
        self.with(|batch| {
            batch.total = total;
            if batch.status == Status::Validating {
                batch.come_to(Status::InProgress);
            }
        });
        let ran = self.run_lines(Lines::new(file, options.max_line), &mut result).await;
        // what there is of the result is the client's, also where the spool failed on the way
        result.finish().map_err(spool)?;
        self.with(|batch| batch.output = Some(output));
        ran.map_err(spool)
    }

    async fn run_lines(&self, mut lines: Lines, result: &mut Appender) -> Result<Option<Stop>, StoreError> {
        let mut stopped = None;
        let mut in_flight: JoinSet<Done> = JoinSet::new();
        let (random, mut seen) = (RandomState::new(), HashSet::new());
        while let Some((number, text)) = lines.next().await? {
            let trace = self.jobs.store.fresh_id("");
            let mut done = Done { number, custom_id: None, trace, came: Ok(Value::Null) };
            let read = match text {
                Some(text) => {
                    done.custom_id = line::custom_id(text);
                    line::read(text, &self.endpoint, &done.trace)
                }
                None => Err(LineError::new("line_too_large", "the line is over the limit")),
            };
            // the first line of an id is the one that runs
            let fresh = done.custom_id.as_ref().is_none_or(|id| seen.insert(random.hash_one(id)));
            let read = match read {
                Ok(_) if !fresh => {
                    Err(LineError::new("duplicate_custom_id", "an earlier line has this custom_id"))
                }
                read => read,
            };
            let ask = match read {
                Ok(ask) => ask,
                Err(e) => {
                    done.came = Err(e);
                    self.write(result, done).await?;
                    continue;
                }
            };
            let mut place = None;
            while stopped.is_none() && place.is_none() {
                tokio::select! {
                    biased;
                    why = self.stop() => stopped = Some(why),
                    Some(ended) = in_flight.join_next() => self.write(result, self.joined(ended)).await?,
                    entered = self.jobs.window.enter() => place = Some(entered),
                }
            }
            match (place, stopped) {
                (Some(place), _) => {
                    let call = Call {
                        core: self.jobs.core.clone(),
                        live: self.jobs.live.clone(),
                        caller: self.caller.clone(),
                        window: self.jobs.window.clone(),
                        options: self.jobs.options.clone(),
                        cancelled: self.cancelled.clone(),
                        ending: self.jobs.ending.clone(),
                        until: self.until,
                    };
                    in_flight.spawn(async move {
                        // an unlucky task must not take its line's outcome with it
                        done.came = call.run(&ask, &done.trace, place).await;
                        done
                    });
                }
                (None, why) => {
                    done.came = Err(why.unwrap_or(Stop::Cancelled).error());
                    self.write(result, done).await?;
                }
            }
        }
        while let Some(ended) = in_flight.join_next().await {
            self.write(result, self.joined(ended)).await?;
        }
        Ok(stopped)
    }

    fn joined(&self, ended: Result<Done, tokio::task::JoinError>) -> Done {
        ended.unwrap_or_else(|e| {
            let came = Err(LineError::new("internal_error", e.to_string()));
            Done { number: 0, custom_id: None, trace: String::new(), came }
        })
    }

    async fn write(&self, result: &mut Appender, done: Done) -> Result<(), StoreError> {
        let Done { number, custom_id, trace, came } = done;
        let id = format!("batch_req_{trace}");
        let text = line::outcome(&id, number, custom_id.as_deref(), &trace, &came);
        result.write(text.as_bytes()).await?;
        self.with(|batch| match came {
            Ok(_) => batch.completed += 1,
            Err(_) => batch.failed += 1,
        });
        Ok(())
    }
}

/// One line's way through the core.
struct Call {
    core: Handle,
    live: Option<Live>,
    caller: Caller,
    window: Window,
    options: Arc<Options>,
    cancelled: watch::Receiver<bool>,
    ending: watch::Receiver<bool>,
    until: Instant,
}

impl Call {
    async fn run(mut self, ask: &Ask, trace: &str, place: Place) -> Result<Value, LineError> {
        match self.live.clone() {
            Some(live) => self.run_at_edge(&live, ask, trace, place).await,
            None => self.run_at_core(ask, trace, place).await,
        }
    }

    /// Waits, unless the rest of the batch is not to be run.
    async fn pause(&mut self, wait: Duration) -> Result<(), LineError> {
        tokio::select! {
            () = tokio::time::sleep(wait) => Ok(()),
            () = turned(&mut self.cancelled) => Err(Stop::Cancelled.error()),
            () = turned(&mut self.ending) => Err(Stop::Cancelled.error()),
            () = tokio::time::sleep_until(self.until.into()) => Err(Stop::Expired.error()),
        }
    }

    /// Through the edge: the line's own model, charged to the key that created the batch.
    async fn run_at_edge(
        &mut self,
        live: &Live,
        ask: &Ask,
        trace: &str,
        place: Place,
    ) -> Result<Value, LineError> {
        let mut wait = WAITS.0;
        let mut place = Some(place);
        loop {
            let held = match place.take() {
                Some(place) => place,
                None => self.window.enter().await,
            };
            let chat = ask.chat.clone().map_err(|e| LineError::new("invalid_body", e.message))?;
            let Some(trace_held) = live.request_ids.take(trace) else {
                return Err(LineError::new("internal_error", "the line's id is in use"));
            };
            let start = Instant::now();
            let work = Work {
                caller: self.caller.clone(),
                chat,
                class: Some(self.options.class_name.clone()),
                patience: Some(self.options.patience),
                received: start,
                trace: trace_held,
                live: false,
                client: None,
            };
            let Declined { error, attempts, budget, retry_in, .. } = match live.edge.start(work).await {
                Ok(mut serving) => {
                    let took = start.elapsed();
                    let mut all = Assembly::default();
                    loop {
                        match serving.next().await {
                            Part::Data(bytes) => all.add(&bytes),
                            Part::Done => break,
                            Part::Broken => {
                                let message = "the answer broke off; it may have run";
                                return Err(LineError::new("answer_broken", message));
                            }
                        }
                    }
                    held.served(took);
                    return all.finish(trace, unix(), &serving.model().into());
                }
                Err(declined) => declined,
            };
            match (error.status, budget) {
                // a budget that refills lets the line go on then; it holds no place in the window meanwhile
                (_, Some(Some(refill))) => {
                    drop(held);
                    self.pause(refill.max(WAITS.0)).await?;
                    continue;
                }
                (_, Some(None)) => return Err(LineError::new("budget_exhausted", error.message)),
                (401, _) => {
                    return Err(LineError::new(
                        "key_revoked",
                        "the key that created the batch is not valid any more",
                    ));
                }
                (400..=499, _) => {
                    return Err(LineError::new(error.code.unwrap_or("invalid_body"), error.message));
                }
                _ => {}
            }
            if attempts > 0 {
                let message = "no attempt within the limits was answered in time";
                return Err(LineError::new("attempts_failed", message));
            }
            held.turned_away();
            self.pause(retry_in.unwrap_or(wait).max(WAITS.0)).await?;
            wait = (wait * 2).min(WAITS.1);
            place = Some(held);
        }
    }

    async fn run_at_core(&mut self, ask: &Ask, trace: &str, place: Place) -> Result<Value, LineError> {
        let mut wait = WAITS.0;
        loop {
            let rpc = ask.rpc(self.options.class, self.options.patience);
            let start = Instant::now();
            let submitted = self.core.submit(rpc).await;
            let Ok(mut ticket) = submitted else {
                return Err(LineError::new("router_ended", "the router ended"));
            };
            let (retry_in, sent) = match ticket.answer().await {
                Answer::Started(mut pieces) => {
                    let took = start.elapsed();
                    let mut all = Assembly::default();
                    loop {
                        match pieces.recv().await {
                            Some(Piece::Data(bytes)) => all.add(&bytes),
                            Some(Piece::Done) => break,
                            Some(Piece::Broken) | None => {
                                ticket.broken();
                                let message = "the answer broke off; it may have run";
                                return Err(LineError::new("answer_broken", message));
                            }
                        }
                    }
                    ticket.finish();
                    place.served(took);
                    return all.finish(trace, unix(), &ask.model);
                }
                Answer::Refused { retry_in, sent, .. } => (retry_in, sent),
                Answer::Failed { sent, .. } => (None, sent),
            };
            ticket.finish();
            if sent {
                // an attempt that reached a server may have run: the line is not submitted again
                return Err(LineError::new(
                    "attempts_failed",
                    "no attempt within the limits was answered in time",
                ));
            }
            place.turned_away();
            self.pause(retry_in.unwrap_or(wait).max(WAITS.0)).await?;
            wait = (wait * 2).min(WAITS.1);
        }
    }
}

/// A file's lines, one at a time. Blank lines are passed over; one over the limit comes without its text.
struct Lines {
    file: File,
    most: usize,
    number: u64,
    held: Vec<u8>,
    taken: usize,
    over: bool,
    ended: bool,
}

impl Lines {
    fn new(file: File, most: usize) -> Lines {
        Lines { file, most, number: 0, held: Vec::new(), taken: 0, over: false, ended: false }
    }

    async fn next(&mut self) -> std::io::Result<Option<(u64, Option<&[u8]>)>> {
        loop {
            let rest = &self.held[self.taken..];
            let end = rest.iter().position(|&b| b == b'\n');
            if end.is_none() && !self.ended {
                if rest.len() > self.most {
                    // the rest of such a line is read past without holding it
                    self.over = true;
                    self.taken = self.held.len();
                }
                self.held.drain(..self.taken);
                self.taken = 0;
                let had = self.held.len();
                self.held.resize(had + READ, 0);
                let n = self.file.read(&mut self.held[had..]).await?;
                self.held.truncate(had + n);
                self.ended = n == 0;
                continue;
            }
            let len = end.unwrap_or(rest.len());
            let from = self.taken;
            if end.is_none() && len == 0 && !self.over {
                return Ok(None);
            }
            self.taken += (len + 1).min(rest.len());
            self.number += 1;
            let over = std::mem::take(&mut self.over) || len > self.most;
            let blank = !over && self.held[from..from + len].trim_ascii().is_empty();
            if blank {
                continue;
            }
            let text = &self.held[from..from + len];
            return Ok(Some((self.number, (!over).then_some(text))));
        }
    }
}
