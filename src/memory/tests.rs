use rstest::rstest;

use super::*;
use crate::net::connection_limit::ConnectionCapacities;

/// All parts together stay within the limit, however small it is.
#[rstest]
#[case::smallest(32)]
#[case::least(MIN_MEMORY_MIB)]
#[case::usual(192)]
#[case::large(2048)]
fn parts_stay_within_the_limit(#[case] mib: usize) {
    let limit = mib << 20;
    let plan = MemoryPlan::new(limit);
    let parts = BASE_BYTES + (plan.shared_kib << 10) + plan.connections * CONNECTION_BYTES;
    assert!(parts <= limit, "{plan:?}");
    assert!(plan.connections >= MIN_CONNECTIONS);
}

/// Guards against a limit on memory that admits fewer clients than the platform lets connect: a
/// third of the descriptors.
#[rstest]
#[case::least_limits(32, 256)]
#[case::least_memory(32, 1_024)]
#[case::least_descriptors(192, 256)]
#[case::usual(64, 1_024)]
#[case::largest(192, 1_024)]
fn a_third_of_the_descriptors_has_memory(#[case] mib: usize, #[case] descriptors: usize) {
    let plan = MemoryPlan::new(mib << 20);
    let by_memory = ConnectionCapacities::descriptors_for(plan.connections);
    let capacities = ConnectionCapacities::for_descriptors(descriptors.min(by_memory));
    assert!(capacities.clients >= descriptors / 3, "{capacities:?}");
}

#[tokio::test]
async fn answers_leave_memory_for_requests() {
    let budget = MemoryBudget::new(8, 8);
    let _answer = budget.reserve(MemoryUse::Answer, 4 << 10).await.unwrap();
    assert!(budget.try_reserve(MemoryUse::Answer, 1).is_none());
    let mut request = budget.try_reserve(MemoryUse::Request, 3 << 10).unwrap();
    request.merge(budget.try_reserve(MemoryUse::Request, 1).unwrap());
    assert_eq!((request.bytes(), budget.available_kib()), (4 << 10, 0));
    drop(request);
    assert_eq!(budget.available_kib(), 4);
}

#[test]
fn last_clone_of_bytes_returns_their_memory() {
    let budget = MemoryBudget::new(8, 8);
    let reservation = budget.try_reserve(MemoryUse::Answer, 2 << 10).unwrap();
    let bytes = with_guard(Bytes::from_static(b"chunk"), reservation);
    let clone = bytes.clone();
    drop(bytes);
    assert_eq!((&clone[..], budget.available_kib()), (&b"chunk"[..], 6));
    drop(clone);
    assert_eq!(budget.available_kib(), 8);
}
