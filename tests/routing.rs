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
        context_window: window,
        max_output_tokens: window / 2,
        fallback: fallback.map(String::from),
        ..ModelSpec::default()
    }
}

fn build(specs: &[ModelSpec]) -> Result<Catalog, CatalogError> {
    Catalog::build(specs, &[], &[], &mut ModelNumbers::default())
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

fn hosts(catalog: &Arc<Catalog>, with: &[&str]) -> ModelInventory {
    let mut inventory = ModelInventory::default();
    for (k, name) in with.iter().enumerate() {
        inventory.set_listed(
            ReplicaId(k as u64),
            State::InService,
            Timestamp::ZERO,
            Some(&[name.to_string()]),
        );
    }
    inventory.recount_hosts(std::slice::from_ref(catalog));
    inventory
}

fn query(prompt_tokens: u32) -> ChatQuery {
    ChatQuery {
        model: 0,
        prompt_tokens,
        max_output_tokens: None,
        expires_at: Timestamp::from_millis(1_500),
        max_attempts: 3,
        idempotent: true,
    }
}

fn tried(step: RouteStep) -> Submission {
    match step {
        RouteStep::Submit(leg) => leg,
        RouteStep::Exhausted(why) => panic!("{why:?}"),
    }
}

fn refused(attempts: u32, retry_after: Option<u64>) -> SubmissionEnd {
    SubmissionEnd {
        attempts,
        forwarded: false,
        retry_after: retry_after.map(Span::from_micros),
        rejected: true,
    }
}

#[test]
fn a_route_goes_down_its_chain_within_its_attempts() {
    let catalog = catalog();
    let inventory = hosts(&catalog, &["marker", "hint", "tiny"]);
    let mut estimates = FirstTokenEstimates::new(AIM);
    let mut route = Route::new(catalog, query(500), |_| true).unwrap();
    let leg = tried(route.next_step(&inventory, &estimates, Timestamp::ZERO));
    // one attempt and the time for it are kept back for the next model
    assert_eq!(
        (
            leg.model,
            leg.max_output_tokens,
            leg.unavailable_attempts,
            leg.deadline
        ),
        (0, 4_000, 1, Timestamp::from_millis(1_100))
    );
    route.submission_ended(
        SubmissionEnd {
            attempts: 2,
            forwarded: true,
            retry_after: None,
            rejected: true,
        },
        &mut estimates,
        Timestamp::from_millis(500),
    );
    let leg = tried(route.next_step(&inventory, &estimates, Timestamp::from_millis(500)));
    assert_eq!(
        (leg.model, leg.max_output_tokens, leg.unavailable_attempts),
        (1, 2_000, 2)
    );
    route.submission_ended(
        refused(1, None),
        &mut estimates,
        Timestamp::from_millis(700),
    );
    let end = RouteExhausted {
        rejected: true,
        attempts: 3,
        retry_after: None,
        no_host: false,
    };
    assert_eq!(
        route.next_step(&inventory, &estimates, Timestamp::from_millis(700)),
        RouteStep::Exhausted(end)
    );
}

#[test]
fn a_model_without_hosts_is_passed_over_and_taken_once_they_are_back() {
    let catalog = catalog();
    let mut estimates = FirstTokenEstimates::new(AIM);
    let mut route = Route::new(catalog.clone(), query(500), |_| true).unwrap();
    let leg = tried(route.next_step(&hosts(&catalog, &["hint"]), &estimates, Timestamp::ZERO));
    assert_eq!(
        (leg.model, leg.unavailable_attempts, leg.deadline),
        (1, 0, Timestamp::from_millis(1_500))
    );
    // the fallback declines and tells when to come back; the preferred is back meanwhile
    route.submission_ended(
        refused(0, Some(900_000)),
        &mut estimates,
        Timestamp::from_millis(10),
    );
    let leg = tried(route.next_step(
        &hosts(&catalog, &["marker", "hint"]),
        &estimates,
        Timestamp::from_millis(10),
    ));
    assert_eq!(leg.model, 0);
    route.submission_ended(
        refused(0, Some(300_000)),
        &mut estimates,
        Timestamp::from_millis(20),
    );
    let RouteStep::Exhausted(end) = route.next_step(
        &hosts(&catalog, &["marker", "hint"]),
        &estimates,
        Timestamp::from_millis(20),
    ) else {
        panic!("each model has its turn once");
    };
    assert_eq!(
        (end.rejected, end.retry_after, end.no_host),
        (true, Some(Span::from_millis(300)), false)
    );
}

#[test]
fn no_host_at_all_is_said_at_once() {
    let catalog = catalog();
    let mut route = Route::new(catalog.clone(), query(500), |_| true).unwrap();
    let RouteStep::Exhausted(end) = route.next_step(
        &hosts(&catalog, &[]),
        &FirstTokenEstimates::new(AIM),
        Timestamp::ZERO,
    ) else {
        panic!()
    };
    assert!(end.no_host && end.rejected && end.attempts == 0);
}

#[test]
fn windows_and_permissions_hold_for_fallbacks_too() {
    let catalog = catalog();
    let estimates = FirstTokenEstimates::new(AIM);
    // the prompt fits the marker alone
    let mut route = Route::new(catalog.clone(), query(5_000), |_| true).unwrap();
    assert!(matches!(
        route.next_step(
            &hosts(&catalog, &["hint", "tiny"]),
            &estimates,
            Timestamp::ZERO
        ),
        RouteStep::Exhausted(_)
    ));
    // the school may not use the middle one
    let mut route = Route::new(catalog.clone(), query(500), |m| m != 1).unwrap();
    assert_eq!(
        tried(route.next_step(
            &hosts(&catalog, &["hint", "tiny"]),
            &estimates,
            Timestamp::ZERO
        ))
        .model,
        2
    );
    assert_eq!(
        Route::new(catalog.clone(), query(500), |m| m != 0).unwrap_err(),
        RouteError::ModelForbidden
    );
    assert_eq!(
        Route::new(catalog, query(8_000), |_| true).unwrap_err(),
        RouteError::PromptTooLong {
            context_window: 8_000
        }
    );
}

#[test]
fn a_model_that_needs_more_than_the_time_left_is_passed_over() {
    let catalog = catalog();
    let inventory = hosts(&catalog, &["marker", "hint"]);
    let mut estimates = FirstTokenEstimates::new(AIM);
    let (marker, hint) = (catalog.model(0).number, catalog.model(1).number);
    for k in 0..50 {
        estimates.record(
            marker,
            500,
            Span::from_millis(1_300),
            Timestamp::from_micros(k * 1_000),
        );
        estimates.record(
            hint,
            500,
            Span::from_millis(100),
            Timestamp::from_micros(k * 1_000),
        );
    }
    let mut route = Route::new(
        catalog.clone(),
        ChatQuery {
            expires_at: Timestamp::from_millis(2_500),
            ..query(500)
        },
        |_| true,
    )
    .unwrap();
    let leg = tried(route.next_step(&inventory, &estimates, Timestamp::from_millis(50)));
    assert_eq!(leg.model, 0);
    assert!(
        leg.deadline < Timestamp::from_millis(2_450),
        "time for the fallback is kept back: {leg:?}"
    );
    let mut route = Route::new(catalog, query(500), |_| true).unwrap();
    assert_eq!(
        tried(route.next_step(&inventory, &estimates, Timestamp::from_millis(900))).model,
        1
    );
}

#[test]
fn what_may_have_run_and_must_not_run_twice_has_no_fallback() {
    let catalog = catalog();
    let inventory = hosts(&catalog, &["marker", "hint"]);
    let mut estimates = FirstTokenEstimates::new(AIM);
    let mut route = Route::new(
        catalog,
        ChatQuery {
            idempotent: false,
            ..query(500)
        },
        |_| true,
    )
    .unwrap();
    tried(route.next_step(&inventory, &estimates, Timestamp::ZERO));
    route.submission_ended(
        SubmissionEnd {
            attempts: 1,
            forwarded: true,
            retry_after: None,
            rejected: false,
        },
        &mut estimates,
        Timestamp::from_millis(1),
    );
    let RouteStep::Exhausted(end) =
        route.next_step(&inventory, &estimates, Timestamp::from_millis(1))
    else {
        panic!()
    };
    assert!(!end.rejected);
}

#[rstest]
#[case::a_cycle(vec![spec("a", 10, Some("b")), spec("b", 10, Some("a"))], 0, "comes back to \"a\"")]
#[case::itself(vec![spec("a", 10, Some("a"))], 0, "comes back")]
#[case::to_nothing(vec![spec("a", 10, None), spec("b", 10, Some("c"))], 1, "no model")]
#[case::twice(vec![spec("a", 10, None), spec("a", 10, None)], 1, "twice")]
#[case::no_window(vec![spec("a", 0, None)], 0, "window")]
#[case::no_base(vec![ModelSpec { base: Some("x".into()), ..spec("a", 10, None) }], 0, "base \"x\" is no model")]
#[case::own_base(vec![ModelSpec { base: Some("a".into()), ..spec("a", 10, None) }], 0, "adapter itself")]
#[case::load_without_base(vec![ModelSpec { load_time: Span::from_micros(1), ..spec("a", 10, None) }], 0, "only an adapter")]
fn a_wrong_model_is_named(#[case] specs: Vec<ModelSpec>, #[case] at: usize, #[case] says: &str) {
    match build(&specs) {
        Err(CatalogError::Model(k, what)) if k == at => assert!(what.contains(says), "{what}"),
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
            per_prompt_token: 1,
            per_output_token: 2,
        },
    };
    let mut numbers = ModelNumbers::default();
    let mut of = |aliases: &[Named<String>], prices: &[Named<Price>]| {
        Catalog::build(&specs, aliases, prices, &mut numbers)
    };
    let good = of(&[alias("x", "b"), alias("y", "b")], &[price("b")]).unwrap();
    assert_eq!((good.find("x"), good.aliases(1)), (Some(1), vec!["x", "y"]));
    assert_eq!(
        (good.model(0).price, good.model(1).price.cost(3, 4)),
        (Price::default(), 11)
    );
    assert!(matches!(
        of(&[alias("x", "c")], &[]),
        Err(CatalogError::Alias(0, _))
    ));
    assert!(matches!(
        of(&[alias("x", "a"), alias("y", "x")], &[]),
        Err(CatalogError::Alias(1, _))
    ));
    assert!(matches!(
        of(&[alias("a", "b")], &[]),
        Err(CatalogError::Alias(0, _))
    ));
    assert!(matches!(
        of(&[], &[price("a"), price("a")]),
        Err(CatalogError::Price(1, _))
    ));
    assert!(matches!(
        of(&[], &[price("c")]),
        Err(CatalogError::Price(0, _))
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
        prompt_tokens in 1..3_000u32,
        max_output_tokens in prop::option::of(1..5_000u32),
        max_attempts in 1..=3u32,
        idempotent in any::<bool>(),
        moves in prop::collection::vec((0..=3u32, any::<bool>(), any::<bool>(), 0..800_000u64, any::<u8>()), 12),
    ) {
        let names: Vec<String> = (0..windows.len()).map(|k| format!("m{k}")).collect();
        let specs: Vec<ModelSpec> =
            windows.iter().enumerate().map(|(k, w)| spec(&names[k], *w, names.get(k + 1).map(|n| n.as_str()))).collect();
        let catalog = Arc::new(build(&specs).unwrap());
        let allowed = |m: usize| !forbidden[m];
        let query = ChatQuery { model: 0, prompt_tokens, max_output_tokens, expires_at: Timestamp::from_millis(1_500), max_attempts, idempotent };
        let Ok(mut route) = Route::new(catalog.clone(), query, allowed) else {
            prop_assert!(forbidden[0] || windows[0] <= prompt_tokens);
            return Ok(());
        };
        let mut estimates = FirstTokenEstimates::new(AIM);
        let (mut now, mut made, mut ran, mut seen) = (Timestamp::ZERO, 0, false, Vec::new());
        let mut over = false;
        for (n, forwarded, rejected, took, mask) in moves {
            let with: Vec<&str> = names.iter().enumerate().filter(|(k, _)| mask >> k & 1 == 1).map(|(_, n)| n.as_str()).collect();
            match route.next_step(&hosts(&catalog, &with), &estimates, now) {
                RouteStep::Exhausted(end) => {
                    prop_assert_eq!(end.attempts, made);
                    over = true;
                    break;
                }
                RouteStep::Submit(leg) => {
                    prop_assert!(allowed(leg.model) && !seen.contains(&leg.model));
                    prop_assert!(with.contains(&names[leg.model].as_str()));
                    prop_assert!(leg.max_output_tokens >= 1 && prompt_tokens + leg.max_output_tokens <= windows[leg.model]);
                    prop_assert!(max_output_tokens.is_none_or(|c| leg.max_output_tokens <= c));
                    prop_assert!(leg.deadline <= Timestamp::from_millis(1_500) && leg.deadline > now);
                    prop_assert!(leg.unavailable_attempts >= made && leg.unavailable_attempts < max_attempts);
                    prop_assert!(idempotent || !ran);
                    seen.push(leg.model);
                    // the module makes no more than it was left
                    let n = n.min(max_attempts - leg.unavailable_attempts);
                    now = (now + Span::from_micros(took)).min(leg.deadline);
                    let forwarded = forwarded && n > 0;
                    (made, ran) = (made + n, ran || forwarded);
                    route.submission_ended(SubmissionEnd { attempts: n, forwarded, retry_after: None, rejected }, &mut estimates, now);
                }
            }
        }
        prop_assert!(over, "at most one leg a model");
        prop_assert!(made <= max_attempts);
    }
}
