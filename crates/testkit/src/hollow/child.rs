//! Control of a child process by lines of JSON on its standard input and output.

use std::io::{BufRead, BufReader, Write};
use std::marker::PhantomData;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::Serialize;

use super::usage::{self, Usage};
use super::{io, HollowError};

/// A child process that accepts commands `C` and sends reports `R`. Dropping it kills the child.
#[derive(Debug)]
pub struct ChildProcess<C, R> {
    name: String,
    child: Child,
    input: Option<ChildStdin>,
    reports: Receiver<Result<R, serde_json::Error>>,
    commands: PhantomData<C>,
}

impl<C: Serialize, R: DeserializeOwned + Send + 'static> ChildProcess<C, R> {
    /// Starts `program` with these arguments.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        name: String,
    ) -> Result<ChildProcess<C, R>, HollowError> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(io("child"))?;
        let (sender, reports) = channel();
        let output = child.stdout.take();
        std::thread::spawn(move || {
            let lines = output.into_iter().flat_map(|output| BufReader::new(output).lines());
            for line in lines.map_while(Result::ok) {
                if sender.send(serde_json::from_str(&line)).is_err() {
                    return;
                }
            }
        });
        let input = child.stdin.take();
        Ok(ChildProcess { name, child, input, reports, commands: PhantomData })
    }

    /// Sends a command without waiting for its report.
    ///
    /// # Errors
    /// If the child has exited.
    pub fn send_command(&mut self, command: &C) -> Result<(), HollowError> {
        let exited = || HollowError::ChildExited(self.name.clone());
        let mut text = serde_json::to_vec(command)
            .map_err(|source| HollowError::Json { child: self.name.clone(), source })?;
        text.push(b'\n');
        let input = self.input.as_mut().ok_or_else(exited)?;
        input.write_all(&text).and_then(|()| input.flush()).map_err(|_| exited())
    }

    /// Waits for the next report; none if the timeout expires.
    ///
    /// # Errors
    /// If the child has exited or its report is invalid.
    pub fn receive(&mut self, timeout: Duration) -> Result<Option<R>, HollowError> {
        match self.reports.recv_timeout(timeout) {
            Ok(Ok(report)) => Ok(Some(report)),
            Ok(Err(source)) => Err(HollowError::Json { child: self.name.clone(), source }),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(HollowError::ChildExited(self.name.clone())),
        }
    }

    /// Sends a command and waits for its report.
    ///
    /// # Errors
    /// As [`ChildProcess::receive`], and if the timeout expires.
    pub fn request(&mut self, command: &C, timeout: Duration) -> Result<R, HollowError> {
        self.send_command(command)?;
        let started = Instant::now();
        self.receive(timeout)?.ok_or_else(|| HollowError::Timeout {
            child: self.name.clone(),
            seconds: started.elapsed().as_secs_f64(),
        })
    }
}

impl<C, R> ChildProcess<C, R> {
    /// Name for error messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Resource usage so far.
    pub fn usage(&self) -> Usage {
        usage::of_process(self.child.id())
    }
}

impl<C, R> Drop for ChildProcess<C, R> {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
