//! Checks what the peers observed against the rules. It uses nothing that the routers report of
//! themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::{Attempt, AttemptEnd, Delivery, DeliveryEnd, Record};

/// Attempts that a request may have in all.
const MAX_ATTEMPTS: usize = 3;
/// A final answer may begin so much later than the client's deadline.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after the request's end or its client's disconnection.
const END_TOLERANCE: Duration = Duration::from_millis(100);
/// The timeout forwarded to a server may exceed the client's remaining time by so much.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(150);
/// Time between an event and its entry in a peer's record on a busy machine.
const SLACK: Duration = Duration::from_millis(50);

/// A rule that a run can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An accepted request had no complete answer.
    Unanswered,
    /// A request was read, and its connection closed without an answer.
    ReadAndClosed,
    /// A stream broke off that its server had not broken off.
    StreamTruncated,
    /// The answer was made for another request, or for none.
    WrongAnswer,
    /// The final answer began too late.
    LateAnswer,
    /// An attempt began after the request's end.
    AttemptAfterEnd,
    /// An attempt began after its client had disconnected.
    AttemptAfterDisconnect,
    /// Two attempts were in flight at once.
    OverlappingAttempts,
    /// There were too many attempts.
    TooManyAttempts,
    /// A server was given more time than the client had left.
    DeadlineTooLong,
    /// An attempt was made for a request that no client had sent.
    UnknownRequest,
}

/// A violated rule, the request's id, and what was recorded of it.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub id: String,
    pub detail: String,
}

/// All violations in a run's record; none where every rule holds.
pub fn violations(record: &Record) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &record.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    let mut requests: BTreeMap<&str, Vec<&Delivery>> = BTreeMap::new();
    for delivery in &record.deliveries {
        requests.entry(&delivery.id).or_default().push(delivery);
    }
    for (id, deliveries) in &mut requests {
        deliveries.sort_by_key(|delivery| delivery.sent);
        let mut own_attempts = attempts.remove(id).unwrap_or_default();
        own_attempts.sort_by_key(|attempt| attempt.began);
        let request = Request {
            record,
            deliveries,
            attempts: &own_attempts,
        };
        let violated = request
            .check_answers()
            .into_iter()
            .chain(request.check_attempts());
        found.extend(violated.map(|(rule, detail)| Violation {
            rule,
            id: id.to_string(),
            detail,
        }));
    }
    for (id, own_attempts) in attempts {
        let detail = format!("{own_attempts:?}");
        found.push(Violation {
            rule: Rule::UnknownRequest,
            id: id.to_string(),
            detail,
        });
    }
    found
}

/// A request: each time that it was delivered, and the attempts made for it.
struct Request<'a> {
    record: &'a Record,
    deliveries: &'a [&'a Delivery],
    attempts: &'a [&'a Attempt],
}

type Violations = Vec<(Rule, String)>;

impl Request<'_> {
    /// Rules that its answers violate.
    fn check_answers(&self) -> Violations {
        let mut violations = Vec::new();
        for delivery in self.deliveries {
            let Delivery {
                id,
                router,
                sent,
                ended,
                end,
                ..
            } = delivery;
            let killed = self.record.killed(*router, *sent, *ended);
            let mut add = |rule| {
                violations.push((rule, format!("{delivery:?}, attempts {:?}", self.attempts)));
            };
            match end {
                DeliveryEnd::Answered { made_for } if made_for.as_ref() != Some(id) => {
                    add(Rule::WrongAnswer);
                }
                DeliveryEnd::Truncated { made_for }
                    if made_for.as_ref().is_some_and(|made_for| made_for != id) =>
                {
                    add(Rule::WrongAnswer);
                }
                DeliveryEnd::Malformed => add(Rule::WrongAnswer),
                DeliveryEnd::Truncated { .. } if !killed && !self.truncated_by_server() => {
                    add(Rule::StreamTruncated);
                }
                DeliveryEnd::ReadAndClosed if !killed => add(Rule::ReadAndClosed),
                DeliveryEnd::TimedOut if !killed => add(Rule::Unanswered),
                _ => {}
            }
            if self.is_late(delivery) && !killed {
                add(Rule::LateAnswer);
            }
        }
        violations
    }

    fn truncated_by_server(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|attempt| attempt.end == AttemptEnd::TruncatedByServer)
    }

    fn is_late(&self, delivery: &Delivery) -> bool {
        let Delivery {
            router,
            sent,
            turn,
            timeout,
            began,
            end,
            ..
        } = delivery;
        let answered = matches!(
            end,
            DeliveryEnd::Answered { .. }
                | DeliveryEnd::Truncated { .. }
                | DeliveryEnd::ErrorStatus(_)
        );
        let stopped = self.record.stopped(*router, *sent, *began);
        answered && *began > (*sent + *timeout).max(*turn) + ANSWER_TOLERANCE + stopped + SLACK
    }

    /// Rules that its attempts violate.
    fn check_attempts(&self) -> Violations {
        let mut violations = Vec::new();
        if self.attempts.len() > MAX_ATTEMPTS {
            violations.push((Rule::TooManyAttempts, format!("{:?}", self.attempts)));
        }
        for pair in self.attempts.windows(2) {
            if pair[0].ended > pair[1].began + SLACK {
                violations.push((Rule::OverlappingAttempts, format!("{pair:?}")));
            }
        }
        for attempt in self.attempts {
            violations.extend(
                self.check_attempt(attempt)
                    .map(|rule| (rule, format!("{attempt:?}, {:?}", self.deliveries))),
            );
        }
        violations
    }

    /// The rule that an attempt violates, given the delivery that it was made for.
    fn check_attempt(&self, attempt: &Attempt) -> Option<Rule> {
        let before = |delivery: &&&Delivery| delivery.sent <= attempt.began + SLACK;
        let delivery = self.deliveries.iter().rev().find(before);
        let Some(delivery) = delivery else {
            return Some(Rule::UnknownRequest);
        };
        let too_late = attempt.began > delivery.ended + END_TOLERANCE + SLACK;
        let remaining = (delivery.sent + delivery.timeout).saturating_sub(attempt.began);
        match delivery.end {
            DeliveryEnd::Disconnected if too_late => Some(Rule::AttemptAfterDisconnect),
            _ if too_late => Some(Rule::AttemptAfterEnd),
            _ if attempt.forwarded_timeout > remaining + TIMEOUT_TOLERANCE + SLACK => {
                Some(Rule::DeadlineTooLong)
            }
            _ => None,
        }
    }
}
