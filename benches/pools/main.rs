//! One balancer with eligibility beside one a pool, on a fleet in miniature: `cargo bench --bench
//! pools`. Results: docs/measurements/pools.md. Half of the hosts hold both models. A host reads
//! prompts one after another, and its streams stand still meanwhile: an answer is good where its
//! first token is in time and its tokens keep the pace.

use std::collections::HashMap;
use std::time::Instant;

use stilespan::Balancer;
use stilespan::interface::*;

const HOSTS: u64 = 8;
const RUN: u64 = 60_000_000;
const STEP: u64 = 2_000;

/// A token takes half the pace allowed; an answer has 50.
const DECODE: u64 = 1_500_000;

enum Next {
    First(u32, u64),
    End {
        id: u32,
        host: usize,
        first: u64,
        sent: u64,
        in_time: bool,
    },
}

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn settings() -> Settings {
    let class = Class {
        first_token_objective: Span::from_millis(400),
        token_interval_objective: Span::from_millis(60),
        deadline: Span::from_millis(1_500),
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        max_attempts: 3,
        cancellation: true,
        ..Settings::default()
    }
}

/// Hosts 0 to 3 hold model 1 alone, 4 to 7 both.
fn entries(model: Option<u32>) -> Vec<ReplicaEntry> {
    let all = (0..HOSTS).filter(|h| model != Some(2) || *h >= HOSTS / 2);
    let models = |h: u64| if h < HOSTS / 2 { vec![1] } else { vec![1, 2] };
    let of = |h: u64| ReplicaEntry {
        replica: ReplicaId(h),
        weight: 1.0,
        models: match model {
            None => ServedModels::only(models(h).into_iter().map(|model| ServedModel {
                model,
                load_time: Span::ZERO,
            })),
            Some(_) => ServedModels::default(),
        },
        ..ReplicaEntry::default()
    };
    all.map(of).collect()
}

#[derive(Default)]
struct Metrics {
    asked: u32,
    in_time: u32,
    good: u32,
    refused: u32,
    errors: Vec<f64>,
    nanoseconds: u128,
    steps: u32,
}

