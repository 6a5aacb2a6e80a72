//! The command line: subcommands and their flags.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operates runpin: look-ups, configuration and experiments.
#[derive(Debug, FromArgs)]
pub(crate) struct Options {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Lookup(Lookup),
    Config(Config),
    Lab(Lab),
}

/// ask an instance which instances a caller is to use
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lookup")]
pub(crate) struct Lookup {
    /// address for callers of any instance, IP:PORT
    #[argh(option)]
    pub(crate) instance: SocketAddr,
    /// name of the service
    #[argh(option)]
    pub(crate) service: String,
}

/// check, apply and show the configuration
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct Config {
    #[argh(subcommand)]
    pub(crate) command: ConfigCommand,
}

/// What to do with the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigCommand {
    Check(ConfigCheck),
    Get(ConfigGet),
    Apply(ConfigApply),
}

/// check a configuration file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct ConfigCheck {
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// show the configuration in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct ConfigGet {
    /// address for operators of any instance, IP:PORT
    #[argh(option)]
    pub(crate) instance: SocketAddr,
}

/// make a configuration file the next version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ConfigApply {
    /// address for operators of any instance, IP:PORT
    #[argh(option)]
    pub(crate) instance: SocketAddr,
    /// number of the version that it replaces, 0 for the first one
    #[argh(option)]
    pub(crate) expect_version: Option<u64>,
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// run experiments and stand-ins on loopback
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lab")]
pub(crate) struct Lab {
    #[argh(subcommand)]
    pub(crate) command: LabCommand,
}

/// What to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum LabCommand {
    Run(LabRun),
    Platform(LabPlatform),
    Backend(LabBackend),
}

/// run an experiment and show its table
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct LabRun {
    /// file of the experiment
    #[argh(positional)]
    pub(crate) experiment: PathBuf,
    /// seed of callers and backend servers; default 1
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// length of the run in seconds, in place of the experiment's
    #[argh(option)]
    pub(crate) duration_s: Option<u64>,
    /// file to write the report to, as JSON
    #[argh(option)]
    pub(crate) report: Option<PathBuf>,
}

/// serve a stand-in of the platform until interrupted
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct LabPlatform {
    /// address to listen on, IP:PORT
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// an entry instance, NAME,ZONE,CALLER_ADDRESS,PEER_ADDRESS; may be repeated
    #[argh(option)]
    pub(crate) entry: Vec<String>,
}

/// serve a stand-in of a backend server until interrupted
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backend")]
pub(crate) struct LabBackend {
    /// address to listen on, IP:PORT
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// mean service time in milliseconds; default 10
    #[argh(option, default = "10.0")]
    pub(crate) mean_service_ms: f64,
    /// requests run at once; default 6
    #[argh(option, default = "6")]
    pub(crate) slots: u32,
}
