//! Operators' commands for model servers: exclude one from routing, or restore it.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::oneshot;
use tracing::info;

use super::Core;
use crate::core::{MaintenanceAction, MaintenanceCommand, MaintenanceError};
use crate::interface::{EndpointListKind, Event};
use crate::ops::exclusions::Exclusion;

/// A pending reply to an operator's command. It is sent after the decision module has received the
/// change.
pub(super) struct MaintenanceReply {
    reply_sender: oneshot::Sender<Result<Vec<Exclusion>, MaintenanceError>>,
    result: Result<Vec<Exclusion>, MaintenanceError>,
}

impl Core {
    /// Executes an operator's command. From the next step on, the decision module sees the model
    /// server's entry with the exclusion applied or removed.
    pub(super) fn maintain(&mut self, command: MaintenanceCommand) {
        let MaintenanceCommand {
            replica,
            name,
            action,
            validated,
            reply_sender,
        } = command;
        if !validated && !self.exclusions.is_known(replica) {
            return self.maintenance_replies.push(MaintenanceReply {
                reply_sender,
                result: Err(MaintenanceError::UnknownServer),
            });
        }
        let at = Instant::now();
        let now = self.clock.time_at(at);
        let entry = match action {
            MaintenanceAction::Exclude => {
                info!("model server {name} is excluded from routing");
                self.exclusions.exclude(replica, &name, now)
            }
            MaintenanceAction::Restore => {
                info!("model server {name} is restored to routing");
                self.exclusions.restore(replica, now)
            }
        };
        if let Some(entry) = entry {
            self.events.push(Event::EndpointsUpdated {
                kind: EndpointListKind::Partial,
                entries: Arc::new([entry]),
            });
        }
        if action == MaintenanceAction::Exclude {
            self.cancel_unstarted(|attempt_replica| attempt_replica == replica, at);
        }
        self.fleet_metrics_published_at = None;
        self.maintenance_replies.push(MaintenanceReply {
            reply_sender,
            result: Ok(self.exclusions.to_vec()),
        });
    }

    /// Replies to the commands whose changes the decision module has received.
    pub(super) fn send_maintenance_replies(&mut self) {
        for reply in self.maintenance_replies.drain(..) {
            let _ = reply.reply_sender.send(reply.result);
        }
    }
}
