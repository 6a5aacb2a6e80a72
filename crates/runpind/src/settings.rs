//! Settings of the daemon, from flags or environment variables, and their validation.

use crate::error::SettingsError;
use argh::FromArgs;
use std::net::SocketAddr;
use std::sync::Arc;

/// Steers callers to entry instances and carries their requests to backend servers.
///
/// Every flag has an environment variable, named in parentheses; a flag goes before its variable.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct RawSettings {
    /// name that the platform gave this instance (RUNPIND_NAME)
    #[argh(option)]
    pub name: Option<String>,
    /// availability zone of this instance (RUNPIND_AVAILABILITY_ZONE)
    #[argh(option)]
    pub availability_zone: Option<String>,
    /// address for callers, IP:PORT (RUNPIND_CALLER_ADDRESS)
    #[argh(option)]
    pub caller_address: Option<String>,
    /// address for peers, IP:PORT (RUNPIND_PEER_ADDRESS)
    #[argh(option)]
    pub peer_address: Option<String>,
    /// address for operators and metrics, IP:PORT (RUNPIND_ADMIN_ADDRESS)
    #[argh(option)]
    pub admin_address: Option<String>,
    /// address of the platform's API, IP:PORT (RUNPIND_PLATFORM_ADDRESS)
    #[argh(option)]
    pub platform_address: Option<String>,
    /// keys shared by all instances, one or two separated by a comma; the first one signs
    /// (RUNPIND_PEER_KEYS)
    #[argh(option)]
    pub peer_keys: Option<String>,
    /// token for reading on the admin address (RUNPIND_READ_TOKEN)
    #[argh(option)]
    pub read_token: Option<String>,
    /// token for changes on the admin address (RUNPIND_CHANGE_TOKEN)
    #[argh(option)]
    pub change_token: Option<String>,
    /// form of log lines, `text` or `json`; default `text` (RUNPIND_LOG_FORMAT)
    #[argh(option)]
    pub log_format: Option<String>,
    /// longest wait for requests in flight at a planned stop, in milliseconds; default 600000
    /// (RUNPIND_DRAIN_TIMEOUT_MS)
    #[argh(option)]
    pub drain_timeout_ms: Option<String>,
    /// longest time that callers are given to look up other instances before a planned stop closes
    /// the listener, in milliseconds; default 10000 (RUNPIND_DRAIN_NOTICE_MS)
    #[argh(option)]
    pub drain_notice_ms: Option<String>,
    /// memory of the machine in MB, of which callers get a part; default 160 (RUNPIND_MEMORY_MB)
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// for tests: take the caller's address from the header `runpin-caller-address`, `true` or
    /// `false`; default `false` (RUNPIND_TRUST_CALLER_HEADER)
    #[argh(option)]
    pub trust_caller_header: Option<String>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// A key or token, which its `Debug` output hides so that it never appears in logs.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Returns the secret's bytes.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Secret(hidden)")
    }
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name that the platform gave this instance.
    pub name: Arc<str>,
    /// Availability zone of this instance.
    pub availability_zone: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for operators and metrics.
    pub admin_address: SocketAddr,
    /// Address of the platform's API.
    pub platform_address: SocketAddr,
    /// Keys shared by all instances; the first one signs, each one verifies.
    pub peer_keys: Vec<Secret>,
    /// Token for reading on the admin address.
    pub read_token: Secret,
    /// Token for changes on the admin address.
    pub change_token: Secret,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Longest wait for requests in flight at a planned stop, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Longest time between the start of a planned stop and the closing of the listener, in
    /// milliseconds, during which callers can look up other instances.
    pub drain_notice_ms: u64,
    /// Memory of the machine, in MB.
    pub memory_mb: u32,
    /// Whether the caller's address is taken from a header.
    pub trust_caller_header: bool,
}

const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 600_000;

const DEFAULT_DRAIN_NOTICE_MS: u64 = 10_000;

/// Memory of the smallest machines, in MB.
const DEFAULT_MEMORY_MB: u32 = 160;

/// Memory with which the daemon can run at all, in MB.
const MIN_MEMORY_MB: u32 = 32;
const MIN_SECRET_BYTES: usize = 16;
const MAX_PEER_KEYS: usize = 2;

impl RawSettings {
    /// Fills in settings that no flag gave from `variable`, which reads environment variables.
    pub fn or_environment(mut self, variable: impl Fn(&str) -> Option<String>) -> Self {
        let fields = [
            (&mut self.name, "RUNPIND_NAME"),
            (&mut self.availability_zone, "RUNPIND_AVAILABILITY_ZONE"),
            (&mut self.caller_address, "RUNPIND_CALLER_ADDRESS"),
            (&mut self.peer_address, "RUNPIND_PEER_ADDRESS"),
            (&mut self.admin_address, "RUNPIND_ADMIN_ADDRESS"),
            (&mut self.platform_address, "RUNPIND_PLATFORM_ADDRESS"),
            (&mut self.peer_keys, "RUNPIND_PEER_KEYS"),
            (&mut self.read_token, "RUNPIND_READ_TOKEN"),
            (&mut self.change_token, "RUNPIND_CHANGE_TOKEN"),
            (&mut self.log_format, "RUNPIND_LOG_FORMAT"),
            (&mut self.drain_timeout_ms, "RUNPIND_DRAIN_TIMEOUT_MS"),
            (&mut self.drain_notice_ms, "RUNPIND_DRAIN_NOTICE_MS"),
            (&mut self.memory_mb, "RUNPIND_MEMORY_MB"),
            (&mut self.trust_caller_header, "RUNPIND_TRUST_CALLER_HEADER"),
        ];
        for (field, name) in fields {
            if field.is_none() {
                *field = variable(name);
            }
        }
        self
    }
}

