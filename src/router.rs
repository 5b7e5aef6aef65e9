//! Puts the parts together: the module's actor, the list's, the subchannels' maker and the fronts.

use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tracing::{error, info, warn};

use crate::batch;
use crate::batch::live::Live;
use crate::config::{Config, ConfigError};
use crate::core::actor::{Core, Parts};
use crate::core::{ListOrder, MAILBOX, Mail};
use crate::edge::config::Book;
use crate::edge::{Edge, members};
use crate::error::RunError;
use crate::interface::ListKind;
use crate::inventory;
use crate::net::channel::{self, Front};
use crate::net::handover::{Handover, Meeting, Room, Shares};
use crate::net::http::MAX_BODY;
use crate::net::listener::{self, Heartbeat, Shared};
use crate::net::{admin, resolver, subchannel};
use crate::ops::figures::Figures;
use crate::ops::kept::Orders;
use crate::routing::Numbers;
use crate::traces::Traces;
use crate::upkeep::Upkeep;
use crate::wire::replica_id;

/// Part of the memory that bodies of requests may fill.
const BODY_PART: usize = 3;
/// Room for bodies, in KiB, whatever the limit of memory: for each process of a handover one of the largest. Guards against
/// a limit that is zero or tiny, with which no body would ever find room.
const LEAST_BODIES: usize = 2 * (MAX_BODY >> 10);

/// What a router runs with.
pub struct Plan {
    /// Its configuration.
    pub config: Config,
    /// The batch front, where it is on.
    pub batch: Option<batch::Options>,
    /// The edge's file: models, budgets and keys; none where the edge is off.
    pub edge: Option<PathBuf>,
    /// An inventory of hosts, in place of discovery.
    pub inventory: Option<PathBuf>,
    /// The file that the configuration came from, read anew on SIGHUP.
    pub file: Option<PathBuf>,
    /// The platform holds the clients' listening socket, so that one process can replace another.
    pub inherited: Option<Inherited>,
}

/// What a process is started with where it may replace another one, and be replaced.
pub struct Inherited {
    /// The clients' listening socket.
    pub listener: std::net::TcpListener,
    /// The router's own folder; without it, processes know nothing of each other.
    pub folder: Option<PathBuf>,
}

/// Runs a router until SIGTERM, with all that it has taken answered.
pub fn run(plan: Plan) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(RunError::System)?.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(RunError::System)?;
        let mut int = signal(SignalKind::interrupt()).map_err(RunError::System)?;
        // taken from the start: a SIGHUP that nothing waits for would end the program
        let mut hangup = signal(SignalKind::hangup()).map_err(RunError::System)?;
        let (end, ending) = watch::channel(false);
        tokio::spawn(async move {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
            let _ = end.send(true);
            // kept, so that the watches of it stay open
            std::future::pending::<()>().await;
        });
        let router = open(plan, ending).await?;
        let reload = router.reload.clone();
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                reload.run().await;
            }
        });
        router.serve().await;
        info!("all answered");
        Ok(())
    })
}

/// A router whose addresses are open.
pub struct Router {
    admin: Option<(Arc<Upkeep>, TcpListener)>,
    handover: Option<(Arc<Handover>, Option<Meeting>)>,
    platform: Option<(Arc<Front>, TcpListener)>,
    batch: Option<batch::Ready>,
    shared: Shared,
    reload: Reload,
}

/// Brings a configuration's file into force while the router serves.
#[derive(Clone)]
pub struct Reload {
    file: Option<PathBuf>,
    /// The list's actor; none where an inventory has the hosts.
    list: Option<mpsc::Sender<ListOrder>>,
    edge: Option<Arc<Edge>>,
}

impl Reload {
    /// Reads the file anew and checks it whole. Guards against a bad file that takes a serving router down: it is
    /// named in the log and what was in force stays. Work in flight is not touched.
    pub async fn run(&self) {
        if let Some(edge) = &self.edge
            && let Err(e) = edge.reload()
        {
            error!("SIGHUP: {e}; what was in force stays");
        }
        let Some(file) = &self.file else {
            if self.edge.is_some() {
                return;
            }
            return warn!("SIGHUP: there is no configuration file to read anew");
        };
        let config = match Config::reload(file) {
            Ok(config) => config,
            Err(e) => return error!("SIGHUP: {e}; what was in force stays"),
        };
        let (Some(list), Some(address)) = (&self.list, config.discovery) else {
            return info!("SIGHUP: {}: nothing in it that can change while serving", file.display());
        };
        info!("SIGHUP: {}: discovery at {address}", file.display());
        let _ = list.send(ListOrder::Move(address)).await;
    }
}

