//! The ledger beside a slow, obvious model: random reservations, settlements, reloads, period ends
//! and clock jumps.

use std::collections::BTreeMap;

use jiff::tz::TimeZone;
use proptest::prelude::*;
use stilespan::interface::{Span, Timestamp};
use stilespan::spend::{
    Budget, BudgetLimit, BudgetNode, BudgetTree, Ledger, MicroTokens, Period, PeriodLength,
    ReservationId,
};

const HOUR: u64 = 3_600_000_000;
const START: u64 = 1_000_000 * HOUR;
const PATHS: [&str; 6] = ["d", "d/n", "d/s", "d/n/a", "d/n/b", "d/n/a/p"];

fn hourly(amount: MicroTokens) -> Budget {
    let period = Period {
        length: PeriodLength::Hour,
        zone: TimeZone::UTC,
    };
    Budget {
        name: "hour".into(),
        limit: BudgetLimit::PerPeriod { amount, period },
    }
}

fn drip(amount: MicroTokens) -> Budget {
    Budget {
        name: "drip".into(),
        limit: BudgetLimit::TokenBucket {
            amount,
            refill_time: Span::from_micros(HOUR / 60),
        },
    }
}

fn tree(limits: &[MicroTokens; 6], instances: u32) -> BudgetTree {
    let node = |(path, limit): (&&str, &MicroTokens)| BudgetNode {
        path: path.to_string(),
        budgets: vec![hourly(*limit), drip(*limit / 2 + 1)],
    };
    BudgetTree {
        nodes: PATHS.iter().zip(limits).map(node).collect(),
        instances,
    }
}

#[derive(Clone, Debug)]
enum Op {
    Reserve(usize, MicroTokens),
    Extend(usize, MicroTokens),
    Resize(usize, MicroTokens),
    Settle(usize, MicroTokens),
    Release(usize),
    Forward(u64),
    Back(u64),
    Reload([MicroTokens; 6]),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..6usize, 0..300u64).prop_map(|(n, a)| Op::Reserve(n, a)),
        2 => (any::<usize>(), 0..100u64).prop_map(|(h, a)| Op::Extend(h, a)),
        1 => (any::<usize>(), 0..400u64).prop_map(|(h, a)| Op::Resize(h, a)),
        4 => (any::<usize>(), 0..500u64).prop_map(|(h, a)| Op::Settle(h, a)),
        2 => any::<usize>().prop_map(Op::Release),
        3 => (0..HOUR / 2).prop_map(Op::Forward),
        1 => (0..2 * HOUR).prop_map(Op::Back),
        1 => prop::array::uniform6(0..1500u64).prop_map(Op::Reload),
    ]
}

/// One budget of the model: what it charged, by exact sums.
#[derive(Clone, Default)]
struct Sum {
    limit: MicroTokens,
    spent: u128,
    /// The hour that is counted; a drip's time and its refill's remainder.
    mark: u64,
}

struct Model {
    now: u64,
    /// Per path: the hour's budget and the drip, in units of 1/refill_time so that no refill is
    /// rounded.
    sums: BTreeMap<&'static str, (Sum, Sum)>,
    reservations: BTreeMap<ReservationId, (&'static str, MicroTokens)>,
}

const FULL: u128 = (HOUR / 60) as u128;

impl Model {
    fn new(limits: &[MicroTokens; 6]) -> Model {
        let mut model = Model {
            now: START,
            sums: BTreeMap::new(),
            reservations: BTreeMap::new(),
        };
        model.limits(limits);
        for sum in model.sums.values_mut() {
            (sum.0.mark, sum.1.mark) = (START / HOUR, START);
        }
        model
    }

    fn limits(&mut self, limits: &[MicroTokens; 6]) {
        self.pass();
        for (path, limit) in PATHS.iter().zip(limits) {
            let sum = self.sums.entry(path).or_default();
            (sum.0.limit, sum.1.limit) = (*limit, *limit / 2 + 1);
        }
    }