/// Plays a minute of arrivals; `pools`: a balancer a model, else one with eligibility.
fn play(pools: bool, load: f64, seed: u64) -> Metrics {
    let mut rng = Rng(seed);
    let list = |entries: Vec<ReplicaEntry>| Event::EndpointsUpdated {
        kind: EndpointListKind::Complete,
        entries: entries.into(),
    };
    let mut balancers: Vec<(Balancer, Vec<Event>)> = match pools {
        true => (1..=2)
            .map(|m| {
                (
                    Balancer::new(settings(), m.into(), Timestamp::ZERO),
                    vec![list(entries(Some(m)))],
                )
            })
            .collect(),
        false => vec![(
            Balancer::new(settings(), 1, Timestamp::ZERO),
            vec![list(entries(None))],
        )],
    };
    let mut figures = Metrics::default();
    // when each host is done with the prompts that it has; what each request is, and what will
    // happen
    let mut free = vec![0u64; HOSTS as usize];
    let mut asked: HashMap<u32, (u64, u32, u32)> = HashMap::new();
    let mut later: Vec<(u64, usize, Next)> = Vec::new();
    let mut reads: Vec<Vec<(u64, u64)>> = vec![Vec::new(); HOSTS as usize];
    let (mut now, mut id, mut due) = (0, 0, 0.0);
    while now < RUN {
        now += STEP;
        while due < now as f64 {
            id += 1;
            // a quarter are for the larger model, with longer prompts
            let model = if rng.next() < 0.25 { 2 } else { 1 };
            let prompt = if model == 2 { 800 } else { 300 } + (rng.next() * 400.0) as u32;
            let valid_until = Timestamp::from_micros(now + 1_500_000);
            asked.insert(id, (now, model, prompt));
            let arrival = Arrival {
                request: RequestId(id),
                prompt_tokens: prompt,
                max_output_tokens: 50,
                expires_at: valid_until,
                ..Arrival::default()
            };
            let (at, arrival) = if pools {
                (model as usize - 1, arrival)
            } else {
                (0, Arrival { model, ..arrival })
            };
            balancers[at].1.push(Event::RequestReceived(arrival));
            figures.asked += 1;
            // a prompt token takes 100 us on a host, so the fleet reads 80,000 a second
            due += -(1.0 - rng.next()).ln() * 600.0 * 100.0 / HOSTS as f64 / load;
        }
        later.sort_by_key(|l| std::cmp::Reverse(l.0));
        while later.last().is_some_and(|l| l.0 <= now) {
            let (when, at, next) = later.pop().unwrap();
            match next {
                Next::First(id, elapsed) => {
                    let request = RequestId(id);
                    balancers[at].1.push(Event::FirstToken {
                        request,
                        attempt: 0,
                        elapsed: Span::from_micros(elapsed),
                    });
                }
                Next::End {
                    id,
                    host,
                    first,
                    sent,
                    in_time,
                } => {
                    // the stream stood still while prompts were read
                    let read: u64 = reads[host]
                        .iter()
                        .rev()
                        .take(400)
                        .map(|r| r.1.min(when).saturating_sub(r.0.max(first)))
                        .sum();
                    let end = first + DECODE + read;
                    if end > when {
                        later.push((
                            end,
                            at,
                            Next::End {
                                id,
                                host,
                                first,
                                sent,
                                in_time,
                            },
                        ));
                        later.sort_by_key(|l| std::cmp::Reverse(l.0));
                        continue;
                    }
                    figures.good += u32::from(in_time && end - first <= 2 * DECODE);
                    let (request, outcome, elapsed) = (
                        RequestId(id),
                        Outcome::Completed,
                        Span::from_micros(end - sent),
                    );
                    let ended = Event::AttemptEnded(AttemptEnded {
                        request,
                        attempt: 0,
                        outcome,
                        elapsed,
                        cached_tokens: None,
                        request_complete: true,
                        load_report: None,
                    });
                    balancers[at].1.push(ended);
                }
            }
        }
        for (at, (balancer, events)) in balancers.iter_mut().enumerate() {
            let mut actions = Vec::new();
            let start = Instant::now();
            balancer.step(Timestamp::from_micros(now), events, &mut actions);
            figures.nanoseconds += start.elapsed().as_nanos();
            figures.steps += 1;
            events.clear();
            for action in actions {
                match action {
                    Action::StartAttempt {
                        request, replica, ..
                    } => {
                        let (since, _, prompt) = asked[&request.0];
                        let host = &mut free[replica.0 as usize];
                        let start = (*host).max(now);
                        *host = start + u64::from(prompt) * 100;
                        // how far the wait behind others' prompts was foreseen: what the module
                        // could not see
                        figures.errors.push((start - now) as f64 / 1e3);
                        let first = *host;
                        if first - since <= 400_000 {
                            figures.in_time += 1;
                        }
                        reads[replica.0 as usize].push((start, first));
                        later.push((first, at, Next::First(request.0, first - now)));
                        let (id, host, in_time) =
                            (request.0, replica.0 as usize, first - since <= 400_000);
                        later.push((
                            first + DECODE,
                            at,
                            Next::End {
                                id,
                                host,
                                first,
                                sent: now,
                                in_time,
                            },
                        ));
                    }
                    Action::Reject { .. } | Action::Fail { .. } => figures.refused += 1,
                    _ => {}
                }
            }
        }
    }
    figures
}

fn main() {
    println!(
        "| load | balancers | good | first token in time | refused | wait behind others' prompts, mean ms | p99 ms | a step, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in [0.3, 0.4, 0.5, 0.6] {
        for pools in [true, false] {
            let mut all = Metrics::default();
            for seed in 1..=5 {
                let one = play(pools, load, seed * 7_919);
                all.asked += one.asked;
                all.in_time += one.in_time;
                all.good += one.good;
                all.refused += one.refused;
                all.errors.extend(one.errors);
                all.nanoseconds += one.nanoseconds;
                all.steps += one.steps;
            }
            all.errors.sort_by(f64::total_cmp);
            let mean = all.errors.iter().sum::<f64>() / all.errors.len() as f64;
            println!(
                "| {load} | {} | {:.1}% | {:.1}% | {:.1}% | {mean:.1} | {:.0} | {:.2} |",
                if pools {
                    "one a pool"
                } else {
                    "one, with eligibility"
                },
                100.0 * f64::from(all.good) / f64::from(all.asked),
                100.0 * f64::from(all.in_time) / f64::from(all.asked),
                100.0 * f64::from(all.refused) / f64::from(all.asked),
                all.errors[all.errors.len() * 99 / 100],
                all.nanoseconds as f64 / f64::from(all.steps) / 1e3,
            );
        }
    }
}
