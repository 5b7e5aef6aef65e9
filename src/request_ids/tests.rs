use super::table::REMEMBERED_IDS;
use super::*;

/// The number of requests that a busy router serves while clients may still repeat an earlier one:
/// 4,000 a second for the longest usual deadline of 15 s.
const REQUESTS_WITHIN_A_DEADLINE: usize = 60_000;

#[test]
fn finished_ids_outlast_many_others() {
    let ids = RequestIds::default();
    drop(ids.acquire("first"));
    for number in 0..REQUESTS_WITHIN_A_DEADLINE {
        drop(ids.acquire(&number.to_string()));
    }
    assert!(ids.acquire("first").is_none());
}

#[test]
fn remembered_ids_are_bounded() {
    let ids = RequestIds::default();
    for number in 0..=REMEMBERED_IDS {
        drop(ids.acquire(&number.to_string()));
    }
    assert!(ids.acquire("0").is_some());
    assert!(ids.lock().table.len() <= REMEMBERED_IDS + 1);
}

#[test]
fn released_id_is_free_again() {
    let ids = RequestIds::default();
    ids.acquire("a").unwrap().release();
    let guard = ids.acquire("a").unwrap();
    assert!(ids.acquire("a").is_none());
    assert_eq!(guard.id(), "a");
}