    /// Time passes: an hour begins once, a drip is refilled for time that it has not seen.
    fn pass(&mut self) {
        for (hour, drip) in self.sums.values_mut() {
            if self.now / HOUR > hour.mark {
                (hour.mark, hour.spent) = (self.now / HOUR, 0);
            }
            let passed = u128::from(self.now.saturating_sub(drip.mark));
            drip.spent = drip.spent.saturating_sub(passed * u128::from(drip.limit));
            drip.mark = drip.mark.max(self.now);
        }
    }

    fn over(path: &str, node: &str) -> bool {
        path == node || path.starts_with(&format!("{node}/"))
    }

    fn reserved(&self, node: &str) -> u128 {
        self.reservations
            .values()
            .filter(|h| Model::over(h.0, node))
            .map(|h| u128::from(h.1))
            .sum()
    }

    /// Whether there is room at every node of the path.
    fn room(&mut self, path: &str, more: MicroTokens) -> bool {
        self.pass();
        for (node, (hour, drip)) in &self.sums {
            if !Model::over(path, node) {
                continue;
            }
            let taken = self.reserved(node) + u128::from(more);
            if hour.spent + taken > u128::from(hour.limit) {
                return false;
            }
            let (level, full) = (drip.spent + taken * FULL, u128::from(drip.limit) * FULL);
            if level > full {
                return false;
            }
        }
        true
    }

