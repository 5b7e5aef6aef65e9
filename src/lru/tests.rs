use super::*;

#[test]
fn size_is_bounded_and_latest_remain() {
    let mut map = LruMap::default();
    for key in 0..100_000u64 {
        map.insert(key, key);
    }
    assert_eq!((map.get(&99_999), map.get(&0)), (Some(99_999), None));
    map.remove(&99_999);
    assert_eq!(map.get(&99_999), None);
    assert!(map.len() <= 2 * LruMap::<u64, u64>::GENERATION_ENTRIES);
}
