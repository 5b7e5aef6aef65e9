//! Reads the budgets of a node.

use std::sync::Arc;

use jiff::civil::Date;
use jiff::tz::TimeZone;
use toml::Spanned;

use super::problem::Problem;
use super::raw::{RawBudget, RawConfig};
use super::source_file::SourceFile;
use crate::config::ConfigError;
use crate::interface::Span;
use crate::spend::{Budget, BudgetLimit, MAX_BUDGET_TOKENS, MicroTokens, Period, PeriodLength};

/// The allowed rates of a budget, in tokens per second.
const RATE_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e9;
/// The minimum refill time of a token bucket.
const MIN_REFILL_TIME: Span = Span::from_micros(1);
const SECONDS_PER_HOUR: u64 = 3_600;
/// The default name of a budget with a rate.
const DEFAULT_RATE_NAME: &str = "rate";

/// Reads budgets, using the file's time zone and terms for their periods.
pub(super) struct BudgetReader<'a> {
    file: &'a SourceFile<'a>,
    time_zone: TimeZone,
    term_starts: Arc<[Date]>,
}

impl<'a> BudgetReader<'a> {
    /// Creates a reader with the file's time zone and terms.
    pub(super) fn new(
        file: &'a SourceFile<'a>,
        raw: &RawConfig,
    ) -> Result<BudgetReader<'a>, ConfigError> {
        Ok(BudgetReader {
            file,
            time_zone: file.time_zone(raw.time_zone.as_ref(), &TimeZone::UTC)?,
            term_starts: read_term_starts(file, &raw.term_starts)?,
        })
    }

    /// Reads one budget.
    pub(super) fn read(&self, raw: &Spanned<RawBudget>) -> Result<Budget, ConfigError> {
        let budget = raw.get_ref();
        let amount = self.amount(&budget.tokens)?;
        if let Some(rate) = &budget.rate {
            return self.rate_budget(budget, rate, amount);
        }
        let Some(period) = &budget.period else {
            return Err(self.file.error(raw.span(), Problem::BudgetWithoutPeriod));
        };
        let length = self.period_length(period)?;
        let name = budget.name.as_ref().unwrap_or(period.get_ref()).clone();
        let limit = self.period_limit(budget, amount, length)?;
        Ok(Budget { name, limit })
    }

    fn amount(&self, tokens: &Spanned<i64>) -> Result<MicroTokens, ConfigError> {
        match u64::try_from(*tokens.get_ref()) {
            Ok(count) if count <= MAX_BUDGET_TOKENS => Ok(MicroTokens::from_tokens(count)),
            _ => Err(self.file.error(tokens.span(), Problem::TokensOutOfRange)),
        }
    }

    fn rate_budget(
        &self,
        raw: &RawBudget,
        rate: &Spanned<f64>,
        amount: MicroTokens,
    ) -> Result<Budget, ConfigError> {
        if raw.period.is_some() || raw.refill.is_some() || raw.time_zone.is_some() {
            return Err(self.file.error(rate.span(), Problem::RateWithPeriod));
        }
        let tokens_per_second = self.file.number_in(RATE_RANGE, "per_second", rate)?;
        let tokens = amount.as_u64() as f64 / MicroTokens::PER_TOKEN as f64;
        let refill_time = Span::from_secs_f64(tokens / tokens_per_second).max(MIN_REFILL_TIME);
        let name = raw.name.as_deref().unwrap_or(DEFAULT_RATE_NAME);
        Ok(Budget {
            name: name.into(),
            limit: BudgetLimit::TokenBucket {
                amount,
                refill_time,
            },
        })
    }

    fn period_length(&self, period: &Spanned<String>) -> Result<PeriodLength, ConfigError> {
        let problem = match period.get_ref().as_str() {
            "hour" => return Ok(PeriodLength::Hour),
            "day" => return Ok(PeriodLength::Day),
            "week" => return Ok(PeriodLength::Week),
            "term" if !self.term_starts.is_empty() => {
                return Ok(PeriodLength::Term(self.term_starts.clone()));
            }
            "term" => Problem::TermsMissing,
            other => Problem::UnknownPeriod(other.into()),
        };
        Err(self.file.error(period.span(), problem))
    }

    fn period_limit(
        &self,
        raw: &RawBudget,
        amount: MicroTokens,
        length: PeriodLength,
    ) -> Result<BudgetLimit, ConfigError> {
        let refill = raw.refill.as_ref();
        match refill.map_or("start", |refill| refill.get_ref().as_str()) {
            "start" => {
                let zone = self
                    .file
                    .time_zone(raw.time_zone.as_ref(), &self.time_zone)?;
                let period = Period { length, zone };
                Ok(BudgetLimit::PerPeriod { amount, period })
            }
            "drip" => match bucket_refill_time(&length) {
                Some(refill_time) => Ok(BudgetLimit::TokenBucket {
                    amount,
                    refill_time,
                }),
                None => Err(self.refill_error(raw, Problem::TermWithoutLength)),
            },
            _ => Err(self.refill_error(raw, Problem::UnknownRefill)),
        }
    }

    fn refill_error(&self, raw: &RawBudget, problem: Problem) -> ConfigError {
        let byte_range = raw.refill.as_ref().map(Spanned::span).unwrap_or_default();
        self.file.error(byte_range, problem)
    }
}

/// The refill time of a token bucket whose capacity is the limit of one period; `None` for terms,
/// which differ in length.
fn bucket_refill_time(length: &PeriodLength) -> Option<Span> {
    let hours = match length {
        PeriodLength::Hour => 1,
        PeriodLength::Day => 24,
        PeriodLength::Week => 7 * 24,
        PeriodLength::Term(_) => return None,
    };
    Some(Span::from_secs(hours * SECONDS_PER_HOUR))
}

/// Reads the first days of the terms, which must be in ascending order.
fn read_term_starts(
    file: &SourceFile<'_>,
    raw: &[Spanned<String>],
) -> Result<Arc<[Date]>, ConfigError> {
    let mut days: Vec<Date> = Vec::with_capacity(raw.len());
    for text in raw {
        let day: Option<Date> = text.get_ref().parse().ok();
        let Some(day) = day.filter(|day| days.last().is_none_or(|last| last < day)) else {
            let problem = Problem::TermOutOfOrder(text.get_ref().clone());
            return Err(file.error(text.span(), problem));
        };
        days.push(day);
    }
    Ok(days.into())
}
