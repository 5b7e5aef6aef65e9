//! Runs an adapter process: writes batches to its standard input and reads replies from its
//! standard output.

use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Prefix of the line that ends a reply.
const REPLY_END_PREFIX: &str = "READY ";

/// A running adapter process, which is killed on drop.
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
            return Err(io::Error::other(
                "the adapter process has no pipes for its input and output",
            ));
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
                    "the adapter closed its output before the end of the reply",
                ));
            }
            if reply[line_start..].starts_with(REPLY_END_PREFIX) {
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
