//! Rules that define which call fails, how, how often and when.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::Call;

/// Number of fields in a rule's text.
const FIELD_COUNT: usize = 5;
/// Separator between the rules of a plan.
const RULE_SEPARATOR: &str = ";";
/// The text of [`Fault::Short`].
const SHORT: &str = "short";
/// The text in place of the end for a rule without an end.
const NO_END: &str = "-";

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call returns -1 with this `errno` and has no effect.
    Errno(i32),
    /// The call transfers one byte on a socket, or half of the requested bytes on a file.
    Short,
}

/// The fault of a call, its rate, and the period in which it occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The call that fails.
    pub call: Call,
    /// How the call fails.
    pub fault: Fault,
    /// The probability that a call fails, from 0 to 1.
    pub rate: f64,
    /// Time from the start of the process to the start of the rule's period.
    pub from: Duration,
    /// Time from the start of the process to the end of the rule's period; `None` if the rule
    /// applies until the process ends.
    pub until: Option<Duration>,
}

impl Rule {
    /// Creates a rule that applies as long as the process runs.
    pub fn new(call: Call, fault: Fault, rate: f64) -> Rule {
        Rule {
            call,
            fault,
            rate,
            from: Duration::ZERO,
            until: None,
        }
    }

    /// Whether the rule applies at this time after the start of the process.
    pub fn applies_at(&self, elapsed: Duration) -> bool {
        elapsed >= self.from && self.until.is_none_or(|until| elapsed < until)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = match self.fault {
            Fault::Errno(errno) => errno.to_string(),
            Fault::Short => SHORT.to_string(),
        };
        let until = self
            .until
            .map_or_else(|| NO_END.to_string(), |until| until.as_millis().to_string());
        write!(
            out,
            "{} {fault} {} {} {until}",
            self.call.name(),
            self.rate,
            self.from.as_millis()
        )
    }
}

/// The error of a text that is not a valid rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a rule of the form 'CALL ERRNO|short RATE FROM_MS UNTIL_MS|-'")]
pub struct PlanError(String);

impl FromStr for Rule {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Rule, PlanError> {
        let fields: Vec<&str> = text.split_whitespace().collect();
        let rule = <[&str; FIELD_COUNT]>::try_from(fields)
            .ok()
            .and_then(parse_rule);
        rule.ok_or_else(|| PlanError(text.to_string()))
    }
}

fn parse_rule([call, fault, rate, from, until]: [&str; FIELD_COUNT]) -> Option<Rule> {
    let milliseconds = |text: &str| text.parse().ok().map(Duration::from_millis);
    let fault = match fault {
        SHORT => Fault::Short,
        errno => Fault::Errno(errno.parse().ok()?),
    };
    let until = if until == NO_END {
        None
    } else {
        Some(milliseconds(until)?)
    };
    let rate = rate
        .parse()
        .ok()
        .filter(|rate| (0.0..=1.0).contains(rate))?;
    Some(Rule {
        call: Call::by_name(call)?,
        fault,
        rate,
        from: milliseconds(from)?,
        until,
    })
}

/// Parses the rules of a plan.
pub fn parse_plan(text: &str) -> Result<Vec<Rule>, PlanError> {
    text.split(RULE_SEPARATOR)
        .filter(|rule| !rule.trim().is_empty())
        .map(str::parse)
        .collect()
}

/// Formats a plan in the form that [`parse_plan`] reads.
pub fn write_plan(rules: &[Rule]) -> String {
    let rules: Vec<String> = rules.iter().map(Rule::to_string).collect();
    rules.join(RULE_SEPARATOR)
}
