//! Hosts independent balancers on the simulator's wire: batches on standard input, replies on
//! output.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use stilespan::Balancer;
use stilespan::interface::{Event, Timestamp};
use stilespan::wire::{Line, Reader};

/// One instance: its balancer while it lives, and its events of the batch being read.
#[derive(Default)]
struct Slot {
    balancer: Option<Balancer>,
    events: Vec<Event>,
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("stilespan-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut reader = Reader::default();
    let mut slots: Vec<Slot> = Vec::new();
    let mut touched: Vec<usize> = Vec::new();
    let (mut line, mut reply, mut actions) = (Vec::new(), String::new(), Vec::new());
    let (mut now, mut batch) = (Timestamp::ZERO, 0);
    for number in 1u64.. {
        let at = |e: String| format!("line {number}: {e}");
        line.clear();
        let read = input
            .read_until(b'\n', &mut line)
            .map_err(|e| at(e.to_string()))?;
        if read == 0 {
            return if reader.at_rest() {
                Ok(())
            } else {
                Err(at("the input ends within a batch".into()))
            };
        }
        let text = std::str::from_utf8(&line).map_err(|_| at("not UTF-8".into()))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        match reader
            .line(text.strip_suffix('\r').unwrap_or(text))
            .map_err(at)?
        {
            Line::Clock { now: clock, .. } if clock < now => {
                return Err(at("the clock runs backwards".into()));
            }
            Line::Clock { now: clock, seq } => (now, batch) = (clock, seq),
            Line::List => {}
            Line::Init {
                instance,
                seed,
                settings,
            } => {
                if instance >= slots.len() {
                    slots.resize_with(instance + 1, Slot::default);
                }
                slots[instance].events.clear();
                slots[instance].balancer = Some(Balancer::new(*settings, seed, now));
                touched.push(instance);
            }
            Line::Halt { instance } => {
                if let Some(slot) = slots.get_mut(instance) {
                    *slot = Slot::default();
                }
            }
            Line::Event { instance, event } => {
                // an instance that is not running gets nothing; what comes for it is passed over
                if let Some(slot) = slots.get_mut(instance).filter(|s| s.balancer.is_some()) {
                    if slot.events.is_empty() {
                        touched.push(instance);
                    }
                    slot.events.push(event);
                }
            }
            Line::End => {
                touched.sort_unstable();
                touched.dedup();
                reply.clear();
                for instance in touched.drain(..) {
                    let slot = &mut slots[instance];
                    if let Some(balancer) = &mut slot.balancer {
                        actions.clear();
                        balancer.step(now, &slot.events, &mut actions);
                        for action in &actions {
                            reader.write(&mut reply, instance, action);
                        }
                    }
                    slot.events.clear();
                }
                reply.push_str(&format!("READY seq={batch}\n"));
                let sent = output
                    .write_all(reply.as_bytes())
                    .and_then(|()| output.flush());
                sent.map_err(|e| at(e.to_string()))?;
            }
        }
    }
    Ok(())
}
