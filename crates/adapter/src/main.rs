//! Runs controllers behind the simulator's line protocol, on standard input and output.

#![forbid(unsafe_code)]

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use marljunction_adapter::wire::Host;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::new();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let text = line.trim_end_matches(['\n', '\r']);
        if let Some(reply) = host.handle_line(text)? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marljunction-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
