//! Runs a scenario: sends the clients' requests, applies the schedule and collects the record.

use std::path::Path;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::clients::{self, Clients, milliseconds};
use crate::cluster::Cluster;
use crate::discovery;
use crate::error::ClusterError;
use crate::record::{AttemptRecord, DrainNotification, RequestRecord, RunRecord};
use crate::scenario::{Action, Scenario, ScheduledStep};

/// Runs a scenario once, with the schedule of this seed and with processes of this program.
pub async fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
) -> Result<RunRecord, ClusterError> {
    let folder = tempfile::tempdir()?;
    let mut cluster = Cluster::start(scenario, seed, program, folder.path()).await?;
    let schedule = scenario.schedule(seed);
    let start = Instant::now();
    let requests = send_requests(&mut cluster, scenario, &schedule, start).await?;
    Ok(RunRecord {
        scenario: scenario.name.clone(),
        seed,
        client_timeout_ms: scenario.client_timeout_ms,
        requests,
        attempts: attempts(&cluster, start),
        drain_notifications: drain_notifications(&cluster, start),
        overlapping_attempts: cluster.request_log.overlapping_attempts(),
        crashed_routers: crashed_routers(&mut cluster, &schedule),
        schedule,
    })
}

/// Sends requests to the routers in turn and applies the steps of the schedule, each at its time.
/// Returns the requests after all of them have ended.
async fn send_requests(
    cluster: &mut Cluster,
    scenario: &Scenario,
    schedule: &[ScheduledStep],
    start: Instant,
) -> Result<Vec<RequestRecord>, ClusterError> {
    let timeout = Duration::from_millis(scenario.client_timeout_ms);
    let clients = Clients::new(timeout, start)?;
    let routers = scenario.routers.max(1) as u64;
    let at = |milliseconds: u64| start + Duration::from_millis(milliseconds);
    let mut in_flight: JoinSet<RequestRecord> = JoinSet::new();
    let mut steps = schedule.iter().peekable();
    let mut request_number = 0;
    loop {
        let next_request_ms = request_number * scenario.request_interval_ms / routers;
        let all_requests_sent = next_request_ms >= scenario.duration_ms;
        let step = steps.next_if(|step| step.at_ms <= next_request_ms || all_requests_sent);
        if let Some(step) = step {
            sleep_until(at(step.at_ms)).await;
            cluster.apply_step(*step)?;
            continue;
        }
        if all_requests_sent {
            break;
        }
        sleep_until(at(next_request_ms)).await;
        let router = (request_number % routers) as usize;
        let address = cluster.client_address(router);
        let trace_id = clients::trace_id(router, request_number);
        in_flight.spawn(clients.clone().send(address, router, trace_id));
        request_number += 1;
    }
    let mut requests = in_flight.join_all().await;
    requests.sort_by_key(|request| request.sent_at_ms);
    Ok(requests)
}

/// The attempts that the model servers recorded, ordered by the time at which they were received.
/// An index that can't be read from a name or a trace id is `usize::MAX`.
fn attempts(cluster: &Cluster, start: Instant) -> Vec<AttemptRecord> {
    let mut attempts = Vec::new();
    for (trace_id, request_attempts) in cluster.request_log.requests() {
        let router = clients::router_of(&trace_id).unwrap_or(usize::MAX);
        attempts.extend(request_attempts.iter().map(|attempt| AttemptRecord {
            trace_id: trace_id.clone(),
            router,
            server: discovery::server_index(&attempt.server).unwrap_or(usize::MAX),
            received_at_ms: milliseconds(attempt.received_at - start),
        }));
    }
    attempts.sort_by_key(|attempt| attempt.received_at_ms);
    attempts
}

fn drain_notifications(cluster: &Cluster, start: Instant) -> Vec<DrainNotification> {
    let notifications = cluster.discovery.notifications().into_iter();
    notifications
        .map(|notification| DrainNotification {
            router: notification.router,
            revision: notification.revision,
            server: notification.server,
            sent_at_ms: milliseconds(notification.sent_at - start),
        })
        .collect()
}

/// Routers whose process has exited although the schedule's last action on it isn't a kill.
fn crashed_routers(cluster: &mut Cluster, schedule: &[ScheduledStep]) -> Vec<usize> {
    let is_killed = |router: usize| {
        schedule
            .iter()
            .rfind(|step| step.action == Action::KillRouter && step.target.router == router)
            .is_some_and(|step| step.is_start)
    };
    let processes = cluster.processes.iter_mut().enumerate();
    processes
        .filter_map(|(router, process)| process.has_exited().then_some(router))
        .filter(|router| !is_killed(*router))
        .collect()
}