    fn settle(&mut self, id: ReservationId, used: MicroTokens) {
        self.pass();
        let Some((path, amount)) = self.reservations.remove(&id) else {
            return;
        };
        for node in PATHS.iter().filter(|n| Model::over(path, n)) {
            let reserved = self.reserved(node);
            let (hour, drip) = self.sums.get_mut(node).unwrap();
            let within = u128::from(used.min(amount));
            for (sum, unit) in [(hour, 1), (drip, FULL)] {
                let over = sum.spent + (reserved + within) * unit > u128::from(sum.limit) * unit;
                sum.spent += if over { within } else { u128::from(used) } * unit;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn the_ledger_does_as_the_obvious_model(
        limits in prop::array::uniform6(0..1500u64),
        ops in prop::collection::vec(op(), 1..120),
    ) {
        let mut ledger = Ledger::new(&tree(&limits, 1), Timestamp::from_micros(START)).unwrap();
        let mut model = Model::new(&limits);
        let mut all: Vec<ReservationId> = Vec::new();
        // since a reload lowered a limit, that limit can be exceeded until there is room again
        let mut lowered = false;
        for op in ops {
            let now = Timestamp::from_micros(model.now);
            let some = |k: usize, all: &[ReservationId]| (!all.is_empty()).then(|| all[k % all.len()]);
            match op {
                Op::Reserve(node, amount) => {
                    let id = ledger.find_node(PATHS[node]).unwrap();
                    let expected = model.room(PATHS[node], amount);
                    let got = ledger.reserve(id, amount, now);
                    prop_assert_eq!(got.is_ok(), expected, "{:?}", got);
                    match got {
                        Ok(hold) => {
                            model.reservations.insert(hold, (PATHS[node], amount));
                            all.push(hold);
                        }
                        Err(refusal) => {
                            // it names a node of the asker's own path, and a wait where there is
                            // one
                            prop_assert!(Model::over(PATHS[node], &refusal.node));
                            prop_assert!(refusal.retry_after.is_none_or(|d| d.as_micros() > 0));
                        }
                    }
                }
                Op::Extend(k, more) | Op::Resize(k, more) => if let Some(hold) = some(k, &all) {
                    let known = model.reservations.get(&hold).copied();
                    let to = if matches!(op, Op::Extend(..)) { known.map(|h| h.1 + more) } else { Some(more) };
                    let grown = known.zip(to).and_then(|(h, to)| Some((h.0, to.checked_sub(h.1)?)));
                    let expected = grown.map(|(path, by)| model.room(path, by));
                    let got = if matches!(op, Op::Extend(..)) {
                        ledger.extend(hold, more, now)
                    } else {
                        ledger.resize(hold, more, now)
                    };
                    if let (Some(expected), Some((_, 1..))) = (expected, grown) {
                        prop_assert_eq!(got.is_ok(), expected);
                    }
                    if let (Ok(()), Some(held), Some(to)) = (got, model.reservations.get_mut(&hold), to) {
                        held.1 = to;
                    }
                    prop_assert_eq!(ledger.reserved(hold), model.reservations.get(&hold).map_or(0, |h| h.1));
                },
                Op::Settle(k, used) => if let Some(hold) = some(k, &all) {
                    let charge = ledger.settle(hold, used, now);
                    prop_assert!(charge.uncharged <= charge.used);
                    model.settle(hold, used);
                },
                Op::Release(k) => if let Some(hold) = some(k, &all) {
                    ledger.release(hold, now);
                    model.settle(hold, 0);
                },
                Op::Forward(by) => model.now += by,
                Op::Back(by) => model.now -= by,
                Op::Reload(limits) => {
                    ledger.reload(&tree(&limits, 1), now).unwrap();
                    model.limits(&limits);
                    lowered = true;
                }
            }
            model.pass();
            prop_assert_eq!(ledger.reservation_count(), model.reservations.len());
            let root = ledger.find_node("d").unwrap();
            for report in ledger.subtree_usage(root, Timestamp::from_micros(model.now)) {
                let reserved = model.reserved(&report.path);
                prop_assert_eq!(u128::from(report.reserved), reserved);
                let (hour, drip) = &model.sums[report.path.as_str()];
                prop_assert_eq!(u128::from(report.budgets[0].1.spent), hour.spent, "{}", report.path);
                prop_assert_eq!(u128::from(report.budgets[1].1.spent), drip.spent.div_ceil(FULL));
                for (_, reading) in &report.budgets {
                    // 499 is the most that one request uses here
                    let most = u128::from(reading.limit) + 499;
                    prop_assert!(lowered || u128::from(reading.spent) + reserved <= most);
                }
            }
        }
        for hold in all {
            ledger.release(hold, Timestamp::from_micros(model.now));
        }
        prop_assert_eq!(ledger.reservation_count(), 0);
        let root = ledger.find_node("d").unwrap();
        prop_assert!(ledger.subtree_usage(root, Timestamp::from_micros(model.now)).iter().all(|r| r.reserved == 0));
    }
}

#[test]
fn several_routers_share_a_budget_and_never_exceed_it_together() {
    let tree = tree(&[1000; 6], 3);
    let mut used = 0;
    for _ in 0..3 {
        let mut ledger = Ledger::new(&tree, Timestamp::from_micros(START)).unwrap();
        let node = ledger.find_node("d/n/a").unwrap();
        while ledger
            .reserve(node, 10, Timestamp::from_micros(START))
            .is_ok()
        {
            used += 10;
        }
    }
    assert!((480..=500).contains(&used), "{used}");
}

#[test]
fn a_refusal_says_when_there_is_room() {
    let limits = [10_000, 1_000, 1_000, 1_000, 1_000, 1_000];
    let mut ledger = Ledger::new(&tree(&limits, 1), Timestamp::from_micros(START)).unwrap();
    let node = ledger.find_node("d/n/a").unwrap();
    let whole = ledger
        .reserve(node, 400, Timestamp::from_micros(START))
        .unwrap();
    // only reservations stand in the way: soon
    let short = ledger
        .reserve(node, 300, Timestamp::from_micros(START))
        .unwrap_err();
    assert!(
        short.retry_after.is_some_and(|d| d <= Span::from_secs(1)),
        "{short:?}"
    );
    ledger.settle(whole, 400, Timestamp::from_micros(START));
    // the drip of 501 lets 200 more in once 99 of them are refilled, and not a moment earlier
    let short = ledger
        .reserve(node, 200, Timestamp::from_micros(START))
        .unwrap_err();
    let wait = short.retry_after.unwrap();
    assert!(
        ledger
            .reserve(
                node,
                200,
                Timestamp::from_micros(START + wait.as_micros() - 1)
            )
            .is_err()
    );
    assert!(
        ledger
            .reserve(node, 200, Timestamp::from_micros(START + wait.as_micros()))
            .is_ok()
    );
    // what is larger than the whole limit never fits, and says so by naming no time
    assert_eq!(
        ledger
            .reserve(node, 5_000, Timestamp::from_micros(START))
            .unwrap_err()
            .retry_after,
        None
    );
}

#[test]
fn a_reload_keeps_what_is_spent_and_ends_what_is_gone() {
    let mut ledger = Ledger::new(&tree(&[1_000; 6], 1), Timestamp::from_micros(START)).unwrap();
    let node = ledger.find_node("d/n/a/p").unwrap();
    let hold = ledger
        .reserve(node, 200, Timestamp::from_micros(START))
        .unwrap();
    let used = ledger
        .reserve(node, 200, Timestamp::from_micros(START))
        .unwrap();
    ledger.settle(used, 200, Timestamp::from_micros(START));
    let smaller = BudgetTree {
        nodes: tree(&[300; 6], 1).nodes[..3].to_vec(),
        instances: 1,
    };
    ledger
        .reload(&smaller, Timestamp::from_micros(START))
        .unwrap();
    // the class is gone for new requests; its reservation still counts above it
    let root = ledger.find_node("d").unwrap();
    let reports = ledger.subtree_usage(root, Timestamp::from_micros(START));
    assert_eq!(reports.len(), 3);
    assert_eq!(
        (reports[0].reserved, reports[0].budgets[0].1.spent),
        (200, 200)
    );
    let school = ledger.find_node("d/n").unwrap();
    assert!(
        ledger
            .reserve(school, 1, Timestamp::from_micros(START))
            .is_err(),
        "lowered below what is taken: it refuses"
    );
    ledger.settle(hold, 50, Timestamp::from_micros(START));
    assert_eq!(ledger.find_node("d/n/a/p"), None);
    assert_eq!(
        ledger.subtree_usage(root, Timestamp::from_micros(START))[0].budgets[0]
            .1
            .spent,
        250
    );
    assert!(
        ledger
            .reserve(school, 10, Timestamp::from_micros(START + HOUR))
            .is_ok()
    );
    // a bad tree changes nothing
    let bad = BudgetTree {
        nodes: vec![BudgetNode {
            path: "x/y".into(),
            budgets: Vec::new(),
        }],
        instances: 1,
    };
    assert!(
        ledger
            .reload(&bad, Timestamp::from_micros(START))
            .unwrap_err()
            .problem
            .contains("stands under no node")
    );
    assert!(ledger.find_node("d/n").is_some());
}

#[test]
fn a_snapshot_comes_back() {
    let tree = tree(&[1_000; 6], 1);
    let mut ledger = Ledger::new(&tree, Timestamp::from_micros(START)).unwrap();
    let node = ledger.find_node("d/n/a").unwrap();
    let hold = ledger
        .reserve(node, 300, Timestamp::from_micros(START))
        .unwrap();
    ledger.settle(hold, 300, Timestamp::from_micros(START));
    let text = serde_json::to_string(&ledger.snapshot(Timestamp::from_micros(START))).unwrap();
    let mut again = Ledger::new(&tree, Timestamp::from_micros(START + 1)).unwrap();
    again.restore(&serde_json::from_str::<Vec<_>>(&text).unwrap());
    let spent = |ledger: &mut Ledger, at: u64| {
        let root = ledger.find_node("d").unwrap();
        ledger
            .subtree_usage(root, Timestamp::from_micros(at))
            .iter()
            .map(|r| r.budgets[0].1.spent)
            .collect::<Vec<_>>()
    };
    assert_eq!(spent(&mut again, START + 1), spent(&mut ledger, START + 1));
    // a state of an earlier period is not brought back into a later one
    let mut later = Ledger::new(&tree, Timestamp::from_micros(START + HOUR)).unwrap();
    later.restore(&ledger.snapshot(Timestamp::from_micros(START)));
    assert!(spent(&mut later, START + HOUR).iter().all(|s| *s == 0));
}
