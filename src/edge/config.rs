//! The edge's own file, `deploy/edge.toml`, and the keys' file beside it: read and checked whole,
//! with the line of what is wrong.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use jiff::civil::Date;
use jiff::tz::TimeZone;
use serde::Deserialize;
use toml::Spanned;

use crate::config::{ConfigError, read_file};
use crate::identity::{self, ApiKeys};
use crate::interface::Dur;
use crate::routing::{Catalog, CatalogError, ModelNumbers, ModelSpec, Named};
use crate::spend::{
    Budget, BudgetLimit, BudgetNode, BudgetTree, MAX_BUDGET_TOKENS, MAX_DEPTH,
    MICRO_TOKENS_PER_TOKEN, Period, PeriodLength, Price,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    keys: Option<PathBuf>,
    zone: Option<Spanned<String>>,
    #[serde(default)]
    terms: Vec<Spanned<String>>,
    instances: Option<Spanned<u32>>,
    ask_models_s: Option<Spanned<f64>>,
    slice: Option<Spanned<u32>>,
    fairness: Option<RawFairness>,
    #[serde(default)]
    model: Vec<Spanned<RawModel>>,
    #[serde(default)]
    alias: Vec<Spanned<RawAlias>>,
    #[serde(default)]
    price: Vec<Spanned<RawPrice>>,
    #[serde(default)]
    node: Vec<Spanned<RawNode>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFairness {
    requests_per_s: Spanned<f64>,
    over_share_worth: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawModel {
    name: String,
    base: Option<String>,
    load_ms: Option<u32>,
    window: u32,
    max_answer: u32,
    fallback: Option<String>,
    class: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAlias {
    name: String,
    model: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPrice {
    model: String,
    prompt: u64,
    answer: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNode {
    path: String,
    weight: Option<Spanned<f64>>,
    models: Option<Vec<Spanned<String>>>,
    #[serde(default)]
    budgets: Vec<Spanned<RawBudget>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBudget {
    name: Option<String>,
    tokens: Spanned<i64>,
    per: Option<Spanned<String>>,
    refill: Option<Spanned<String>>,
    zone: Option<Spanned<String>>,
    per_second: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKeys {
    #[serde(default)]
    key: Vec<Spanned<RawKey>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKey {
    id: String,
    node: String,
    hash: String,
    #[serde(default)]
    revoked: bool,
}

/// A school: the tenant that its requests count to.
#[derive(Clone, Debug, PartialEq)]
pub struct School {
    /// Its path, `district/school`.
    pub path: String,
    /// Requests a second that are its share where capacity is short, over all routers; infinite
    /// without shares.
    pub share: f64,
}

/// Everything that the edge goes by: read whole, in force whole.
#[derive(Debug)]
pub struct Book {
    /// The models.
    pub catalog: Arc<Catalog>,
    /// The budgets.
    pub tree: BudgetTree,
    /// The keys; none where nobody has to show one.
    pub keys: Option<ApiKeys>,
    /// The models that a node may use, by their names; nodes that are not named here may use all
    /// that their parent may.
    pub allowed: HashMap<String, Vec<usize>>,
    /// The schools, in the tenants' order.
    pub schools: Vec<School>,
    /// The schools' places by their paths.
    school_at: HashMap<String, usize>,
    /// What a request beyond its school's share is worth, as a part.
    pub over_share_worth: f64,
    /// How often hosts are asked for their models; zero: never.
    pub ask_models: std::time::Duration,
    /// Tokens that an answer without a told limit reserves at a time.
    pub slice: u32,
}

/// Points errors at lines.
struct File<'a> {
    path: &'a Path,
    text: &'a str,
}

impl File<'_> {
    fn wrong(&self, at: std::ops::Range<usize>, what: impl std::fmt::Display) -> ConfigError {
        let before = self.text.get(..at.start).unwrap_or_default();
        let line = 1 + before.bytes().filter(|b| *b == b'\n').count();
        ConfigError::malformed(self.path, format!("line {line}: {what}"))
    }

    fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, ConfigError> {
        toml::from_str(self.text).map_err(|e| {
            let at = e.span().unwrap_or_default();
            self.wrong(at, e.message())
        })
    }

    fn zone(&self, name: Option<&Spanned<String>>, or: &TimeZone) -> Result<TimeZone, ConfigError> {
        let Some(name) = name else {
            return Ok(or.clone());
        };
        TimeZone::get(name.get_ref())
            .map_err(|_| self.wrong(name.span(), format!("no time zone {:?}", name.get_ref())))
    }

    fn within(
        &self,
        value: &Spanned<f64>,
        name: &str,
        least: f64,
        most: f64,
    ) -> Result<f64, ConfigError> {
        let n = *value.get_ref();
        if (least..=most).contains(&n) {
            return Ok(n);
        }
        Err(self.wrong(value.span(), format!("{name} must be {least} to {most}")))
    }

    fn budget(&self, raw: &Spanned<RawBudget>, common: &Common) -> Result<Budget, ConfigError> {
        let b = raw.get_ref();
        let tokens = u64::try_from(*b.tokens.get_ref())
            .ok()
            .filter(|t| *t <= MAX_BUDGET_TOKENS);
        let what = || {
            self.wrong(
                b.tokens.span(),
                format!("tokens must be 0 to {MAX_BUDGET_TOKENS}"),
            )
        };
        let amount = tokens.ok_or_else(what)? * MICRO_TOKENS_PER_TOKEN;
        if let Some(rate) = &b.per_second {
            if b.per.is_some() || b.refill.is_some() || b.zone.is_some() {
                return Err(self.wrong(rate.span(), "a rate goes with tokens (its burst) alone"));
            }
            let rate = self.within(rate, "per_second", 0.001, 1e9)?;
            let refill_time = Dur::from_secs(amount as f64 / MICRO_TOKENS_PER_TOKEN as f64 / rate);
            let name = b.name.clone().unwrap_or_else(|| "rate".into());
            return Ok(Budget {
                name,
                limit: BudgetLimit::TokenBucket {
                    amount,
                    refill_time: refill_time.max(Dur(1)),
                },
            });
        }
        let Some(per) = &b.per else {
            return Err(self.wrong(
                raw.span(),
                "a budget needs per (hour, day, week, term) or per_second",
            ));
        };
        let (length, secs) = match per.get_ref().as_str() {
            "hour" => (PeriodLength::Hour, 3_600),
            "day" => (PeriodLength::Day, 86_400),
            "week" => (PeriodLength::Week, 7 * 86_400),
            "term" if !common.terms.is_empty() => (PeriodLength::Term(common.terms.clone()), 0),
            "term" => return Err(self.wrong(per.span(), "a term needs the days of terms")),
            other => {
                return Err(self.wrong(
                    per.span(),
                    format!("per {other:?} is no hour, day, week or term"),
                ));
            }
        };
        let name = b.name.clone().unwrap_or_else(|| per.get_ref().clone());
        let limit = match b.refill.as_ref().map(|r| (r.get_ref().as_str(), r.span())) {
            None | Some(("start", _)) => BudgetLimit::PerPeriod {
                amount,
                period: Period {
                    length,
                    zone: self.zone(b.zone.as_ref(), &common.zone)?,
                },
            },
            Some(("drip", at)) if secs == 0 => {
                return Err(self.wrong(at, "a term has no length to drip over"));
            }
            Some(("drip", _)) => BudgetLimit::TokenBucket {
                amount,
                refill_time: Dur(secs * 1_000_000),
            },
            Some((_, at)) => return Err(self.wrong(at, "refill must be start or drip")),
        };
        Ok(Budget { name, limit })
    }
}

struct Common {
    zone: TimeZone,
    terms: Arc<[Date]>,
}

impl Book {
    /// Reads the file, and the keys' file that it names (relative to its own folder). `classes` are
    /// the settings'.
    pub fn load(
        path: &Path,
        classes: &[String],
        numbers: &mut ModelNumbers,
    ) -> Result<Book, ConfigError> {
        let text = read_file(path)?;
        let (mut book, keys) = Book::parse(path, &text, classes, numbers)?;
        if let Some(keys) = keys {
            let keys = path.parent().unwrap_or(Path::new("")).join(keys);
            book.keys = Some(read_keys(&keys, &read_file(&keys)?, &book.tree)?);
        }
        Ok(book)
    }

    /// Reads the text of the file; also returns the name of the keys' file.
    pub fn parse(
        path: &Path,
        text: &str,
        classes: &[String],
        numbers: &mut ModelNumbers,
    ) -> Result<(Book, Option<PathBuf>), ConfigError> {
        let file = File { path, text };
        let raw: Raw = file.parse()?;
        let catalog = file.catalog(&raw, classes, numbers)?;
        let common = Common {
            zone: file.zone(raw.zone.as_ref(), &TimeZone::UTC)?,
            terms: file.terms(&raw.terms)?,
        };
        let instances = match &raw.instances {
            None => 1,
            Some(n) if (1..=1000).contains(n.get_ref()) => *n.get_ref(),
            Some(n) => return Err(file.wrong(n.span(), "instances must be 1 to 1000")),
        };
        let mut tree = BudgetTree {
            nodes: Vec::with_capacity(raw.node.len()),
            instances,
        };
        let (mut allowed, mut weights) = (HashMap::new(), Vec::new());
        for node in &raw.node {
            let n = node.get_ref();
            let budgets = n
                .budgets
                .iter()
                .map(|b| file.budget(b, &common))
                .collect::<Result<_, _>>()?;
            tree.nodes.push(BudgetNode {
                path: n.path.clone(),
                budgets,
            });
            if let Some(models) = &n.models {
                let find = |m: &Spanned<String>| {
                    let what =
                        || file.wrong(m.span(), format!("no model or alias {:?}", m.get_ref()));
                    catalog.find(m.get_ref()).ok_or_else(what)
                };
                allowed.insert(
                    n.path.clone(),
                    models.iter().map(find).collect::<Result<_, _>>()?,
                );
            }
            let school = n.path.split('/').count() == 2;
            match &n.weight {
                Some(weight) if !school => {
                    return Err(file.wrong(
                        weight.span(),
                        "only a school (district/school) has a weight",
                    ));
                }
                Some(weight) => {
                    weights.push((n.path.clone(), file.within(weight, "weight", 0.001, 1e6)?));
                }
                None if school => weights.push((n.path.clone(), 1.0)),
                None => {}
            }
        }
        if let Err(fault) = tree.check() {
            return Err(file.wrong(raw.node[fault.node].span(), fault.problem));
        }
        let mut over_share_worth = 1.0;
        let mut rate = f64::INFINITY;
        if let Some(fairness) = &raw.fairness {
            rate = file.within(&fairness.requests_per_s, "requests_per_s", 0.001, 1e7)?;
            over_share_worth = match &fairness.over_share_worth {
                Some(worth) => file.within(worth, "over_share_worth", 0.0, 1.0)?,
                None => 0.25,
            };
        }
        let sum: f64 = weights.iter().map(|w| w.1).sum();
        let share = |(path, weight): (String, f64)| School {
            path,
            share: rate * weight / sum,
        };
        let ask_models = match &raw.ask_models_s {
            Some(s) => file.within(s, "ask_models_s", 0.0, 3600.0)?,
            None => 10.0,
        };
        let slice = match &raw.slice {
            None => 256,
            Some(n) if (1..=65_536).contains(n.get_ref()) => *n.get_ref(),
            Some(n) => return Err(file.wrong(n.span(), "slice must be 1 to 65536 tokens")),
        };
        let book = Book {
            catalog: Arc::new(catalog),
            tree,
            keys: None,
            allowed,
            school_at: weights
                .iter()
                .enumerate()
                .map(|(at, w)| (w.0.clone(), at))
                .collect(),
            schools: weights.into_iter().map(share).collect(),
            over_share_worth,
            ask_models: std::time::Duration::from_secs_f64(ask_models),
            slice,
        };
        Ok((book, raw.keys))
    }

    /// What it holds, in a line.
    pub fn summary(&self) -> String {
        let keys = self
            .keys
            .as_ref()
            .map_or("no keys: everybody may ask".into(), |k| {
                format!("{} keys", k.len())
            });
        let (models, nodes, schools) = (
            self.catalog.models().len(),
            self.tree.nodes.len(),
            self.schools.len(),
        );
        format!("{models} models, {nodes} nodes, {schools} schools, {keys}")
    }

    /// Whether a node may use a model: it and all above it.
    pub fn may_use(&self, node: &str, model: usize) -> bool {
        let mut path = Some(node);
        for _ in 0..MAX_DEPTH {
            let Some(here) = path else { break };
            if self
                .allowed
                .get(here)
                .is_some_and(|models| !models.contains(&model))
            {
                return false;
            }
            path = here.rsplit_once('/').map(|p| p.0);
        }
        true
    }

    /// The place among the schools of the one that a node belongs to.
    pub fn school(&self, node: &str) -> Option<usize> {
        let end = node
            .match_indices('/')
            .nth(1)
            .map_or(node.len(), |(at, _)| at);
        self.school_at.get(&node[..end]).copied()
    }
}

impl File<'_> {
    fn catalog(
        &self,
        raw: &Raw,
        classes: &[String],
        numbers: &mut ModelNumbers,
    ) -> Result<Catalog, ConfigError> {
        for class in raw.model.iter().filter_map(|m| m.get_ref().class.as_ref()) {
            if !classes.contains(class.get_ref()) {
                return Err(self.wrong(class.span(), format!("no class {:?}", class.get_ref())));
            }
        }
        let spec = |m: &Spanned<RawModel>| {
            let m = m.get_ref();
            ModelSpec {
                name: m.name.clone(),
                base: m.base.clone(),
                load_time: Dur(u64::from(m.load_ms.unwrap_or(0)) * 1000),
                context_window: m.window,
                max_output_tokens: m.max_answer,
                fallback: m.fallback.clone(),
                class: m.class.as_ref().map(|c| c.get_ref().clone()),
            }
        };
        let specs: Vec<ModelSpec> = raw.model.iter().map(spec).collect();
        let alias = |a: &Spanned<RawAlias>| Named {
            name: a.get_ref().name.clone(),
            value: a.get_ref().model.clone(),
        };
        let aliases: Vec<Named<String>> = raw.alias.iter().map(alias).collect();
        let price = |p: &Spanned<RawPrice>| {
            let p = p.get_ref();
            Named {
                name: p.model.clone(),
                value: Price {
                    per_prompt_token: p.prompt,
                    per_output_token: p.answer,
                },
            }
        };
        let prices: Vec<Named<Price>> = raw.price.iter().map(price).collect();
        if specs.is_empty() {
            return Err(self.wrong(0..0, "no [[model]]"));
        }
        Catalog::build(&specs, &aliases, &prices, numbers).map_err(|fault| match fault {
            CatalogError::Model(k, what) => self.wrong(raw.model[k].span(), what),
            CatalogError::Alias(k, what) => self.wrong(raw.alias[k].span(), what),
            CatalogError::Price(k, what) => self.wrong(raw.price[k].span(), what),
        })
    }

    fn terms(&self, raw: &[Spanned<String>]) -> Result<Arc<[Date]>, ConfigError> {
        let mut days: Vec<Date> = Vec::with_capacity(raw.len());
        for text in raw {
            let day: Option<Date> = text.get_ref().parse().ok();
            match day.filter(|day| days.last().is_none_or(|last| last < day)) {
                Some(day) => days.push(day),
                None => {
                    let what = format!("{:?} is no day after the one before", text.get_ref());
                    return Err(self.wrong(text.span(), what));
                }
            }
        }
        Ok(days.into())
    }
}

/// Reads the keys' file. Two keys of a node may be valid at once, so that one can take over from
/// the other.
pub fn read_keys(path: &Path, text: &str, tree: &BudgetTree) -> Result<ApiKeys, ConfigError> {
    let file = File { path, text };
    let raw: RawKeys = file.parse()?;
    let mut keys = ApiKeys::default();
    let known: std::collections::HashSet<&str> =
        tree.nodes.iter().map(|n| n.path.as_str()).collect();
    for key in &raw.key {
        let k = key.get_ref();
        let wrong = |what: String| Err(file.wrong(key.span(), what));
        if !identity::is_valid_key_id(&k.id) {
            return wrong(format!(
                "{:?} is no id of 1 to 32 letters, digits and _",
                k.id
            ));
        }
        if !known.contains(k.node.as_str()) {
            return wrong(format!("key {}: no node {:?}", k.id, k.node));
        }
        let Some(hash) = identity::parse_hash(&k.hash) else {
            return wrong(format!(
                "key {}: its hash must be sha256: and 64 hex digits",
                k.id
            ));
        };
        if !k.revoked
            && !keys.insert(
                k.id.clone(),
                identity::KeyEntry {
                    node: k.node.clone(),
                    hash,
                },
            )
        {
            return wrong(format!(
                "key id {:?} stands there twice, or there are too many",
                k.id
            ));
        }
    }
    Ok(keys)
}
