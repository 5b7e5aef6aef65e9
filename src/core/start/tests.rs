use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::Start;

proptest! {
    /// Whatever comes in whatever order: it begins at most once, in time, and never beside being taken back.
    #[test]
    fn it_begins_or_is_taken_back_and_never_both(
        by in 0u64..10,
        steps in prop::collection::vec((any::<bool>(), 0u64..12), 1..20),
    ) {
        let zero = Instant::now();
        let at = |ms| zero + Duration::from_millis(ms);
        let (start, mut begun, mut taken) = (Start::new(at(by)), 0, 0);
        for (begins, ms) in steps {
            if begins {
                let begins = start.begin(at(ms));
                prop_assert!(!begins || ms <= by);
                begun += u32::from(begins);
            } else {
                taken += u32::from(start.take_back());
            }
            prop_assert!(begun + taken <= 1);
        }
    }
}
