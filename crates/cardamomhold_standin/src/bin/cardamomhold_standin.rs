//! Runs the stand-ins of the platform and of one database group in the foreground.

use std::fmt;
use std::fs;
use std::path;
use std::process;
use std::time;

use cardamomhold_standin::endpoint;
use cardamomhold_standin::member;
use cardamomhold_standin::platform;

/// The flags, as the library generates them.
#[allow(missing_docs)]
mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-ins of the outside systems, for tests and trials only.
        cmd standin {
            /// Settings file, in JSON.
            required settings: PathBuf
            /// Runs one part only: platform, or the name of a member.
            optional --only part: String
        }
    }
}

/// Name of the platform's part.
const PLATFORM: &str = "platform";

/// Settings of the stand-ins.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    /// Where the platform listens.
    platform: String,
    /// Instances on the platform's list.
    instances: Vec<Instance>,
    /// Objects that the platform holds from the start.
    objects: Vec<Object>,
    /// The members of the group; the first one is the primary.
    members: Vec<Member>,
    /// Name of the group.
    group: String,
}

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Instance {
    name: String,
    zone: String,
    address: String,
}

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Object {
    name: String,
    value: serde_json::Value,
}

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Member {
    name: String,
    address: String,
    #[serde(default)]
    apply_lag_ms: u64,
}

/// Why the stand-ins did not start.
enum Failure {
    Read(std::io::Error),
    Parse(serde_json::Error),
    Listen(std::io::Error),
    Start(endpoint::StartError),
    NoPart,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "can't read: {error}"),
            Self::Parse(error) => write!(f, "settings: {error}"),
            Self::Listen(error) => write!(f, "platform: {error}"),
            Self::Start(error) => write!(f, "members: {error}"),
            Self::NoPart => f.write_str("--only: use \"platform\" or the name of a member"),
        }
    }
}

fn main() -> process::ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let parsed = flags::Standin::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&parsed.settings, parsed.only.as_deref())) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("can't start: {failure}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(path: &path::Path, only: Option<&str>) -> Result<(), Failure> {
    let text = fs::read_to_string(path).map_err(Failure::Read)?;
    let settings: Settings = serde_json::from_str(&text).map_err(Failure::Parse)?;
    let is_wanted = |part: &str| only.is_none_or(|only| only == part);
    // Both live until the process ends.
    let platform = match is_wanted(PLATFORM) {
        true => Some(start_platform(&settings).await?),
        false => None,
    };
    let members = start_members(&settings, is_wanted).await?;
    if platform.is_none() && members.is_empty() {
        return Err(Failure::NoPart);
    }
    log::info!(
        "event=standins_ready platform={} members={}",
        platform.is_some(),
        members.len()
    );
    if let Err(error) = tokio::signal::ctrl_c().await {
        log::warn!("event=no_signals error=\"{error}\"");
    }
    Ok(())
}

async fn start_platform(settings: &Settings) -> Result<platform::Platform, Failure> {
    let platform = platform::Platform::start(&settings.platform)
        .await
        .map_err(Failure::Listen)?;
    for instance in &settings.instances {
        platform.list_instance(&instance.name, &instance.zone, &instance.address, false);
    }
    for object in &settings.objects {
        platform.store(&object.name, object.value.to_string().as_bytes());
    }
    Ok(platform)
}

async fn start_members(
    settings: &Settings,
    is_wanted: impl Fn(&str) -> bool,
) -> Result<Vec<endpoint::Endpoint>, Failure> {
    let mut endpoints = Vec::new();
    for (at, member) in settings.members.iter().enumerate() {
        if !is_wanted(&member.name) {
            continue;
        }
        let mut options = member::Options::new(&member.name, &settings.group);
        options.apply_lag = time::Duration::from_millis(member.apply_lag_ms);
        let part = match at {
            0 => endpoint::Part::Primary,
            _ => endpoint::Part::Replica(settings.members[0].address.clone()),
        };
        let endpoint = endpoint::Endpoint::start(options, &member.address, part).await;
        endpoints.push(endpoint.map_err(Failure::Start)?);
    }
    Ok(endpoints)
}
