//! The subcommands, one per module.

pub(crate) mod config;
pub(crate) mod drain;
pub(crate) mod entry;
pub(crate) mod explain;
pub(crate) mod lab;
pub(crate) mod lookup;
pub(crate) mod policy;
pub(crate) mod status;

mod change;
mod file;
