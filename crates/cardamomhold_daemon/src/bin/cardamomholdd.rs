//! The daemon: one instance of the proxy.

use std::fs;
use std::path;
use std::process;

use cardamomhold_daemon::daemon;
use cardamomhold_daemon::logs;
use cardamomhold_daemon::settings;
use cardamomhold_daemon::shutdown;
use tokio::signal::unix;

/// Exit code for settings that are not accepted.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for an instance that can't start.
const EXIT_START: u8 = 3;

/// The flags, as the library generates them.
#[allow(missing_docs)]
mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one instance of cardamomhold, a database proxy with session consistency.
        ///
        /// The settings file is JSON; every field is needed and no other is taken:
        ///   instance      name of the instance, unique in the fleet, such as entry-a
        ///   zone          its availability zone, such as a
        ///   listen        where callers connect, such as 127.0.0.1:5401
        ///   peer          where other instances and operators connect
        ///   metrics       where /metrics and /ready are served
        ///   platform      address of the platform's object API
        ///   token_secret  signs session tokens, 16 bytes or more, the same everywhere
        ///
        /// Logs go to standard error; RUST_LOG=debug shows more of them.
        /// SIGTERM stops gracefully, a second one at once. Exit codes: 0 stopped,
        /// 2 settings refused, 3 can't start, 4 connections cut after the grace,
        /// 5 ended by a second signal.
        cmd cardamomholdd {
            /// Runs the instance until SIGTERM or SIGINT.
            cmd run {
                /// Settings file, in JSON.
                required settings: PathBuf
            }
            /// Checks a settings file and does nothing else.
            cmd check {
                /// Settings file, in JSON.
                required settings: PathBuf
            }
        }
    }
}

fn main() -> process::ExitCode {
    logs::init();
    let parsed = flags::Cardamomholdd::from_env_or_exit();
    let (path, is_run) = match &parsed.subcommand {
        flags::CardamomholddCmd::Run(run) => (&run.settings, true),
        flags::CardamomholddCmd::Check(check) => (&check.settings, false),
    };
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return process::ExitCode::from(EXIT_SETTINGS);
        }
    };
    if !is_run {
        println!("{}: accepted", path.display());
        return process::ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start: {error}");
            return process::ExitCode::from(EXIT_START);
        }
    };
    runtime.block_on(run(&settings))
}

/// Why a settings file can't be used.
#[derive(Debug)]
enum LoadError {
    Read(std::io::Error),
    Settings(settings::SettingsError),
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read(error) => write!(f, "can't read: {error}"),
            Self::Settings(error) => error.fmt(f),
        }
    }
}

fn load(path: &path::Path) -> Result<settings::Settings, LoadError> {
    let text = fs::read_to_string(path).map_err(LoadError::Read)?;
    settings::parse(&text).map_err(LoadError::Settings)
}

async fn run(settings: &settings::Settings) -> process::ExitCode {
    let signals = (
        unix::signal(unix::SignalKind::terminate()),
        unix::signal(unix::SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("can't start: no signals");
        return process::ExitCode::from(EXIT_START);
    };
    let daemon = match daemon::Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("can't start: {error}");
            return process::ExitCode::from(EXIT_START);
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("event=stopping");
    let second = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let ended = shutdown::run(daemon, second).await;
    process::ExitCode::from(ended.exit_code())
}
