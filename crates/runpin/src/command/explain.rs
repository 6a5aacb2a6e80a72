//! `runpin explain`.

use crate::client::Client;
use crate::command::lookup::lookup_query;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::Deserialize;
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};

/// show why a caller's requests go where they go
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// name of the service
    #[argh(option)]
    service: String,
    /// address of the caller; default the instance's own
    #[argh(option)]
    caller: Option<IpAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// The fields of the explanation that the text output shows.
#[derive(Debug, Deserialize)]
struct Explanation {
    caller: IpAddr,
    configuration_version: u64,
    arm: ArmExplanation,
    shadows: Vec<ArmExplanation>,
}

/// Routing of the requests of one arm.
#[derive(Debug, Deserialize)]
struct ArmExplanation {
    arm: String,
    share_percent: u32,
    policy: String,
    origin: String,
    policy_error: Option<String>,
    /// Fraction of requests that no site can take.
    unplaced_share: f64,
    sites: Vec<SiteExplanation>,
}

/// Weight, growth limits and state of one site.
#[derive(Debug, Deserialize)]
struct SiteExplanation {
    availability_zone: String,
    /// Weight that the policy proposes, as a fraction.
    wished: f64,
    /// Weight in effect, as a fraction.
    weight: f64,
    /// Whether the guard closed the site.
    is_closed: bool,
    /// Growth that the free slots allow, in requests per second.
    headroom_growth_per_s: f64,
    /// Growth that the response times allow, in requests per second.
    ramp_growth_per_s: f64,
    /// Growth that the link allows, in requests per second.
    link_growth_per_s: f64,
    capacity_slots: f64,
    headroom_slots: f64,
    latency_ms: f64,
    /// Fraction of exchanges that failed.
    failed_share: f64,
    /// Age of the load figures, in milliseconds.
    age_ms: f64,
}

/// Queries an instance and prints its explanation.
pub(crate) async fn run(options: Explain) -> Result<Exit, CommandError> {
    let path = format!("/v1/explain?{}", lookup_query(&options.service, options.caller)?);
    let client = Client::for_reading(&options.instance)?;
    let response: Value = client.read(&path).await?;
    let text = describe(&options.service, &Explanation::deserialize(&response)?);
    options.output.show(&response, text)?;
    Ok(Exit::Done)
}

fn describe(service: &str, explanation: &Explanation) -> String {
    let mut text = format!(
        "caller {}, service {service}, configuration version {}\n{}",
        explanation.caller,
        explanation.configuration_version,
        describe_arm("arm", &explanation.arm)
    );
    for shadow in &explanation.shadows {
        text.push_str(&format!("\n\n{}", describe_arm("shadow arm", shadow)));
    }
    text
}

fn describe_arm(kind: &str, arm: &ArmExplanation) -> String {
    let mut text = format!(
        "{kind} {} ({} % of callers), policy {}, weights from {}\n",
        arm.arm, arm.share_percent, arm.policy, arm.origin
    );
    if let Some(error) = &arm.policy_error {
        text.push_str(&format!("the policy fails: {error}\n"));
    }
    if arm.unplaced_share > 0.0 {
        text.push_str(&format!("{} of requests find no site\n", percent(arm.unplaced_share)));
    }
    text.push_str(&site_table(arm).to_string());
    text.push_str(&format!("\n\n{}", growth_table(arm)));
    text
}

/// Returns a table of the weights and load of each site.
fn site_table(arm: &ArmExplanation) -> Table {
    let mut table = Table::new([
        "SITE",
        "WEIGHT",
        "WISHED",
        "FREE SLOTS",
        "OF",
        "LATENCY",
        "FAILED",
        "AGE OF FIGURES",
    ]);
    for site in &arm.sites {
        table.add_row([
            site.availability_zone.clone(),
            percent(site.weight),
            percent(site.wished),
            format!("{:.1}", site.headroom_slots),
            format!("{:.0}", site.capacity_slots),
            format!("{:.1} ms", site.latency_ms),
            percent(site.failed_share),
            format!("{:.0} ms", site.age_ms),
        ]);
    }
    table
}

/// Returns a table of how much the guard allows the traffic of each site to grow.
fn growth_table(arm: &ArmExplanation) -> Table {
    let mut table = Table::new(["SITE", "GUARD", "BY FREE SLOTS", "BY ANSWER TIMES", "BY LINK"]);
    for site in &arm.sites {
        let guard = if site.is_closed { "closed" } else { "open" };
        let growth = |per_s: f64| format!("+{per_s:.1}/s");
        table.add_row([
            site.availability_zone.clone(),
            guard.to_owned(),
            growth(site.headroom_growth_per_s),
            growth(site.ramp_growth_per_s),
            growth(site.link_growth_per_s),
        ]);
    }
    table
}

fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}
