//! Bringing about the faults of an experiment.

use crate::LabError;
use crate::dialer::Cut;
use crate::experiment::{Fault, ServerChoice, TimedFault};
use crate::mock_backend_server::MockBackendServer;
use crate::operator;
use crate::testbed::{Backend, Instance, Laboratory, Leaving, Stop};
use crate::zone_platform::PLATFORM;
use ::platform::{InstanceEntry, InstanceState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long something lasts that the experiment gives no end.
const FOR_EVER: Duration = Duration::from_secs(24 * 60 * 60);

impl Laboratory {
    /// Waits for a fault's time, begins it and ends it.
    pub(crate) async fn inflict(
        self: Arc<Self>,
        timed: TimedFault,
        start: Instant,
    ) -> Result<(), LabError> {
        tokio::time::sleep_until(start + Duration::from_secs_f64(timed.at_s)).await;
        let lasting = Duration::from_secs_f64(timed.for_s);
        match timed.fault {
            Fault::PlatformOutage => self.fail_platform(lasting, |s| s.outage = true).await,
            Fault::PlatformSlow { slow_ms } => {
                self.fail_platform(lasting, |s| s.slow_ms = slow_ms).await;
            }
            Fault::LoseWriteAnswers => {
                self.fail_platform(lasting, |s| s.lose_write_answers = true).await;
            }
            Fault::StopInstance { availability_zone } => {
                let Some(instance) = self.take_instance(&availability_zone) else { return Ok(()) };
                self.replace(instance, lasting, true).await?;
            }
            Fault::KillInstance { availability_zone } => {
                let Some(instance) = self.take_instance(&availability_zone) else { return Ok(()) };
                self.replace(instance, lasting, false).await?;
            }
            Fault::ReplaceInstances => self.replace_all(lasting).await?,
            Fault::DrainBackendServer(choice) => self.drain_backend(&choice, lasting).await?,
            Fault::KillBackendServer(choice) => {
                let index = self.find_backend(&choice)?;
                self.kill_backends(vec![index], lasting).await?;
            }
            Fault::Cut { between: [a, b], how } => {
                self.network.set_cut(&a, &b, Some(how));
                tokio::time::sleep(lasting).await;
                self.network.set_cut(&a, &b, None);
            }
            Fault::LoseZone { availability_zone } => {
                self.lose_zone(&availability_zone, lasting).await?;
            }
            Fault::ChangeConfiguration { path, value } => {
                operator::change(&self, &path, value).await?;
            }
            Fault::SwapPolicy { arm, policy } => {
                let path = ["arm".to_owned(), arm, "policy".to_owned()];
                operator::change(&self, &path, policy.into()).await?;
            }
        }
        Ok(())
    }

    async fn fail_platform(
        &self,
        lasting: Duration,
        fail: impl Fn(&mut crate::mock_platform::PlatformFaults),
    ) {
        let healthy = self.platform.switches();
        let mut failing = healthy;
        fail(&mut failing);
        self.platform.set_faults(failing);
        tokio::time::sleep(lasting).await;
        self.platform.set_faults(healthy);
    }

    /// Takes the first instance of an availability zone off the list of running ones.
    fn take_instance(&self, zone: &str) -> Option<Instance> {
        let mut instances = self.instances.lock();
        let position = instances.iter().position(|instance| &*instance.zone == zone)?;
        Some(instances.remove(position))
    }

    /// Stops or kills an instance and starts another one in its place `after` its end.
    async fn replace(
        self: &Arc<Self>,
        instance: Instance,
        after: Duration,
        planned: bool,
    ) -> Result<(), LabError> {
        let zone = instance.zone.clone();
        if planned {
            self.stop_instance(instance).await;
        } else {
            instance.daemon.kill();
            self.list(move |entries| entries.retain(|entry| entry.name != instance.name));
        }
        tokio::time::sleep(after).await;
        let entry = self.start_instance(&zone).await?;
        self.list(|entries| entries.push(entry));
        Ok(())
    }

    async fn stop_instance(self: &Arc<Self>, instance: Instance) {
        let Instance { name, daemon, .. } = instance;
        let leaving = name.clone();
        self.list(move |entries| {
            let is_leaving = |entry: &&mut InstanceEntry| entry.name == leaving;
            entries.iter_mut().filter(is_leaving).for_each(|e| e.state = InstanceState::Leaving);
        });
        let address = daemon.caller_address();
        let began = Instant::now();
        daemon.stop().await;
        let stop = Stop { instance: name.clone(), address, began, ended: Instant::now() };
        self.journal.lock().stops.push(stop);
        self.list(move |entries| entries.retain(|entry| entry.name != name));
    }

    async fn replace_all(self: &Arc<Self>, pause: Duration) -> Result<(), LabError> {
        let names: Vec<Arc<str>> =
            self.instances.lock().iter().map(|instance| instance.name.clone()).collect();
        for name in names {
            let instance = {
                let mut instances = self.instances.lock();
                let position = instances.iter().position(|instance| instance.name == name);
                position.map(|position| instances.remove(position))
            };
            if let Some(instance) = instance {
                self.replace(instance, Duration::ZERO, true).await?;
                tokio::time::sleep(pause).await;
            }
        }
        Ok(())
    }

    /// Changes the platform's list of instances once its lag has passed.
    fn list(self: &Arc<Self>, change: impl FnOnce(&mut Vec<InstanceEntry>) + Send + 'static) {
        let laboratory = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(laboratory.list_lag).await;
            laboratory.platform.change_entry_instances(change);
        });
    }

    fn find_backend(&self, choice: &ServerChoice) -> Result<usize, LabError> {
        let is_chosen = |(_, backend): &(usize, &Backend)| {
            *backend.service == *choice.service && *backend.zone == *choice.availability_zone
        };
        let backends = self.backends.lock();
        let mut chosen = backends.iter().enumerate().filter(is_chosen);
        let name = || format!("{} in {}", choice.service, choice.availability_zone);
        match chosen.nth(choice.position) {
            Some((index, _)) => Ok(index),
            None => Err(LabError::UnknownName { field: "fault", name: name() }),
        }
    }

    async fn drain_backend(
        &self,
        choice: &ServerChoice,
        lasting: Duration,
    ) -> Result<(), LabError> {
        let index = self.find_backend(choice)?;
        let server = self.backends.lock()[index].address;
        let began = Instant::now();
        let ended = began + if lasting.is_zero() { FOR_EVER } else { lasting };
        self.journal.lock().leaving.push(Leaving { server, began, ended });
        self.set_draining(index, true);
        tokio::time::sleep(self.list_lag).await;
        let mut leaving = self.platform.leaving();
        leaving.push(server);
        self.platform.set_leaving_backend_servers(leaving);
        if lasting.is_zero() {
            return Ok(());
        }
        tokio::time::sleep_until(ended).await;
        self.set_draining(index, false);
        let mut leaving = self.platform.leaving();
        leaving.retain(|other| *other != server);
        self.platform.set_leaving_backend_servers(leaving);
        Ok(())
    }

    fn set_draining(&self, index: usize, draining: bool) {
        if let Some(backend) = &self.backends.lock()[index].running {
            backend.switch(|switches| switches.draining = draining);
        }
    }

    async fn kill_backends(&self, indexes: Vec<usize>, lasting: Duration) -> Result<(), LabError> {
        let killed: Vec<Option<MockBackendServer>> = {
            let mut backends = self.backends.lock();
            indexes.iter().map(|index| backends[*index].running.take()).collect()
        };
        drop(killed);
        if lasting.is_zero() {
            return Ok(());
        }
        tokio::time::sleep(lasting).await;
        for index in indexes {
            let mut backend = self.backends.lock()[index].stopped();
            backend.start(&self.record).await?;
            self.backends.lock()[index] = backend;
        }
        Ok(())
    }

    async fn lose_zone(self: &Arc<Self>, zone: &str, lasting: Duration) -> Result<(), LabError> {
        let zones = self.configuration.availability_zones.iter();
        let others: Vec<Arc<str>> = zones
            .map(|other| other.name.clone())
            .filter(|other| &**other != zone)
            .chain([PLATFORM.into()])
            .collect();
        others.iter().for_each(|other| self.network.set_cut(zone, other, Some(Cut::Silent)));
        let mut lost = Vec::new();
        while let Some(instance) = self.take_instance(zone) {
            lost.push(instance.name.clone());
            instance.daemon.kill();
        }
        let count = lost.len();
        self.list(move |entries| entries.retain(|entry| !lost.contains(&entry.name)));
        let in_zone =
            |(index, backend): (usize, &Backend)| (&*backend.zone == zone).then_some(index);
        let backends = self.backends.lock().iter().enumerate().filter_map(in_zone).collect();
        self.kill_backends(backends, lasting).await?;
        others.iter().for_each(|other| self.network.set_cut(zone, other, None));
        for _ in 0..count {
            let entry = self.start_instance(&zone.into()).await?;
            self.list(|entries| entries.push(entry));
        }
        Ok(())
    }
}