/// Opens a router's addresses and starts its actors.
pub async fn open(plan: Plan, ending: watch::Receiver<bool>) -> Result<Router, RunError> {
    let Plan { mut config, batch, edge, inventory, file, inherited } = plan;
    let mut room = None;
    let listener = match (inherited, &config.listen) {
        (Some(Inherited { listener, folder }), _) => {
            room = folder.as_deref().map(Room::new).transpose().map_err(RunError::System)?;
            Some(TcpListener::from_std(listener).map_err(RunError::System)?)
        }
        (None, Some(at)) => Some(TcpListener::bind(at).await.map_err(|e| RunError::Listen(at.clone(), e))?),
        (None, None) if batch.is_some() => None,
        (None, None) => return Err(ConfigError::Missing("GW_LISTEN").into()),
    };
    let admin = match &config.admin {
        Some(at) => Some(TcpListener::bind(at).await.map_err(|e| RunError::Admin(at.clone(), e))?),
        None => None,
    };
    let mut before = match &room {
        Some(room) => room.meet().await,
        None => None,
    };
    let orders = match (before.as_mut().and_then(|b| b.orders.take()), &room) {
        (Some(orders), _) => orders,
        (None, Some(room)) => room.kept(),
        (None, None) => Orders::default(),
    };
    // the list as the process before this one holds it is what this router was told
    if let Some(list) = before.as_mut().and_then(|b| b.list.take())
        && config.known.as_ref().is_none_or(|known| known.revision() <= list.revision())
    {
        config.known = Some(list);
    }
    let bodies = ((config.memory / BODY_PART) >> 10).max(LEAST_BODIES);
    let shares = Shares::new(config.sockets, bodies, before.is_none());
    let shares = Arc::new(shares);
    let servers = shares.servers.clone();
    let (drain, drained) = watch::channel(None);
    let (succeed, succeeded) = watch::channel(false);
    let shared = Shared {
        budget: shares.clients.clone(),
        ending,
        since: Default::default(),
        succeeded,
        drained,
        heartbeat: Arc::new(Heartbeat::new(Instant::now())),
    };
    let figures = Arc::new(Figures::new(&config.classes));
    let connector = subchannel::Tcp {
        options: subchannel::Options {
            connect_timeout: config.connect_timeout,
            conn_idle: Duration::from_micros(config.settings.conn_idle.0),
            report: config.report.clone(),
        },
        budget: servers.clone(),
        figures: figures.clone(),
        mail: Arc::new(OnceLock::new()),
    };
    let models_budget = servers;
    let mail_cell = connector.mail.clone();
    let (asks, asked) = mpsc::channel(4);
    let mut reload = Reload { file, list: None, edge: None };
    let inventory = inventory.or_else(|| batch.as_ref().and_then(|b| b.inventory.clone()));
    if inventory.is_some() {
        // a file is watched here: the module learns of its changes without asking
        config.settings.ask = false;
    }
    let mut numbers = Numbers::default();
    let book = edge.as_ref().map(|path| Book::load(path, &config.classes, &mut numbers)).transpose()?;
    if let Some(book) = &book {
        if batch.is_none() {
            return Err(
                ConfigError::Missing("the batch front (--batch), whose address the edge shares,").into()
            );
        }
        // schools are tenants behind the platform's own
        config.settings.quotas.extend(book.schools.iter().map(|s| s.share));
        if config.settings.quotas.len() == book.schools.len() {
            config.settings.over_share_worth = book.over_share_worth;
        }
    }
    let (core, core_mail) = Core::start(Parts {
        settings: config.settings.clone(),
        seed: config.seed,
        max_open: config.max_open,
        begin_within: config.connect_timeout + subchannel::LATE,
        connector: Box::new(connector),
        resolver: asks.clone(),
        bans: orders.bans.iter().map(|ban| (replica_id(&ban.name), ban.clone())).collect(),
        figures,
    });
    let kept = room.as_ref().map(Room::orders);
    let upkeep = Upkeep::new(core.clone(), drain, orders, kept, before.is_none());
    let (show, list) = watch::channel(config.known.clone());
    let _ = mail_cell.set(core_mail.clone());
    let traces = Traces::default();
    let mut mail = core_mail.clone();
    let mut live = None;
    if let (Some(path), Some(book)) = (edge, book) {
        info!("{}: {}", path.display(), book.summary());
        let edge = Arc::new(Edge::new(path, book, numbers, &config, core.clone())?);
        // the list's news goes by way of the hosts' models
        let (to, from) = mpsc::channel(MAILBOX);
        mail = to;
        tokio::spawn(members::run(edge.clone(), from, core_mail, models_budget));
        reload.edge = Some(edge.clone());
        live = Some(Live { edge, traces: traces.clone() });
    }
    if let Some(path) = inventory {
        tokio::spawn(inventory::run(path, config.localities.clone(), asked, mail));
    } else {
        let revision = config.known.as_ref().map_or(0, |k| k.revision());
        if let Some(known) = config.known.take() {
            let known = known.resolved(ListKind::Persisted, &config.localities);
            info!("{}: starting on {} known hosts", config.name, known.hosts.len());
            let _ = mail.send(Mail::Resolved(known)).await;
        }
        if let Some(address) = config.discovery.clone() {
            let options = resolver::Options {
                address,
                revision,
                localities: config.localities.clone(),
                watch: before.is_some(),
                pushed: !config.settings.ask,
                reopen: resolver::REOPEN.mul_f64(config.seed as f64 / u64::MAX as f64),
                show: room.is_some().then_some(show),
            };
            tokio::spawn(resolver::run(options, asked, mail));
            reload.list = Some(asks.clone());
        }
    }
    let batch = match batch {
        Some(options) => {
            // a drain concerns the platform's clients: files and their lines have nowhere else to go
            let shared = Shared { drained: watch::channel(None).1, ..shared.clone() };
            let front = batch::open(options, &config, core.clone(), shared, live).await?;
            if let Ok(at) = front.address() {
                info!("{}: batch front on {at}", config.name);
            }
            Some(front)
        }
        None => None,
    };
    let front = Front {
        core,
        bodies: shares.bodies.clone(),
        deadlines: config.settings.classes.iter().map(|c| Duration::from_micros(c.deadline.0)).collect(),
        classes: config.classes,
        tenants: config.tenants,
        traces,
    };
    // the address that was bound: where the file leaves the port open, nobody else can tell it
    if let Some(at) = listener.as_ref().and_then(|l| l.local_addr().ok()) {
        info!("{}: serving on {at}", config.name);
    }
    if let Some(at) = admin.as_ref().and_then(|l| l.local_addr().ok()) {
        info!("{}: operators' address {at}", config.name);
    }
    let platform = listener.map(|l| (Arc::new(front), l));
    let handover = room.map(|room| Handover {
        room,
        upkeep: upkeep.clone(),
        shares,
        list,
        localities: config.localities,
        asks,
        ending: shared.ending.clone(),
        succeeded: succeed,
        path: Notify::new(),
        owner: false.into(),
    });
    let handover = handover.map(|handover| (Arc::new(handover), before));
    Ok(Router { admin: admin.map(|l| (upkeep, l)), handover, platform, batch, shared, reload })
}

