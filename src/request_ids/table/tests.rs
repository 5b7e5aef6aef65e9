use proptest::prelude::*;

use super::*;

/// An operation on one of a few ids.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Begin,
    Finish,
    Cancel,
    Remember,
    Forget,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop::sample::select(vec![
        Operation::Begin,
        Operation::Finish,
        Operation::Cancel,
        Operation::Remember,
        Operation::Forget,
    ])
}

proptest! {
    /// Whatever the order, an id is free exactly if it is neither in flight nor remembered.
    #[test]
    fn ids_are_taken_once(operations in prop::collection::vec((operation(), 0..4_u64), 0..60)) {
        let mut table = IdTable::default();
        let (mut in_flight, mut remembered) = (HashSet::new(), HashSet::new());
        for (operation, id) in operations {
            let hash = IdHash(id);
            let is_free = !in_flight.contains(&id) && !remembered.contains(&id);
            match operation {
                Operation::Begin => {
                    prop_assert_eq!(table.begin(hash), is_free);
                    if is_free {
                        in_flight.insert(id);
                    }
                }
                Operation::Finish if in_flight.remove(&id) => {
                    table.finish(hash);
                    remembered.insert(id);
                }
                Operation::Cancel if in_flight.remove(&id) => table.cancel(hash),
                Operation::Remember => {
                    prop_assert_eq!(table.remember(hash), is_free);
                    if is_free {
                        remembered.insert(id);
                    }
                }
                Operation::Forget => {
                    table.forget(hash);
                    remembered.remove(&id);
                }
                Operation::Finish | Operation::Cancel => {}
            }
            prop_assert_eq!(table.len(), in_flight.len() + remembered.len());
            prop_assert_eq!(table.all().len(), table.len());
        }
    }
}
