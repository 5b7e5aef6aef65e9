use tokio::sync::watch;

use super::CurrentList;
use crate::net::discovery::endpoint_list::EndpointList;

const TWO_ENDPOINTS: &str = r#"{"revision":7,"complete":true,"members":[
    {"id":"b","host_port":"127.0.0.1:2","phase":"SERVING"},
    {"id":"a","host_port":"127.0.0.1:1","locality":"east","flavor":"big","cell":3,
     "phase":"PAUSED","size":2.5,"up_since_ms":9}]}"#;
const ONE_DELETED: &str = r#"{"revision":8,"members":[
    {"id":"b","host_port":"127.0.0.1:2","phase":"DELETED"}]}"#;
const NO_CHANGE: &str = r#"{"revision":8}"#;

const RECORD_A: &str = r#"{"id":"a","host_port":"127.0.0.1:1","locality":"east","flavor":"big","cell":3,"phase":"PAUSED","size":2.5,"up_since_ms":9}"#;
const RECORD_B: &str = r#"{"id":"b","host_port":"127.0.0.1:2","locality":"","flavor":"","cell":0,"phase":"SERVING","size":1.0,"up_since_ms":0}"#;

fn parse(text: &str) -> EndpointList {
    serde_json::from_str(text).unwrap()
}

fn published(receiver: &mut watch::Receiver<Option<EndpointList>>) -> String {
    serde_json::to_string(&*receiver.borrow_and_update()).unwrap()
}

/// A successor process of another version reads the list, so every byte must stay the same.
#[test]
fn published_list_keeps_discovery_format() {
    let (publisher, mut receiver) = watch::channel(None);
    let mut list = CurrentList::new(0, Some(publisher));
    list.apply(&parse(TWO_ENDPOINTS));
    let expected = format!(r#"{{"revision":7,"complete":true,"members":[{RECORD_A},{RECORD_B}]}}"#);
    assert_eq!(published(&mut receiver), expected);
}

#[test]
fn changes_apply_to_published_list() {
    let (publisher, mut receiver) = watch::channel(Some(parse(TWO_ENDPOINTS)));
    let mut list = CurrentList::new(7, Some(publisher));
    list.apply(&parse(ONE_DELETED));
    let expected = format!(r#"{{"revision":8,"complete":true,"members":[{RECORD_A}]}}"#);
    assert_eq!(published(&mut receiver), expected);

    list.apply(&parse(NO_CHANGE));
    assert!(!receiver.has_changed().unwrap(), "published again");
}

/// Guards against a revision that moves without its endpoints.
#[test]
fn adopted_list_is_published_with_its_revision() {
    let (publisher, mut receiver) = watch::channel(None);
    let mut list = CurrentList::new(0, Some(publisher));
    list.apply(&parse(ONE_DELETED));
    assert!(!list.adopt(&parse(TWO_ENDPOINTS)), "an older list");
    assert_eq!(list.revision(), 8);
    let newer = TWO_ENDPOINTS.replace("\"revision\":7", "\"revision\":9");
    assert!(list.adopt(&parse(&newer)));
    assert_eq!(list.revision(), 9);
    let expected = format!(r#"{{"revision":9,"complete":true,"members":[{RECORD_A},{RECORD_B}]}}"#);
    assert_eq!(published(&mut receiver), expected);
}
