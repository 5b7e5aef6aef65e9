//! Routes along chains of models: stories, and random ones beside what must always hold.

use std::sync::Arc;

use proptest::prelude::*;
use rstest::rstest;
use stilespan::interface::{ReplicaId, Span, State, Timestamp};
use stilespan::routing::*;
use stilespan::spend::Price;

const AIM: Span = Span::from_millis(400);

fn spec(name: &str, window: u32, fallback: Option<&str>) -> ModelSpec {
    ModelSpec {
        name: name.into(),
        window,
        max_answer: window / 2,
        fallback: fallback.map(String::from),
        ..ModelSpec::default()
    }
}

fn build(specs: &[ModelSpec]) -> Result<Catalog, CatalogFault> {
    Catalog::build(specs, &[], &[], &mut Numbers::default())
}

/// marker -> hint -> tiny, with windows of 8,000, 4,000 and 1,000 tokens.
fn catalog() -> Arc<Catalog> {
    let specs = [
        spec("marker", 8_000, Some("hint")),
        spec("hint", 4_000, Some("tiny")),
        spec("tiny", 1_000, None),
    ];
    Arc::new(build(&specs).unwrap())
}

fn hosts(catalog: &Arc<Catalog>, with: &[&str]) -> Holdings {
    let mut all = Holdings::default();
    for (k, name) in with.iter().enumerate() {
        all.list(
            ReplicaId(k as u64),
            State::InService,
            Timestamp::ZERO,
            Some(&[name.to_string()]),
        );
    }
    all.count(std::slice::from_ref(catalog));
    all
}

fn ask(prompt: u32) -> Ask {
    Ask {
        model: 0,
        prompt,
        cap: None,
        expires: Timestamp::from_millis(1_500),
        attempts: 3,
        safe: true,
    }
}

fn tried(step: Step) -> Leg {
    match step {
        Step::Try(leg) => leg,
        Step::End(why) => panic!("{why:?}"),
    }
}

fn refused(attempts: u32, retry_in: Option<u64>) -> Ended {
    Ended {
        attempts,
        sent: false,
        retry_in: retry_in.map(Span::from_micros),
        refused: true,
    }
}

#[test]
fn a_route_goes_down_its_chain_within_its_attempts() {
    let catalog = catalog();
    let all = hosts(&catalog, &["marker", "hint", "tiny"]);
    let mut needs = Needs::new(AIM);
    let mut route = Route::new(catalog, ask(500), |_| true).unwrap();
    let leg = tried(route.next(&all, &needs, Timestamp::ZERO));
    // one attempt and the time for it are kept back for the next model
    assert_eq!(
        (leg.model, leg.cap, leg.spent, leg.until),
        (0, 4_000, 1, Timestamp::from_millis(1_100))
    );
    route.ended(
        Ended {
            attempts: 2,
            sent: true,
            retry_in: None,
            refused: true,
        },
        &mut needs,
        Timestamp::from_millis(500),
    );
    let leg = tried(route.next(&all, &needs, Timestamp::from_millis(500)));
    assert_eq!((leg.model, leg.cap, leg.spent), (1, 2_000, 2));
    route.ended(refused(1, None), &mut needs, Timestamp::from_millis(700));
    let end = GaveUp {
        refused: true,
        attempts: 3,
        retry_in: None,
        no_host: false,
    };
    assert_eq!(
        route.next(&all, &needs, Timestamp::from_millis(700)),
        Step::End(end)
    );
}

#[test]
fn a_model_without_hosts_is_passed_over_and_taken_once_they_are_back() {
    let catalog = catalog();
    let mut needs = Needs::new(AIM);
    let mut route = Route::new(catalog.clone(), ask(500), |_| true).unwrap();
    let leg = tried(route.next(&hosts(&catalog, &["hint"]), &needs, Timestamp::ZERO));
    assert_eq!(
        (leg.model, leg.spent, leg.until),
        (1, 0, Timestamp::from_millis(1_500))
    );
    // the fallback declines and tells when to come back; the preferred is back meanwhile
    route.ended(
        refused(0, Some(900_000)),
        &mut needs,
        Timestamp::from_millis(10),
    );
    let leg = tried(route.next(
        &hosts(&catalog, &["marker", "hint"]),
        &needs,
        Timestamp::from_millis(10),
    ));
    assert_eq!(leg.model, 0);
    route.ended(
        refused(0, Some(300_000)),
        &mut needs,
        Timestamp::from_millis(20),
    );
    let Step::End(end) = route.next(
        &hosts(&catalog, &["marker", "hint"]),
        &needs,
        Timestamp::from_millis(20),
    ) else {
        panic!("each model has its turn once");
    };
    assert_eq!(
        (end.refused, end.retry_in, end.no_host),
        (true, Some(Span::from_millis(300)), false)
    );
}

