//! The hosts' time: prompts are read one after another, and streams stand still meanwhile.

/// The time that a host takes to read a token of a prompt, in microseconds: a fleet of 8 reads
/// 80,000 tokens a second.
pub const PREFILL_PER_TOKEN: u64 = 100;
/// Tokens of an answer.
pub const ANSWER_TOKENS: u32 = 50;
/// The time that an undisturbed host takes for an answer's tokens, in microseconds: half of what
/// the token interval's objective allows.
pub const DECODE_TIME: u64 = 1_500_000;
/// The latest prompts of a host that are looked at for their effect on a stream.
const LATEST_PREFILLS: usize = 400;

/// The reading of a prompt; both times are in microseconds.
#[derive(Clone, Copy)]
pub struct Prefill {
    pub start: u64,
    pub end: u64,
}

#[derive(Default)]
pub struct Host {
    prefills: Vec<Prefill>,
}

impl Host {
    /// Adds a prompt to those that the host has to read.
    pub fn add_prompt(&mut self, now: u64, tokens: u32) -> Prefill {
        let free_at = self.prefills.last().map_or(0, |prefill| prefill.end);
        let start = free_at.max(now);
        let prefill = Prefill {
            start,
            end: start + u64::from(tokens) * PREFILL_PER_TOKEN,
        };
        self.prefills.push(prefill);
        prefill
    }

    /// When a stream ends that has had its first token at `first_token`, as far as is known at
    /// `now`: the time in which the host reads prompts is added.
    pub fn stream_end(&self, first_token: u64, now: u64) -> u64 {
        let stalled: u64 = self
            .prefills
            .iter()
            .rev()
            .take(LATEST_PREFILLS)
            .map(|prefill| {
                prefill
                    .end
                    .min(now)
                    .saturating_sub(prefill.start.max(first_token))
            })
            .sum();
        first_token + DECODE_TIME + stalled
    }
}
