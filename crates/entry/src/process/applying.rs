//! Taking into force what is newly known.

use super::instance::Instance;
use super::rollouts;
use crate::border::Subject;
use crate::request::health_check;
use crate::version::InForce;
use std::rc::Rc;
use std::time::Instant;

/// Takes into force what is newly known of a subject.
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
            let back = instance.roster.borrow_mut().set_evacuations(evacuations, now);
            for (server, address) in back {
                health_check::spawn(instance, server, address);
            }
        }
        Subject::Rollouts => rollouts::set_orders(instance, &knowledge.rollouts.content),
        Subject::Policies => {
            let policies = &knowledge.policies.content;
            // They were checked when they were read; those of another release may differ.
            if let Err(error) = instance.roster.borrow_mut().set_policies(policies) {
                let number = policies.number;
                log::warn!(target: "policies", number, error:%; "not taken over");
            }
        }
    }
}