impl Router {
    /// What SIGHUP does.
    pub fn reload(&self) -> Reload {
        self.reload.clone()
    }

    /// Where the platform's front and the batch front listen.
    pub fn addresses(&self) -> (Option<std::net::SocketAddr>, Option<std::net::SocketAddr>) {
        let platform = self.platform.as_ref().and_then(|(_, l)| l.local_addr().ok());
        (platform, self.batch.as_ref().and_then(|b| b.address().ok()))
    }

    /// Where operators call.
    pub fn admin(&self) -> Option<std::net::SocketAddr> {
        self.admin.as_ref().and_then(|(_, l)| l.local_addr().ok())
    }

    /// Serves until the program is to end and all that was taken is answered.
    pub async fn serve(self) {
        let shared = self.shared;
        let platform = async {
            if let Some((handover, before)) = self.handover {
                handover.start(before).await;
            }
            if let Some((front, listener)) = self.platform {
                listener::serve(shared, channel::OWED, listener, listener::handler(front, channel::run))
                    .await;
            }
        };
        let batch = async {
            if let Some(batch) = self.batch {
                batch.serve().await;
            }
        };
        let admin = async {
            match self.admin {
                Some((upkeep, listener)) => admin::serve(listener, upkeep).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = async { tokio::join!(platform, batch) } => {}
            () = admin => {}
        }
    }
}