#[test]
fn no_host_at_all_is_said_at_once() {
    let catalog = catalog();
    let mut route = Route::new(catalog.clone(), ask(500), |_| true).unwrap();
    let Step::End(end) = route.next(&hosts(&catalog, &[]), &Needs::new(AIM), Timestamp::ZERO)
    else {
        panic!()
    };
    assert!(end.no_host && end.refused && end.attempts == 0);
}

#[test]
fn windows_and_permissions_hold_for_fallbacks_too() {
    let catalog = catalog();
    let needs = Needs::new(AIM);
    // the prompt fits the marker alone
    let mut route = Route::new(catalog.clone(), ask(5_000), |_| true).unwrap();
    assert!(matches!(
        route.next(&hosts(&catalog, &["hint", "tiny"]), &needs, Timestamp::ZERO),
        Step::End(_)
    ));
    // the school may not use the middle one
    let mut route = Route::new(catalog.clone(), ask(500), |m| m != 1).unwrap();
    assert_eq!(
        tried(route.next(&hosts(&catalog, &["hint", "tiny"]), &needs, Timestamp::ZERO)).model,
        2
    );
    assert_eq!(
        Route::new(catalog.clone(), ask(500), |m| m != 0).unwrap_err(),
        NotAsked::Forbidden
    );
    assert_eq!(
        Route::new(catalog, ask(8_000), |_| true).unwrap_err(),
        NotAsked::TooLong(8_000)
    );
}

#[test]
fn a_model_that_needs_more_than_the_time_left_is_passed_over() {
    let catalog = catalog();
    let all = hosts(&catalog, &["marker", "hint"]);
    let mut needs = Needs::new(AIM);
    let (marker, hint) = (catalog.model(0).number, catalog.model(1).number);
    for k in 0..50 {
        needs.learn(
            marker,
            500,
            Span::from_millis(1_300),
            Timestamp::from_micros(k * 1_000),
        );
        needs.learn(
            hint,
            500,
            Span::from_millis(100),
            Timestamp::from_micros(k * 1_000),
        );
    }
    let mut route = Route::new(
        catalog.clone(),
        Ask {
            expires: Timestamp::from_millis(2_500),
            ..ask(500)
        },
        |_| true,
    )
    .unwrap();
    let leg = tried(route.next(&all, &needs, Timestamp::from_millis(50)));
    assert_eq!(leg.model, 0);
    assert!(
        leg.until < Timestamp::from_millis(2_450),
        "time for the fallback is kept back: {leg:?}"
    );
    let mut route = Route::new(catalog, ask(500), |_| true).unwrap();
    assert_eq!(
        tried(route.next(&all, &needs, Timestamp::from_millis(900))).model,
        1
    );
}

#[test]
fn what_may_have_run_and_must_not_run_twice_has_no_fallback() {
    let catalog = catalog();
    let all = hosts(&catalog, &["marker", "hint"]);
    let mut needs = Needs::new(AIM);
    let mut route = Route::new(
        catalog,
        Ask {
            safe: false,
            ..ask(500)
        },
        |_| true,
    )
    .unwrap();
    tried(route.next(&all, &needs, Timestamp::ZERO));
    route.ended(
        Ended {
            attempts: 1,
            sent: true,
            retry_in: None,
            refused: false,
        },
        &mut needs,
        Timestamp::from_millis(1),
    );
    let Step::End(end) = route.next(&all, &needs, Timestamp::from_millis(1)) else {
        panic!()
    };
    assert!(!end.refused);
}

