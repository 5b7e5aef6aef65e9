//! The messages between two processes of one router. The processes may run different versions, so
//! the JSON names must not change when the Rust names do. `message_stream` transmits the messages;
//! `session` and `exchange` handle them.

use serde::{Deserialize, Serialize};

use super::resource_amounts::ResourceAmounts;
use crate::lifecycle::{AdminCommand, CommandId};
use crate::net::discovery::endpoint_list::EndpointList;
use crate::ops::maintenance_state::MaintenanceState;
use crate::request_ids::{IdHash, IdKey};

/// A message between two processes of one router.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// From the successor: its first message.
    #[serde(rename = "hello")]
    Hello {
        /// The version of the message format, [`super::PROTOCOL_VERSION`].
        version: u32,
        /// Whether the successor takes part in the sharing of request ids. Missing in messages of
        /// earlier versions.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        shares_ids: bool,
    },
    /// From the predecessor: the reply to [`PeerMessage::Hello`].
    #[serde(rename = "met")]
    HelloAcknowledged {
        /// The current maintenance state.
        #[serde(rename = "orders")]
        maintenance: MaintenanceState,
        /// The predecessor's current endpoint list.
        #[serde(rename = "list")]
        endpoints: Option<EndpointList>,
        /// The key of the hashes of request ids. Missing in messages of earlier versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        id_key: Option<IdKey>,
    },
    /// From the predecessor: its new endpoint list.
    #[serde(rename = "list")]
    EndpointsUpdated(EndpointList),
    /// From the predecessor: amounts of the limits that the successor owns from now on.
    #[serde(rename = "share")]
    LimitsTransferred(ResourceAmounts),
    /// From the successor: it now serves clients.
    #[serde(rename = "ready")]
    SuccessorServing,
    /// From the predecessor: the reply to [`PeerMessage::SuccessorServing`].
    #[serde(rename = "taken")]
    TakeoverAcknowledged,
    /// Request ids that the sender has taken. To the successor: all of them, ahead of the
    /// acknowledgement of its takeover. To the predecessor: new ones.
    #[serde(rename = "ids")]
    IdsTaken(Vec<IdHash>),
    /// Request ids that are free again.
    #[serde(rename = "free_ids")]
    IdsReleased(Vec<IdHash>),
    /// From the predecessor, after the takeover: asks for a request id.
    #[serde(rename = "claim")]
    IdClaimed {
        /// Identifies the question. The answer contains the same number.
        number: u64,
        /// The id.
        id: IdHash,
    },
    /// The reply to [`PeerMessage::IdClaimed`].
    #[serde(rename = "claimed")]
    IdClaimAnswered {
        /// The question's number.
        number: u64,
        /// Whether the id was free.
        granted: bool,
    },
    /// An operator's command that both processes must execute.
    #[serde(rename = "call")]
    AdminCommand {
        /// Identifies the command. The result contains the same number.
        id: u64,
        /// The command.
        #[serde(rename = "call")]
        command: AdminCommand,
        /// Identifies the command at all processes. Missing in messages of earlier versions.
        #[serde(rename = "key", default, skip_serializing_if = "Option::is_none")]
        key: Option<CommandId>,
    },
    /// The reply to [`PeerMessage::AdminCommand`].
    #[serde(rename = "done")]
    AdminCommandResult {
        /// The command's number.
        id: u64,
        /// Whether the command was executed successfully.
        #[serde(rename = "done")]
        succeeded: bool,
    },
}

#[cfg(test)]
mod tests;
