//! Puts changes of the deployment's state into force.

use super::instance::Instance;
use super::{reach, rollouts};
use crate::platform_api::Subject;
use crate::request::health_check;
use crate::version::ActiveConfiguration;
use std::rc::Rc;
use std::time::Instant;

/// Puts the present state of a subject into force after a change.
pub(super) fn activate(instance: &Rc<Instance>, subject: Subject, source: &str) {
    let now = Instant::now();
    let replica = instance.replica.borrow().clone();
    let revision = replica.revisions()[subject.index()];
    log::info!(
        target: "knowledge",
        subject = subject.as_str(), source, revision,
        version = replica.configuration.content.version;
        "changed"
    );
    match subject {
        Subject::Configuration => {
            let deployment = &replica.configuration.content;
            *instance.active_configuration.borrow_mut() =
                Rc::new(ActiveConfiguration::new(deployment));
            instance.roster.borrow_mut().set_deployment(deployment);
            instance.quotas.set_limits(deployment, &instance.settings.region, instance.clock.now());
        }
        Subject::BackendServers => {
            instance.roster.borrow_mut().set_servers(&replica.servers.content, now);
            reach::retain_listed(instance);
        }
        Subject::Evacuations => {
            let evacuations = &replica.evacuations.content;
            let returned = instance.roster.borrow_mut().set_evacuations(evacuations, now);
            for (server, address) in returned {
                health_check::spawn(instance, server, address);
            }
        }
        Subject::Rollouts => rollouts::set_orders(instance, &replica.rollouts.content),
        Subject::Policies => {
            let policies = &replica.policies.content;
            // They were validated when they were read, but an instance of another release may have
            // validated them differently.
            if let Err(error) = instance.roster.borrow_mut().set_policies(policies) {
                let number = policies.number;
                log::warn!(target: "policies", number, error:%; "policies not applied");
            }
        }
    }
}
