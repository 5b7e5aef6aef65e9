//! A fake model server: streamed chat completions in the format of the public OpenAI API,
//! `GET /v1/models`, load reports, adapters that are loaded on first use, a limit on concurrent requests, and
//! faults. Four characters count as one token.

mod chat;
mod faults;
mod options;
mod prompt_cache;
mod stream;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use crate::http::{Connection, Request};
use crate::load_reports::{LoadReporter, ReportAnswer};
use crate::report_fault::ReportFault;
use crate::request_log::RequestLog;
use faults::ServerState;

pub use faults::{Fault, ResponseDefect};
pub use options::{Adapter, ServerOptions};

/// A running server. It stops when the runtime shuts down.
#[derive(Clone)]
pub struct ModelServer {
    /// The address that the server listens on.
    pub address: String,
    options: Arc<ServerOptions>,
    state: Arc<Mutex<ServerState>>,
    request_log: RequestLog,
    load: LoadReporter,
    /// One permit for each request that may run concurrently.
    capacity: Arc<Semaphore>,
    /// Held while a prompt is being prefilled.
    prefill_lock: Arc<tokio::sync::Mutex<()>>,
    /// Changes when all connections must be closed.
    disconnections: Arc<watch::Sender<u64>>,
    /// Whether streams pause after their first token.
    streams_paused: Arc<watch::Sender<bool>>,
}

impl ModelServer {
    /// Starts a server on a free port of 127.0.0.1.
    pub async fn start(
        options: ServerOptions,
        request_log: RequestLog,
    ) -> std::io::Result<ModelServer> {
        ModelServer::start_at("127.0.0.1:0", options, request_log).await
    }

    /// Starts a server on the given address.
    pub async fn start_at(
        address: &str,
        options: ServerOptions,
        request_log: RequestLog,
    ) -> std::io::Result<ModelServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let load = LoadReporter::new(
            options.max_concurrent_requests,
            options.report_timing,
            u64::from(address.port()),
        );
        let server = ModelServer {
            address: address.to_string(),
            load,
            capacity: Arc::new(Semaphore::new(options.max_concurrent_requests)),
            prefill_lock: Arc::default(),
            options: Arc::new(options),
            state: Arc::default(),
            request_log,
            disconnections: Arc::new(watch::channel(0).0),
            streams_paused: Arc::new(watch::channel(false).0),
        };
        let acceptor = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(acceptor.clone().serve(stream));
            }
        });
        Ok(server)
    }

    fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the server's fault. [`Fault::Down`] also closes the server's connections, unloads its
    /// adapters and clears its prompt cache.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.state();
        state.fault = fault;
        if fault == Fault::Down {
            state.loaded_adapters.clear();
            state.prompt_cache.clear();
            self.disconnections.send_modify(|count| *count += 1);
        }
    }

    /// Sets the fault of the server's load reports.
    pub fn set_report_fault(&self, fault: ReportFault) {
        self.load.set_fault(fault);
    }

    /// Sets the defect of the server's answers.
    pub fn set_response_defect(&self, defect: ResponseDefect) {
        self.state().defect = defect;
    }

    /// Puts the server into the state after a restart: no fault, nothing loaded or cached, and the
    /// time to the first token multiplied by `slowdown` for the duration of `warm_up`.
    pub fn start_cold(&self, slowdown: u32, warm_up: Duration) {
        self.state().start_cold(slowdown, warm_up);
    }

    /// Sets whether streams pause after their first token.
    pub fn pause_streams(&self, paused: bool) {
        self.streams_paused.send_replace(paused);
    }

    /// Serves a connection until it ends or the server closes all connections.
    async fn serve(self, stream: TcpStream) {
        let mut disconnections = self.disconnections.subscribe();
        disconnections.mark_unchanged();
        let mut connection = Connection::new(stream);
        tokio::select! {
            biased;
            _ = disconnections.changed() => {}
            () = self.serve_requests(&mut connection) => {}
        }
    }

    async fn serve_requests(&self, connection: &mut Connection) {
        while let Some(request) = connection.next_request().await {
            if self.state().fault == Fault::Down {
                return;
            }
            if !self.answer(connection, &request).await {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection can be used again.
    async fn answer(&self, connection: &mut Connection, request: &Request) -> bool {
        let answered = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/ping") => connection.respond("200 OK", "", "ok").await,
            ("GET", "/_load") => return self.report_load(connection).await,
            ("GET", "/v1/models") if self.options.lists_models => {
                self.list_models(connection).await
            }
            ("POST", "/v1/chat/completions") => return self.chat(connection, request).await,
            _ => connection.respond("404 Not Found", "", "no").await,
        };
        answered.is_ok()
    }

    /// Answers with the load report. Returns whether the connection can be used again.
    async fn report_load(&self, connection: &mut Connection) -> bool {
        if self.state().fault == Fault::Hang {
            connection.closed().await;
            return false;
        }
        let answered = match self.load.answer() {
            ReportAnswer::Response { delay, body } => {
                sleep(delay).await;
                connection.respond("200 OK", "", &body).await
            }
            ReportAnswer::Error => {
                let status = "500 Internal Server Error";
                connection.respond(status, "", "no").await
            }
            ReportAnswer::Unanswered => {
                connection.closed().await;
                return false;
            }
        };
        answered.is_ok()
    }

    /// Lists the base models and the loaded adapters.
    async fn list_models(&self, connection: &mut Connection) -> std::io::Result<()> {
        let loaded: Vec<String> = self.state().loaded_adapters.iter().cloned().collect();
        let models: Vec<Value> = self
            .options
            .models
            .iter()
            .chain(&loaded)
            .map(|model| json!({"id": model, "object": "model"}))
            .collect();
        let list = json!({"object": "list", "data": models});
        connection
            .respond(
                "200 OK",
                "Content-Type: application/json\r\n",
                &list.to_string(),
            )
            .await
    }
}
