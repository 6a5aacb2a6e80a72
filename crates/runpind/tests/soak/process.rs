//! Processes of instances, and their addresses.

use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::process::Stdio;
use tokio::process::{Child, Command};

/// Starts an instance that appends to a log and may open some descriptors.
pub(crate) fn spawn(
    binary: &Path,
    settings: &Path,
    log: &Path,
    descriptors: u32,
) -> io::Result<Child> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    // The process ends with the test, also if the test is killed.
    let script = format!("ulimit -n {descriptors}; exec setpriv --pdeathsig KILL \"$0\"");
    Command::new("sh")
        .args(["-c", &script])
        .arg(binary)
        .env("RUNPIN_CONFIG", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .kill_on_drop(true)
        .spawn()
}

/// A loopback address that no other run uses, unless their process IDs differ in bits above the 16th
/// only; there are at most 255 instances.
pub(crate) fn host(number: usize) -> IpAddr {
    let last = u32::try_from(number + 1).expect("there are few instances");
    let bits = std::process::id() << 8 | last;
    (Ipv4Addr::from_bits(Ipv4Addr::new(127, 0, 0, 0).to_bits() | bits & 0x00ff_ffff)).into()
}
