//! The decision module. It decides to which replica and when a request is sent, whether a request
//! is retried, and which requests are rejected. It implements dispatch by maturity and slack budget
//! (HFX, see the design page).
//!
//! A [`Balancer`] receives [`interface::Event`]s and returns [`interface::Action`]s. It performs no
//! I/O, reads no clock, and draws all random numbers from one seeded generator, so the same events
//! produce the same actions. `core` carries out the actions; `net` implements the platform's wire
//! protocol.
//!
//! [`interface::Event`]: crate::interface::Event
//! [`interface::Action`]: crate::interface::Action
//!
//! # Decisions
//!
//! | Question | Module |
//! | --- | --- |
//! | Is an arriving request admitted or rejected? | `arrival`, with `admission` |
//! | How are earlier rejections of a session taken into account? | `session_fairness` |
//! | Which requests are queued, and when is one removed without being sent? | `queue` |
//! | When is a queued request sent, and may its session migrate to another replica? | `dispatch` |
//! | Which replica is a request sent to? | `selection`, by `cost`, with load reports from `health_checks` |
//! | When are estimates disregarded that exclude every replica? | `progress` |
//! | When does a replica accept requests, and how long is its backoff after a fault? | `maturity` |
//! | How many tokens may be sent to a replica at once? | `slack_budget`, from `predictions` |
//! | How many replicas could take a request? | `availability` |
//! | What starts an attempt, and what does its outcome change? | `attempts`, `measurements` |
//! | May a request be sent to a replica, and is it retried after a failure? | `retry` |
//! | Is the final answer to a request a rejection or a failure? | `completion` |
//! | Where is a prompt cached, and what does a request cost there? | `cache_affinity` |
//! | How many requests are sent to a replica that is warming up? | `slow_start` |
//! | How large is each replica? | `replica_sizes` |
//! | Which replicas exist, and does any serve a model? | `membership` |
//! | Why was no replica chosen, and for how long is nothing sent? | `exclusions` |
//! | When is the balancer stepped again? | `timers` |
//! | When is the endpoint list polled? | `list_poll_timer` |
//!
//! # State
//!
//! All state is in [`Balancer`]; the comment on each of its fields names the module that changes
//! the field. The types of the state are in `in_flight` (a request and its attempts),
//! `request_queue`, `replica`, `replica_table`, `maturity_index`, `hash_ring`, `admission`,
//! `list_poll_timer` and `estimators` (measurements).
//!
//! Modules depend on each other in one direction: the decision modules import `balancer`,
//! `balancer` imports the state types, and the state types import `estimators`.

mod admission;
mod arrival;
mod attempts;
mod availability;
mod balancer;
mod cache_affinity;
mod completion;
mod cost;
mod dispatch;
mod estimators;
mod exclusions;
mod hash_ring;
mod health_checks;
mod in_flight;
mod list_poll_timer;
mod maturity;
mod maturity_index;
mod measurements;
mod membership;
mod predictions;
mod progress;
mod queue;
mod replica;
mod replica_sizes;
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
