//! Runs one instance of siskinstile.

use std::{
    io::{self, Write as _},
    path::PathBuf,
    process::ExitCode,
    thread,
    time::Duration,
};

use clap::Parser;
use siskinstiled::{Daemon, Settings};

/// Routes callers' requests to pools of language-model workers and plain services.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Path of the settings file, in TOML.
    #[arg(long)]
    config: PathBuf,
    /// Checks the settings and exits without starting the instance.
    #[arg(long)]
    check: bool,
}

/// Exit code after a second signal, which ends the process without waiting for open requests.
const EXIT_FORCED: u8 = 3;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(&Args::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let signals = signals()?;
    let settings = Settings::open(&args.config)?;
    if args.check {
        println!("{}: fine", args.config.display());
        return Ok(ExitCode::SUCCESS);
    }
    let daemon = Daemon::spawn(&settings)?;
    let peer = daemon.peer().map_or("off".into(), |it| it.to_string());
    let addresses = format!("door {} admin {} peer {peer}\n", daemon.frontend(), daemon.admin());
    if let Err(error) = io::stdout().write_all(addresses.as_bytes()) {
        log::warn!("the addresses cannot be written: {error}");
    }
    let mut draining = false;
    loop {
        if daemon.wait(Duration::from_millis(50)) {
            return Ok(ExitCode::SUCCESS);
        }
        match signals.try_recv() {
            Ok(()) if draining => {
                eprintln!("second signal: aborting open requests");
                return Ok(ExitCode::from(EXIT_FORCED));
            }
            Ok(()) => {
                draining = true;
                daemon.drain();
            }
            Err(_) => {}
        }
    }
}

/// Returns a channel that receives a message for each SIGTERM or SIGINT. SIGHUP, and a log file as large as files may be, do
/// not end the process.
fn signals() -> anyhow::Result<crossbeam::channel::Receiver<()>> {
    use tokio::signal::unix::{SignalKind, signal};
    let (sender, receiver) = crossbeam::channel::unbounded();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let file_size = SignalKind::from_raw(rustix::process::Signal::XFSZ.as_raw());
    let (mut term, mut int, mut hangup, mut full) = {
        let _guard = runtime.enter();
        (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
            signal(SignalKind::hangup())?,
            signal(file_size)?,
        )
    };
    thread::spawn(move || {
        runtime.block_on(async {
            loop {
                tokio::select! {
                    _ = term.recv() => {}
                    _ = int.recv() => {}
                    _ = hangup.recv() => continue,
                    _ = full.recv() => continue,
                }
                if sender.send(()).is_err() {
                    break;
                }
            }
        });
    });
    Ok(receiver)
}
