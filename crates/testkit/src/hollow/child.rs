//! A child process that obeys lines of JSON, seen from its parent.

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

/// A child that takes `C` and answers `R`. It ends with this value, and with its parent.
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
    /// Where it can't be started.
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

    /// Tells it something.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn send_command(&mut self, command: &C) -> Result<(), HollowError> {
        let exited = || HollowError::ChildExited(self.name.clone());
        let mut text = serde_json::to_vec(command)
            .map_err(|source| HollowError::Json { child: self.name.clone(), source })?;
        text.push(b'\n');
        let input = self.input.as_mut().ok_or_else(exited)?;
        input.write_all(&text).and_then(|()| input.flush()).map_err(|_| exited())
    }

    /// Its next answer; none within the limit.
    ///
    /// # Errors
    /// Where it has ended, or its line can't be read.
    pub fn receive(&mut self, timeout: Duration) -> Result<Option<R>, HollowError> {
        match self.reports.recv_timeout(timeout) {
            Ok(Ok(report)) => Ok(Some(report)),
            Ok(Err(source)) => Err(HollowError::Json { child: self.name.clone(), source }),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(HollowError::ChildExited(self.name.clone())),
        }
    }

    /// Its answer to a command.
    ///
    /// # Errors
    /// As [`Obedient::hear`], and where there is none within the limit.
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
    /// What it is called.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it used so far.
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