/// The names of a setting and its raw value.
struct Setting<'a> {
    flag: &'static str,
    variable: &'static str,
    value: &'a Option<String>,
}

impl Setting<'_> {
    fn text(&self) -> Result<&str, SettingsError> {
        let missing = SettingsError::Missing { flag: self.flag, variable: self.variable };
        self.value.as_deref().filter(|text| !text.is_empty()).ok_or(missing)
    }

    fn parse<T>(
        &self,
        expected: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let text = self.text()?;
        parse(text).ok_or_else(|| SettingsError::Invalid {
            flag: self.flag,
            variable: self.variable,
            value: text.to_owned(),
            expected,
        })
    }

    fn parse_or<T>(
        &self,
        default: T,
        expected: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        if self.value.is_none() { Ok(default) } else { self.parse(expected, parse) }
    }

    fn address(&self) -> Result<SocketAddr, SettingsError> {
        self.parse("an IP address with a port", |text| text.parse().ok())
    }

    fn secret(&self) -> Result<Secret, SettingsError> {
        let text = self.text()?;
        if text.len() < MIN_SECRET_BYTES {
            return Err(self.invalid_secret("a secret of at least 16 bytes"));
        }
        Ok(Secret::from(text))
    }

    /// Returns the error for an invalid secret, without its value.
    fn invalid_secret(&self, expected: &'static str) -> SettingsError {
        SettingsError::Invalid {
            flag: self.flag,
            variable: self.variable,
            value: "(hidden)".to_owned(),
            expected,
        }
    }

    fn keys(&self) -> Result<Vec<Secret>, SettingsError> {
        let keys: Vec<&str> = self.text()?.split(',').collect();
        if keys.len() > MAX_PEER_KEYS || keys.iter().any(|key| key.len() < MIN_SECRET_BYTES) {
            return Err(
                self.invalid_secret("one or two keys of at least 16 bytes, separated by a comma")
            );
        }
        Ok(keys.into_iter().map(Secret::from).collect())
    }
}

macro_rules! setting {
    ($raw:expr, $field:ident, $flag:literal, $variable:literal) => {
        Setting { flag: $flag, variable: $variable, value: &$raw.$field }
    };
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let name = setting!(raw, name, "name", "RUNPIND_NAME");
        let zone =
            setting!(raw, availability_zone, "availability-zone", "RUNPIND_AVAILABILITY_ZONE");
        let caller = setting!(raw, caller_address, "caller-address", "RUNPIND_CALLER_ADDRESS");
        let peer = setting!(raw, peer_address, "peer-address", "RUNPIND_PEER_ADDRESS");
        let admin = setting!(raw, admin_address, "admin-address", "RUNPIND_ADMIN_ADDRESS");
        let platform =
            setting!(raw, platform_address, "platform-address", "RUNPIND_PLATFORM_ADDRESS");
        let peer_keys = setting!(raw, peer_keys, "peer-keys", "RUNPIND_PEER_KEYS");
        let read_token = setting!(raw, read_token, "read-token", "RUNPIND_READ_TOKEN");
        let change_token = setting!(raw, change_token, "change-token", "RUNPIND_CHANGE_TOKEN");
        let log_format = setting!(raw, log_format, "log-format", "RUNPIND_LOG_FORMAT");
        let drain = setting!(raw, drain_timeout_ms, "drain-timeout-ms", "RUNPIND_DRAIN_TIMEOUT_MS");
        let notice = setting!(raw, drain_notice_ms, "drain-notice-ms", "RUNPIND_DRAIN_NOTICE_MS");
        let memory = setting!(raw, memory_mb, "memory-mb", "RUNPIND_MEMORY_MB");
        let trust = setting!(
            raw,
            trust_caller_header,
            "trust-caller-header",
            "RUNPIND_TRUST_CALLER_HEADER"
        );
        Ok(Settings {
            name: name.text()?.into(),
            availability_zone: zone.text()?.into(),
            caller_address: caller.address()?,
            peer_address: peer.address()?,
            admin_address: admin.address()?,
            platform_address: platform.address()?,
            peer_keys: peer_keys.keys()?,
            read_token: read_token.secret()?,
            change_token: change_token.secret()?,
            log_format: log_format.parse_or(
                LogFormat::Text,
                "`text` or `json`",
                |text| match text {
                    "text" => Some(LogFormat::Text),
                    "json" => Some(LogFormat::Json),
                    _ => None,
                },
            )?,
            drain_timeout_ms: drain.parse_or(
                DEFAULT_DRAIN_TIMEOUT_MS,
                "a number of milliseconds",
                |text| text.parse().ok(),
            )?,
            drain_notice_ms: notice.parse_or(
                DEFAULT_DRAIN_NOTICE_MS,
                "a number of milliseconds",
                |text| text.parse().ok(),
            )?,
            memory_mb: memory.parse_or(
                DEFAULT_MEMORY_MB,
                "a number of MB, 32 or more",
                |text| text.parse().ok().filter(|memory_mb| *memory_mb >= MIN_MEMORY_MB),
            )?,
            trust_caller_header: trust
                .parse_or(false, "`true` or `false`", |text| text.parse().ok())?,
        })
    }
}
