//! A running adapter process: batches to its standard input, replies from its standard output.

use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// What the line that ends a reply begins with.
const END_OF_REPLY: &str = "READY ";

/// A running adapter process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Adapter {
    process: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Adapter {
    /// Starts the adapter program.
    pub fn start(program: &Path) -> io::Result<Adapter> {
        let mut process = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (Some(input), Some(output)) = (process.stdin.take(), process.stdout.take()) else {
            return Err(io::Error::other("the adapter has no pipes"));
        };
        Ok(Adapter {
            process,
            input,
            output: BufReader::new(output),
        })
    }

    /// Sends one complete batch and reads its reply, including the line that ends it.
    pub fn exchange(&mut self, batch: &str) -> io::Result<String> {
        self.input.write_all(batch.as_bytes())?;
        self.input.flush()?;
        let mut reply = String::new();
        loop {
            let line_start = reply.len();
            if self.output.read_line(&mut reply)? == 0 {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "the adapter ended",
                ));
            }
            if reply[line_start..].starts_with(END_OF_REPLY) {
                return Ok(reply);
            }
        }
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
