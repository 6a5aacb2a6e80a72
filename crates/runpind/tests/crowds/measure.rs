//! What a process holds: memory and descriptors.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Descriptors that a machine reserves for files.
pub(crate) const FILE_DESCRIPTORS: usize = 200;

/// Lets this process open as many descriptors as it may, as a crowd needs many.
pub(crate) fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit })
        .expect("the limit can be raised");
}

/// The most memory that a process had, in MB; `None` if it has ended.
pub(crate) fn peak_memory_mb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak_kb: u64 = line.trim().split(' ').next()?.parse().ok()?;
    Some(peak_kb / 1024)
}

/// Number of descriptors that a process has open; `None` if it has ended.
pub(crate) fn open_descriptors(process: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count())
}
