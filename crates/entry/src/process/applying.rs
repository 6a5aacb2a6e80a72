//! Puts changes of the deployment's state into force.

use super::instance::Instance;
use super::rollouts;
use crate::border::Subject;
use crate::request::health;
use crate::version::InForce;
use std::rc::Rc;
use std::time::Instant;

/// Puts the present state of a subject into force after a change.
pub(super) fn apply(instance: &Rc<Instance>, subject: Subject, source: &str) {
    let now = Instant::now();
    let knowledge = instance.knowledge.borrow().clone();
    let revision = knowledge.revisions()[subject.index()];
    log::info!(
        target: "knowledge",
        subject = subject.as_str(), source, revision,
        version = knowledge.configuration.content.version;
        "changed"
    );
    match subject {
        Subject::Configuration => {
            let deployment = &knowledge.configuration.content;
            *instance.in_force.borrow_mut() = Rc::new(InForce::new(deployment));
            instance.roster.borrow_mut().set_deployment(deployment);
            instance.quotas.set_limits(deployment, &instance.settings.region, instance.clock.now());
        }
        Subject::BackendServers => {
            instance.roster.borrow_mut().set_servers(&knowledge.servers.content, now);
        }
        Subject::Evacuations => {
            let evacuations = &knowledge.evacuations.content;
            let returned = instance.roster.borrow_mut().set_evacuations(evacuations, now);
            for (server, address) in returned {
                health::spawn(instance, server, address);
            }
        }
        Subject::Rollouts => rollouts::set_orders(instance, &knowledge.rollouts.content),
        Subject::Policies => {
            let policies = &knowledge.policies.content;
            // They were validated when they were read, but an instance of another release may have
            // validated them differently.
            if let Err(error) = instance.roster.borrow_mut().set_policies(policies) {
                let number = policies.number;
                log::warn!(target: "policies", number, error:%; "policies not applied");
            }
        }
    }
}
