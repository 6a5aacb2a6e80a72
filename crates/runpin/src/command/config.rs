//! `runpin config`.

use super::{print, read_file};
use crate::client::{self, CHANGE_TOKEN, READ_TOKEN};
use crate::error::CommandError;
use crate::options::{Config, ConfigApply, ConfigCheck, ConfigCommand, ConfigGet};
use bytes::Bytes;
use configuration::{Configuration, Manifest};
use hyper::Method;
use std::path::Path;
use std::process::ExitCode;

const CONFIGURATION_PATH: &str = "/v1/configuration";

pub(super) async fn run(options: Config) -> eyre::Result<ExitCode> {
    match options.command {
        ConfigCommand::Check(options) => check(&options),
        ConfigCommand::Get(options) => get(options).await,
        ConfigCommand::Apply(options) => apply(options).await,
    }
}

fn check(options: &ConfigCheck) -> eyre::Result<ExitCode> {
    let (_, configuration) = read_configuration(&options.file)?;
    let servers: usize = configuration
        .services
        .iter()
        .flat_map(|service| &service.sites)
        .map(|site| site.backend_servers.len())
        .sum();
    print(format_args!(
        "{}: {} services, {} availability zones, {} backend servers, {} client blocks",
        configuration.name,
        configuration.services.len(),
        configuration.availability_zones.len(),
        servers,
        configuration.client_blocks.len()
    ));
    Ok(ExitCode::SUCCESS)
}

async fn get(options: ConfigGet) -> eyre::Result<ExitCode> {
    let token = client::token(READ_TOKEN)?;
    let answer =
        client::ask(options.instance, Method::GET, CONFIGURATION_PATH, Some(&token), Bytes::new());
    let manifest = Manifest::from_json(&answer.await?)?;
    print(format_args!("# version {} by {}", manifest.number, manifest.author));
    print(&manifest.text);
    Ok(ExitCode::SUCCESS)
}

async fn apply(options: ConfigApply) -> eyre::Result<ExitCode> {
    let (text, _) = read_configuration(&options.file)?;
    let token = client::token(CHANGE_TOKEN)?;
    let author = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let mut path = format!("{CONFIGURATION_PATH}?author={author}");
    if let Some(number) = options.expect_version {
        path.push_str(&format!("&expect_version={number}"));
    }
    let answer =
        client::ask(options.instance, Method::PUT, &path, Some(&token), Bytes::from(text)).await?;
    let answer: serde_json::Value = serde_json::from_slice(&answer)?;
    print(format_args!("version {} is accepted", answer["number"]));
    Ok(ExitCode::SUCCESS)
}

fn read_configuration(path: &Path) -> Result<(String, Configuration), CommandError> {
    let text = read_file(path)?;
    let configuration = text
        .parse()
        .map_err(|source| CommandError::Configuration { path: path.to_owned(), source })?;
    Ok((text, configuration))
}
