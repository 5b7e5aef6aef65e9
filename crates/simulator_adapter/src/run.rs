//! Reads batches from the input and answers each with one reply.

use std::fmt::Write as _;
use std::io::{BufRead, Write};

use stilespan::interface::Timestamp;

use crate::error::{AdapterError, InputProblem};
use crate::instances::Instances;
use crate::message::{Message, MessageReader};

/// Runs until the end of the input. Stops at the first line that can't be processed; the batch that
/// contains this line gets no reply.
pub fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::new(output);
    let mut bytes = Vec::new();
    for line in 1.. {
        let at_line = |problem| AdapterError { line, problem };
        bytes.clear();
        let read = input
            .read_until(b'\n', &mut bytes)
            .map_err(|error| at_line(error.into()))?;
        if read == 0 {
            return adapter.finish().map_err(at_line);
        }
        adapter.process(&bytes).map_err(at_line)?;
    }
    Ok(())
}

struct Adapter<'a, W> {
    output: &'a mut W,
    reader: MessageReader,
    instances: Instances,
    /// The time of the latest batch.
    now: Timestamp,
    /// The number of the latest batch.
    sequence: u64,
    /// Reused between batches.
    reply: String,
}

impl<'a, W: Write> Adapter<'a, W> {
    fn new(output: &'a mut W) -> Adapter<'a, W> {
        Adapter {
            output,
            reader: MessageReader::default(),
            instances: Instances::default(),
            now: Timestamp::ZERO,
            sequence: 0,
            reply: String::new(),
        }
    }

    /// Checks that the input does not end within a batch.
    fn finish(&self) -> Result<(), InputProblem> {
        if self.reader.is_in_batch() {
            return Err(InputProblem::IncompleteBatch);
        }
        Ok(())
    }

    /// Processes one line.
    fn process(&mut self, line: &[u8]) -> Result<(), InputProblem> {
        let text = std::str::from_utf8(line).map_err(|_| InputProblem::NotUtf8)?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        match self.reader.parse(text)? {
            Message::BatchStarted { now, sequence } => self.start_batch(now, sequence)?,
            Message::BatchCompleted => self.complete_batch()?,
            Message::InstanceStarted {
                instance,
                seed,
                settings,
            } => self.instances.start(instance, seed, *settings, self.now),
            Message::InstanceKilled { instance } => self.instances.kill(instance),
            Message::Event { instance, event } => self.instances.push_event(instance, event),
            Message::EndpointList => {}
        }
        Ok(())
    }

    fn start_batch(&mut self, now: Timestamp, sequence: u64) -> Result<(), InputProblem> {
        if now < self.now {
            return Err(InputProblem::ClockBackwards);
        }
        self.now = now;
        self.sequence = sequence;
        Ok(())
    }

    /// Runs one step of each instance in the batch and writes the reply.
    fn complete_batch(&mut self) -> Result<(), InputProblem> {
        self.reply.clear();
        self.instances
            .step(self.now, self.reader.replica_names(), &mut self.reply);
        // writing to a string can't fail
        let _ = writeln!(self.reply, "READY seq={}", self.sequence);
        self.output.write_all(self.reply.as_bytes())?;
        self.output.flush()?;
        Ok(())
    }
}
