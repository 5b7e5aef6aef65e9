//! Replicas without load whose first tokens take longer than the objective of the requests.

use std::collections::BTreeMap;

use stilespan::interface::*;

use crate::common::*;

const REPLICAS: u64 = 9;
/// Time between two steps of the simulation, in microseconds.
const STEP: u64 = 5_000;
/// Number of steps between two requests.
const STEPS_PER_REQUEST: u64 = 8;
const STEPS: u64 = 2_000;
/// Time of a first token, whatever the load, in microseconds.
const FIRST_TOKEN: u64 = 600_000;
/// Time from the first token to the end of an answer, in microseconds.
const STREAM: u64 = 500_000;
/// How long clients wait for the first token, in microseconds.
const CLIENT_WAIT: u64 = 900_000;
/// Requests before this one arrive while the router has measured nothing.
const FIRST_COUNTED: u32 = 40;

/// Guards against shedding nearly all requests, for good, because of misses that no load causes.
#[test]
fn slow_first_tokens_cause_no_shedding() {
    let mut settings = settings();
    settings.classes[0].first_token_objective = Span::from_millis(400);
    settings.router_count = 3;
    let mut router = TestRouter::new(settings, REPLICAS);
    let mut due: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    let (mut counted, mut rejected) = (0, 0);
    for step in 0..STEPS {
        let now = step * STEP;
        let mut events = due.remove(&now).unwrap_or_default();
        if step % STEPS_PER_REQUEST == 0 {
            let id = (step / STEPS_PER_REQUEST) as u32 + 1;
            let expires_at = router.now + Span::from_micros(STEP + CLIENT_WAIT);
            events.push(Event::RequestReceived(Arrival {
                expires_at,
                ..arrival(id)
            }));
            counted += u32::from(id >= FIRST_COUNTED);
        }
        let actions = router.step(STEP, events);
        let is_counted = |id: &u32| *id >= FIRST_COUNTED && is_rejected(&actions, *id);
        rejected += (1..=STEPS as u32).filter(is_counted).count();
        for (id, _) in sends(&actions) {
            let answered = now + FIRST_TOKEN;
            let first = first_token(id, 0, FIRST_TOKEN);
            due.entry(answered).or_default().push(first);
            let end = attempt_ended(id, 0, Outcome::Completed, true);
            due.entry(answered + STREAM).or_default().push(end);
        }
    }
    assert!(
        rejected * 20 < counted as usize,
        "{rejected} of {counted} rejected"
    );
}
