//! The decision module: which replica a request is sent to, when, whether it is retried, and what
//! is rejected. It implements dispatch by maturity and slack budget (HFX, see the design page).
//!
//! A [`Balancer`] takes [`interface::Event`]s in and returns [`interface::Action`]s. It does no
//! I/O, reads no clock and draws from one seeded generator, so the same events give the same
//! actions. The actions are carried out by `core`; the platform's wire protocol belongs to `net`.
//!
//! [`interface::Event`]: crate::interface::Event
//! [`interface::Action`]: crate::interface::Action
//!
//! # Decisions
//!
//! | question | module |
//! | --- | --- |
//! | is a request admitted, or rejected on arrival | `arrival`, by `admission` |
//! | what counts for a session that was rejected before | `session_fairness` |
//! | which requests are queued, and when does one leave the queue unsent | `queue` |
//! | when is a queued request sent, and may it leave the replica that has it cached | `dispatch` |
//! | which replica is it sent to | `selection`, after load reports by `health_checks` |
//! | when does a replica take requests, and how long is its backoff after a fault | `maturity` |
//! | how many tokens may a replica be sent at once | `slack_budget`, from `predictions` |
//! | what starts an attempt, and what does its outcome change | `attempts`, `measurements` |
//! | may a request be sent to a replica, and is it retried after a failure | `retry` |
//! | what is its final answer: rejected, or failed | `completion` |
//! | where is a prompt cached, and what does a request cost there | `cache_affinity` |
//! | how much is a replica sent that is warming up | `slow_start` |
//! | which replicas are there, and does any serve a model | `membership` |
//! | when is the balancer stepped again | `timers` |
//! | when is the endpoint list polled | `list_poll_timer` |
//!
//! # State
//!
//! All state is in [`Balancer`], and its fields name the module that changes them. Types of state:
//! `in_flight` (a request and its attempts), `request_queue`, `replica`, `replica_table`,
//! `maturity_index`, `hash_ring`, `admission`, `list_poll_timer` and `estimators` (what was
//! measured).
//!
//! Imports go one way: the modules of decisions import `balancer`, that imports the types of state,
//! and those import `estimators`.

mod admission;
mod arrival;
mod attempts;
mod balancer;
mod cache_affinity;
mod completion;
mod dispatch;
mod estimators;
mod hash_ring;
mod health_checks;
mod in_flight;
mod list_poll_timer;
mod maturity;
mod maturity_index;
mod measurements;
mod membership;
mod predictions;
mod queue;
mod replica;
mod replica_table;
mod request_queue;
mod retry;
mod selection;
mod session_fairness;
mod slack_budget;
mod slow_start;
mod timers;

pub use balancer::Balancer;
pub use estimators::prefill_model::{LinearFit, LinearModel};
pub use slack_budget::{maturity_delay, slack_budget};
