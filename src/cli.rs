//! The command line. With no arguments the program serves, as the platform starts it.

use std::io::{Read as _, Write as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

use crate::behaviour::effects;
use crate::config::Files;
use crate::daemon::Daemon;
use crate::setup::Setup;
use crate::{logger, setup};

/// The longest that a request is out, where no settings say: bounds are told by it (ns).
const LONGEST_NS: u64 = 27_500_000_000;

/// A query router daemon: decides which engine runs each query and when, and gives each client one final answer.
#[derive(Parser)]
#[command(name = "marljunction", version)]
struct Arguments {
    #[command(subcommand)]
    task: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Serve: what is done with no arguments at all.
    Run {
        /// The operator's file; else the one that MARLJUNCTION_SETUP names, or none.
        #[arg(long, value_name = "FILE")]
        setup: Option<PathBuf>,
    },
    /// Tell what is wrong with operators' files.
    Check {
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Lay files of the configuration language out in the one way.
    Fmt {
        /// Change nothing; tell which files are not laid out so.
        #[arg(long)]
        check: bool,
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Tell what the program does differently under the second of two files; status 0 where they mean the same, 1 where not,
    /// 2 where one is wrong.
    Diff {
        /// The file as it is.
        from: PathBuf,
        /// The file as it is to be.
        to: PathBuf,
    },
    /// Print what a running router knows of its fleet: peers, and its part in each limit.
    Fleet {
        /// Address of its operators' door.
        #[arg(long, value_name = "ADDRESS")]
        at: std::net::SocketAddr,
    },
    /// Print a shell's completions.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

fn serve(own: Option<PathBuf>) -> ExitCode {
    logger::start();
    match Files::from_env(own).and_then(|files| Daemon::start(files)?.run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}

/// Whether a file is right; what is wrong with it goes to standard error.
fn check(path: &Path) -> bool {
    match setup::read_file(path).map(|outcome| setup::faults(&outcome)) {
        Ok(None) => {
            println!("{}: right", path.display());
            if let Ok(setup) = Setup::of_file(path) {
                println!("  {}", setup.start.bounds(None));
                for line in setup.fleet.iter().flat_map(|fleet| fleet.bounds(LONGEST_NS)) {
                    println!("  {line}");
                }
            }
            true
        }
        Ok(Some(told)) | Err(told) => {
            eprintln!("{told}");
            false
        }
    }
}

/// What the operators' door at this address says of the fleet.
fn ask_fleet(at: std::net::SocketAddr) -> Result<String, String> {
    let limit = std::time::Duration::from_secs(3);
    let fault = |e: std::io::Error| e.to_string();
    let mut stream = std::net::TcpStream::connect_timeout(&at, limit).map_err(fault)?;
    stream.set_read_timeout(Some(limit)).map_err(fault)?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: router\r\n\r\n").map_err(fault)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(fault)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or("no answer that can be read")?;
    if head.starts_with("HTTP/1.1 200 ") {
        Ok(body.to_owned())
    } else {
        Err(body.trim_end().to_owned())
    }
}

fn format(path: &Path, only_check: bool) -> Result<bool, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(fault)?;
    let Some(laid_out) = marljunction_language::format::format(&text) else {
        let why = setup::read_file(path).map(|outcome| setup::faults(&outcome).unwrap_or_default());
        return Err(why.unwrap_or_else(|fault| fault));
    };
    let right = laid_out == text;
    if !right && !only_check {
        std::fs::write(path, laid_out).map_err(fault)?;
        println!("{}: laid out", path.display());
    } else if !right {
        println!("{}: not laid out", path.display());
    }
    Ok(right || !only_check)
}

/// Does what the arguments say.
pub fn main() -> ExitCode {
    let all = |right: Vec<bool>| if right.iter().all(|r| *r) { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    match Arguments::parse().task {
        None => serve(None),
        Some(Task::Run { setup }) => serve(setup),
        Some(Task::Check { files }) => all(files.iter().map(|path| check(path)).collect()),
        Some(Task::Fmt { check, files }) => {
            let one = |path: &PathBuf| {
                format(path, check).unwrap_or_else(|why| {
                    eprintln!("{why}");
                    false
                })
            };
            all(files.iter().map(one).collect())
        }
        Some(Task::Diff { from, to }) => match (Setup::of_file(&from), Setup::of_file(&to)) {
            (Ok(Setup { value: Some(from), .. }), Ok(Setup { value: Some(to), .. })) => {
                let all = effects(&from, &to);
                all.iter().for_each(|effect| println!("{effect}"));
                ExitCode::from(u8::from(!all.is_empty()))
            }
            (one, other) => {
                [one, other].into_iter().filter_map(Result::err).for_each(|fault| eprintln!("{fault}"));
                ExitCode::from(2)
            }
        },
        Some(Task::Fleet { at }) => match ask_fleet(at) {
            Ok(told) => {
                print!("{told}");
                ExitCode::SUCCESS
            }
            Err(fault) => {
                eprintln!("{at}: {fault}");
                ExitCode::FAILURE
            }
        },
        Some(Task::Completions { shell }) => {
            clap_complete::generate(shell, &mut Arguments::command(), "marljunction", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}
