//! The operators' command-line tool.

use std::process;

use cardamomhold_cli::commands;
use cardamomhold_cli::failure;
use cardamomhold_cli::flags;

fn main() -> process::ExitCode {
    let parsed = flags::Cardamomhold::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start: {error}");
            return process::ExitCode::from(failure::EXIT_UNREACHABLE);
        }
    };
    match runtime.block_on(commands::run(&parsed)) {
        Ok(text) => {
            print!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{failure}");
            process::ExitCode::from(failure.exit_code())
        }
    }
}