#[rstest]
#[case::a_cycle(vec![spec("a", 10, Some("b")), spec("b", 10, Some("a"))], 0, "comes back to \"a\"")]
#[case::itself(vec![spec("a", 10, Some("a"))], 0, "comes back")]
#[case::to_nothing(vec![spec("a", 10, None), spec("b", 10, Some("c"))], 1, "no model")]
#[case::twice(vec![spec("a", 10, None), spec("a", 10, None)], 1, "twice")]
#[case::no_window(vec![spec("a", 0, None)], 0, "window")]
#[case::no_base(vec![ModelSpec { base: Some("x".into()), ..spec("a", 10, None) }], 0, "base \"x\" is no model")]
#[case::own_base(vec![ModelSpec { base: Some("a".into()), ..spec("a", 10, None) }], 0, "adapter itself")]
#[case::load_without_base(vec![ModelSpec { load: Span::from_micros(1), ..spec("a", 10, None) }], 0, "only an adapter")]
fn a_wrong_model_is_named(#[case] specs: Vec<ModelSpec>, #[case] at: usize, #[case] says: &str) {
    match build(&specs) {
        Err(CatalogFault::Model(k, what)) if k == at => assert!(what.contains(says), "{what}"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn aliases_and_prices_are_checked() {
    let specs = [spec("a", 10, None), spec("b", 10, None)];
    let alias = |name: &str, to: &str| Named {
        name: name.into(),
        value: to.to_string(),
    };
    let price = |name: &str| Named {
        name: name.into(),
        value: Price {
            prompt: 1,
            answer: 2,
        },
    };
    let mut numbers = Numbers::default();
    let mut of = |aliases: &[Named<String>], prices: &[Named<Price>]| {
        Catalog::build(&specs, aliases, prices, &mut numbers)
    };
    let good = of(&[alias("x", "b"), alias("y", "b")], &[price("b")]).unwrap();
    assert_eq!((good.find("x"), good.aliases(1)), (Some(1), vec!["x", "y"]));
    assert_eq!(
        (good.model(0).price, good.model(1).price.of(3, 4)),
        (Price::default(), 11)
    );
    assert!(matches!(
        of(&[alias("x", "c")], &[]),
        Err(CatalogFault::Alias(0, _))
    ));
    assert!(matches!(
        of(&[alias("x", "a"), alias("y", "x")], &[]),
        Err(CatalogFault::Alias(1, _))
    ));
    assert!(matches!(
        of(&[alias("a", "b")], &[]),
        Err(CatalogFault::Alias(0, _))
    ));
    assert!(matches!(
        of(&[], &[price("a"), price("a")]),
        Err(CatalogFault::Price(1, _))
    ));
    assert!(matches!(
        of(&[], &[price("c")]),
        Err(CatalogFault::Price(0, _))
    ));
    // a name keeps its number over reloads
    let again = Catalog::build(&specs[1..], &[], &[], &mut numbers).unwrap();
    assert_eq!(again.model(0).number, good.model(1).number);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Whatever hosts do and however legs end: at most the attempts allowed, one leg at a time (the
    /// route asserts it), each model once, none that is too small or forbidden, never beyond the
    /// deadline, and exactly one end.
    #[test]
    fn what_must_hold_of_every_route(
        windows in prop::collection::vec(600..4_000u32, 1..8),
        forbidden in prop::collection::vec(any::<bool>(), 8),
        prompt in 1..3_000u32,
        cap in prop::option::of(1..5_000u32),
        attempts in 1..=3u32,
        safe in any::<bool>(),
        moves in prop::collection::vec((0..=3u32, any::<bool>(), any::<bool>(), 0..800_000u64, any::<u8>()), 12),
    ) {
        let names: Vec<String> = (0..windows.len()).map(|k| format!("m{k}")).collect();
        let specs: Vec<ModelSpec> =
            windows.iter().enumerate().map(|(k, w)| spec(&names[k], *w, names.get(k + 1).map(|n| n.as_str()))).collect();
        let catalog = Arc::new(build(&specs).unwrap());
        let allowed = |m: usize| !forbidden[m];
        let ask = Ask { model: 0, prompt, cap, expires: Timestamp::from_millis(1_500), attempts, safe };
        let Ok(mut route) = Route::new(catalog.clone(), ask, allowed) else {
            prop_assert!(forbidden[0] || windows[0] <= prompt);
            return Ok(());
        };
        let mut needs = Needs::new(AIM);
        let (mut now, mut made, mut ran, mut seen) = (Timestamp::ZERO, 0, false, Vec::new());
        let mut over = false;
        for (n, sent, refused, took, mask) in moves {
            let with: Vec<&str> = names.iter().enumerate().filter(|(k, _)| mask >> k & 1 == 1).map(|(_, n)| n.as_str()).collect();
            match route.next(&hosts(&catalog, &with), &needs, now) {
                Step::End(end) => {
                    prop_assert_eq!(end.attempts, made);
                    over = true;
                    break;
                }
                Step::Try(leg) => {
                    prop_assert!(allowed(leg.model) && !seen.contains(&leg.model));
                    prop_assert!(with.contains(&names[leg.model].as_str()));
                    prop_assert!(leg.cap >= 1 && prompt + leg.cap <= windows[leg.model]);
                    prop_assert!(cap.is_none_or(|c| leg.cap <= c));
                    prop_assert!(leg.until <= Timestamp::from_millis(1_500) && leg.until > now);
                    prop_assert!(leg.spent >= made && leg.spent < attempts);
                    prop_assert!(safe || !ran);
                    seen.push(leg.model);
                    // the module makes no more than it was left
                    let n = n.min(attempts - leg.spent);
                    now = (now + Span::from_micros(took)).min(leg.until);
                    let sent = sent && n > 0;
                    (made, ran) = (made + n, ran || sent);
                    route.ended(Ended { attempts: n, sent, retry_in: None, refused }, &mut needs, now);
                }
            }
        }
        prop_assert!(over, "at most one leg a model");
        prop_assert!(made <= attempts);
    }
}
