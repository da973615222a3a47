//! The operators' command-line tool.

use std::process;

use cardamomhold_proto::operator as schema;

const DEFAULT_ADDRESS: &str = "127.0.0.1:7101";

/// Exit code when the instance can't be reached or fails.
const EXIT_UNREACHABLE: u8 = 3;

/// The flags, as the library generates them.
#[allow(missing_docs)]
mod flags {
    xflags::xflags! {
        /// Drives a fleet of cardamomhold instances.
        cmd cardamomhold {
            /// Address of an instance's peer service; 127.0.0.1:7101 by default.
            optional --address address: String
            /// Shows groups, members and instances as the instance sees them.
            cmd status {}
        }
    }
}

fn main() -> process::ExitCode {
    let parsed = flags::Cardamomhold::from_env_or_exit();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start: {error}");
            return process::ExitCode::from(EXIT_UNREACHABLE);
        }
    };
    let address = parsed.address.as_deref().unwrap_or(DEFAULT_ADDRESS);
    let result = match parsed.subcommand {
        flags::CardamomholdCmd::Status(_) => runtime.block_on(status(address)),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{address}: {}; is the instance running?", error.message());
            process::ExitCode::from(EXIT_UNREACHABLE)
        }
    }
}

async fn status(address: &str) -> Result<(), tonic::Status> {
    let connected =
        schema::operator_client::OperatorClient::connect(format!("http://{address}")).await;
    let mut client = connected.map_err(|error| tonic::Status::unavailable(error.to_string()))?;
    let status = client.status(schema::StatusRequest {}).await?.into_inner();
    println!(
        "instance {} zone {} configuration {}",
        status.instance, status.zone, status.config_version
    );
    for group in &status.groups {
        println!(
            "group {} term {} primary {}",
            group.name, group.term, group.primary
        );
        for member in &group.members {
            println!(
                "  {:<16} zone {:<4} {:<8} term {} received {} applied {} owner {}",
                member.name,
                member.zone,
                member.role,
                member.term,
                member.received,
                member.applied,
                member.owner
            );
        }
    }
    for instance in &status.instances {
        println!(
            "instance {:<16} zone {:<4} {}",
            instance.name, instance.zone, instance.state
        );
    }
    Ok(())
}
