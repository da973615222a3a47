//! The settings of one instance, read from JSON and checked before anything starts.

use std::fmt;
use std::net;

use cardamomhold_budget::plan;
use cardamomhold_core::name;
use serde::de;

/// Shortest accepted token secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: name::InstanceName,
    /// Its availability zone.
    pub zone: name::ZoneName,
    /// Where callers connect, `ip:port`.
    #[serde(deserialize_with = "address")]
    pub listen: net::SocketAddr,
    /// Where other instances and operators connect, `ip:port`.
    #[serde(deserialize_with = "address")]
    pub peer: net::SocketAddr,
    /// Where metrics and the readiness probe are served, `ip:port`.
    #[serde(deserialize_with = "address")]
    pub metrics: net::SocketAddr,
    /// Address of the platform's object API, `ip:port`.
    #[serde(deserialize_with = "address")]
    pub platform: net::SocketAddr,
    /// Peer addresses of other instances, contacted at the start; they let an instance start
    /// while the platform is down.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Secret that signs session tokens; the same on every instance.
    pub token_secret: String,
    /// Memory that the process may use, in MB of 10^6 bytes.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
}

fn default_memory() -> u64 {
    plan::DEFAULT_MEMORY_MB
}

fn default_max_fds() -> u64 {
    plan::DEFAULT_MAX_FDS
}

/// Reason why settings are rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// A field is missing, unknown or invalid, or the text isn't JSON.
    Field {
        /// Path of the field.
        path: String,
        /// What is wrong and what is accepted.
        problem: String,
    },
    /// The file has text after the settings.
    TrailingText(String),
    /// The token secret is too short.
    ShortSecret(usize),
    /// Two services would listen on the same address.
    SharedAddress(&'static str, &'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Field { path, problem } => write!(f, "{path}: {problem}"),
            Self::TrailingText(problem) => {
                write!(f, "after the settings: {problem}; end the file there")
            }
            Self::ShortSecret(len) => {
                write!(
                    f,
                    "token_secret: has {len} bytes; use at least {MIN_SECRET_LEN}"
                )
            }
            Self::SharedAddress(a, b) => write!(f, "{b}: same address as {a}; use another port"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks settings.
///
/// # Errors
/// [`SettingsError`] with the name of the rejected field.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        SettingsError::Field {
            path,
            problem: error.into_inner().to_string(),
        }
    })?;
    json.end()
        .map_err(|error| SettingsError::TrailingText(error.to_string()))?;
    check(&settings)?;
    Ok(settings)
}

fn address<'de, D: de::Deserializer<'de>>(input: D) -> Result<net::SocketAddr, D::Error> {
    input.deserialize_str(Address)
}

/// Parses a socket address; its error message shows an example.
struct Address;

impl de::Visitor<'_> for Address {
    type Value = net::SocketAddr;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an address such as \"127.0.0.1:5401\"")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        let parsed = text.parse();
        parsed.map_err(|_| E::invalid_value(de::Unexpected::Str(text), &self))
    }
}

fn check(settings: &Settings) -> Result<(), SettingsError> {
    let len = settings.token_secret.len();
    if len < MIN_SECRET_LEN {
        return Err(SettingsError::ShortSecret(len));
    }
    let services = [
        ("listen", settings.listen),
        ("peer", settings.peer),
        ("metrics", settings.metrics),
    ];
    for (i, (name, address)) in services.iter().enumerate() {
        for (other, earlier) in &services[..i] {
            if address == earlier && address.port() != 0 {
                return Err(SettingsError::SharedAddress(other, name));
            }
        }
    }
    Ok(())
}
