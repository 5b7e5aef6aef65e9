//! Validation of catalogs.

use rstest::rstest;
use stilespan::interface::Span;
use stilespan::routing::{AliasSpec, Catalog, CatalogError, ModelNumbers, ModelSpec, PriceSpec};
use stilespan::spend::{MicroTokens, Price};

use crate::fixtures::{build, spec};

#[rstest]
#[case::a_cycle(vec![spec("a", 10, Some("b")), spec("b", 10, Some("a"))], 0, "comes back to \"a\"")]
#[case::itself(vec![spec("a", 10, Some("a"))], 0, "comes back")]
#[case::to_nothing(vec![spec("a", 10, None), spec("b", 10, Some("c"))], 1, "no model")]
#[case::twice(vec![spec("a", 10, None), spec("a", 10, None)], 1, "twice")]
#[case::no_window(vec![spec("a", 0, None)], 0, "window")]
#[case::no_base(vec![ModelSpec { base: Some("x".into()), ..spec("a", 10, None) }], 0, "base \"x\" is no model")]
#[case::own_base(vec![ModelSpec { base: Some("a".into()), ..spec("a", 10, None) }], 0, "adapter itself")]
#[case::load_without_base(vec![ModelSpec { load_time: Span::from_micros(1), ..spec("a", 10, None) }], 0, "only an adapter")]
fn invalid_models_are_named(#[case] specs: Vec<ModelSpec>, #[case] at: usize, #[case] says: &str) {
    match build(&specs) {
        Err(CatalogError::Model { index, problem }) if index == at => {
            let text = problem.to_string();
            assert!(text.contains(says), "{text}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn aliases_and_prices_are_checked() {
    let specs = [spec("a", 10, None), spec("b", 10, None)];
    let alias = |name: &str, model: &str| AliasSpec {
        name: name.into(),
        model: model.into(),
    };
    let price = |model: &str| PriceSpec {
        model: model.into(),
        price: Price {
            per_prompt_token: MicroTokens::new(1),
            per_output_token: MicroTokens::new(2),
        },
    };
    let mut numbers = ModelNumbers::default();
    let mut of = |aliases: &[AliasSpec], prices: &[PriceSpec]| {
        Catalog::build(&specs, aliases, prices, &mut numbers)
    };
    let good = of(&[alias("x", "b"), alias("y", "b")], &[price("b")]).unwrap();
    assert_eq!((good.find("x"), good.aliases(1)), (Some(1), vec!["x", "y"]));
    assert_eq!(
        (good.model(0).price, good.model(1).price.cost(3, 4)),
        (Price::default(), MicroTokens::new(11))
    );
    assert!(matches!(
        of(&[alias("x", "c")], &[]),
        Err(CatalogError::Alias { index: 0, .. })
    ));
    assert!(matches!(
        of(&[alias("x", "a"), alias("y", "x")], &[]),
        Err(CatalogError::Alias { index: 1, .. })
    ));
    assert!(matches!(
        of(&[alias("a", "b")], &[]),
        Err(CatalogError::Alias { index: 0, .. })
    ));
    assert!(matches!(
        of(&[], &[price("a"), price("a")]),
        Err(CatalogError::Price { index: 1, .. })
    ));
    assert!(matches!(
        of(&[], &[price("c")]),
        Err(CatalogError::Price { index: 0, .. })
    ));
    // a name keeps its number over reloads
    let again = Catalog::build(&specs[1..], &[], &[], &mut numbers).unwrap();
    assert_eq!(again.model(0).number, good.model(1).number);
}
