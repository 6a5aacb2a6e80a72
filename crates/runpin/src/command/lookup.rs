//! `runpin lookup`.

use super::print;
use crate::client;
use crate::options::Lookup;
use bytes::Bytes;
use hyper::Method;
use std::process::ExitCode;

pub(super) async fn run(options: Lookup) -> eyre::Result<ExitCode> {
    let path = format!("/lookup?service={}", options.service);
    let answer = client::ask(options.instance, Method::GET, &path, None, Bytes::new()).await?;
    print(String::from_utf8_lossy(&answer));
    Ok(ExitCode::SUCCESS)
}
