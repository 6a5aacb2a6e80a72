//! Injects the faults of an experiment into the test bed.

use crate::LabError;
use crate::dialer::Partition;
use crate::experiment::{Fault, ServerChoice, TimedFault};
use crate::mock_backend_server::MockBackendServer;
use crate::operator;
use crate::testbed::{Backend, DrainPeriod, Instance, PlannedStop, Testbed};
use crate::zone_platform::PLATFORM;
use ::platform::{InstanceEntry, InstanceState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Duration of a drain without an end; longer than any run.
const UNLIMITED: Duration = Duration::from_secs(24 * 60 * 60);

impl Testbed {
    /// Waits until the start time of a fault, injects it and reverts it after its duration.
    pub(crate) async fn inject_fault(
        self: Arc<Self>,
        timed_fault: TimedFault,
        start: Instant,
    ) -> Result<(), LabError> {
        tokio::time::sleep_until(start + Duration::from_secs_f64(timed_fault.at_s)).await;
        let duration = Duration::from_secs_f64(timed_fault.for_s);
        match timed_fault.fault {
            Fault::PlatformOutage => self.with_platform_faults(duration, |f| f.outage = true).await,
            Fault::PlatformSlow { slow_ms } => {
                self.with_platform_faults(duration, |f| f.slow_ms = slow_ms).await;
            }
            Fault::LoseWriteAnswers => {
                self.with_platform_faults(duration, |f| f.lose_write_answers = true).await;
            }
            Fault::StopInstance { availability_zone } => {
                let Some(instance) = self.take_instance(&availability_zone) else { return Ok(()) };
                self.replace_instance(instance, duration, true).await?;
            }
            Fault::KillInstance { availability_zone } => {
                let Some(instance) = self.take_instance(&availability_zone) else { return Ok(()) };
                self.replace_instance(instance, duration, false).await?;
            }
            Fault::ReplaceInstances => self.replace_all_instances(duration).await?,
            Fault::DrainBackendServer(choice) => self.drain_backend(&choice, duration).await?,
            Fault::KillBackendServer(choice) => {
                let index = self.backend_index(&choice)?;
                self.kill_backends(vec![index], duration).await?;
            }
            Fault::Cut { between: [a, b], how } => {
                self.network.set_partition(&a, &b, Some(how));
                tokio::time::sleep(duration).await;
                self.network.set_partition(&a, &b, None);
            }
            Fault::LoseZone { availability_zone } => {
                self.crash_zone(&availability_zone, duration).await?;
            }
            Fault::ChangeConfiguration { path, value } => {
                operator::change_configuration(&self, &path, value).await?;
            }
            Fault::SwapPolicy { arm, policy } => {
                let path = ["arm".to_owned(), arm, "policy".to_owned()];
                operator::change_configuration(&self, &path, policy.into()).await?;
            }
        }
        Ok(())
    }

    async fn with_platform_faults(
        &self,
        duration: Duration,
        set: impl Fn(&mut crate::mock_platform::PlatformFaults),
    ) {
        let healthy = self.platform.faults();
        let mut failing = healthy;
        set(&mut failing);
        self.platform.set_faults(failing);
        tokio::time::sleep(duration).await;
        self.platform.set_faults(healthy);
    }

    /// Removes the first instance of an availability zone from the running ones.
    fn take_instance(&self, zone: &str) -> Option<Instance> {
        let mut instances = self.instances.lock();
        let position = instances.iter().position(|instance| &*instance.zone == zone)?;
        Some(instances.remove(position))
    }

    /// Stops or kills an instance and starts a new one in its zone after `restart_delay`.
    async fn replace_instance(
        self: &Arc<Self>,
        instance: Instance,
        restart_delay: Duration,
        planned: bool,
    ) -> Result<(), LabError> {
        let zone = instance.zone.clone();
        if planned {
            self.stop_instance(instance).await;
        } else {
            instance.daemon.kill();
            self.update_instance_list(move |entries| {
                entries.retain(|entry| entry.name != instance.name)
            });
        }
        tokio::time::sleep(restart_delay).await;
        let entry = self.start_instance(&zone).await?;
        self.update_instance_list(|entries| entries.push(entry));
        Ok(())
    }

    async fn stop_instance(self: &Arc<Self>, instance: Instance) {
        let Instance { name, daemon, .. } = instance;
        let leaving = name.clone();
        self.update_instance_list(move |entries| {
            let is_leaving = |entry: &&mut InstanceEntry| entry.name == leaving;
            entries
                .iter_mut()
                .filter(is_leaving)
                .for_each(|entry| entry.state = InstanceState::Leaving);
        });
        let address = daemon.caller_address();
        let started_at = Instant::now();
        daemon.stop().await;
        let stop =
            PlannedStop { instance: name.clone(), address, started_at, ended_at: Instant::now() };
        self.event_log.lock().stops.push(stop);
        self.update_instance_list(move |entries| entries.retain(|entry| entry.name != name));
    }

    async fn replace_all_instances(self: &Arc<Self>, pause: Duration) -> Result<(), LabError> {
        let names: Vec<Arc<str>> =
            self.instances.lock().iter().map(|instance| instance.name.clone()).collect();
        for name in names {
            let instance = {
                let mut instances = self.instances.lock();
                let position = instances.iter().position(|instance| instance.name == name);
                position.map(|position| instances.remove(position))
            };
            if let Some(instance) = instance {
                self.replace_instance(instance, Duration::ZERO, true).await?;
                tokio::time::sleep(pause).await;
            }
        }
        Ok(())
    }

    /// Changes the platform's list of instances after the configured lag.
    fn update_instance_list(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Vec<InstanceEntry>) + Send + 'static,
    ) {
        let testbed = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(testbed.instance_list_lag).await;
            testbed.platform.change_entry_instances(change);
        });
    }

    fn backend_index(&self, choice: &ServerChoice) -> Result<usize, LabError> {
        let is_selected = |(_, backend): &(usize, &Backend)| {
            *backend.service == *choice.service && *backend.zone == *choice.availability_zone
        };
        let backends = self.backends.lock();
        let mut selected = backends.iter().enumerate().filter(is_selected);
        let name = || format!("{} in {}", choice.service, choice.availability_zone);
        match selected.nth(choice.position) {
            Some((index, _)) => Ok(index),
            None => Err(LabError::UnknownName { field: "fault", name: name() }),
        }
    }

    async fn drain_backend(
        &self,
        choice: &ServerChoice,
        duration: Duration,
    ) -> Result<(), LabError> {
        let index = self.backend_index(choice)?;
        let server = self.backends.lock()[index].address;
        let started_at = Instant::now();
        let ended_at = started_at + if duration.is_zero() { UNLIMITED } else { duration };
        self.event_log.lock().drain_periods.push(DrainPeriod { server, started_at, ended_at });
        self.set_draining(index, true);
        tokio::time::sleep(self.instance_list_lag).await;
        let mut leaving = self.platform.leaving_servers();
        leaving.push(server);
        self.platform.set_leaving_backend_servers(leaving);
        if duration.is_zero() {
            return Ok(());
        }
        tokio::time::sleep_until(ended_at).await;
        self.set_draining(index, false);
        let mut leaving = self.platform.leaving_servers();
        leaving.retain(|other| *other != server);
        self.platform.set_leaving_backend_servers(leaving);
        Ok(())
    }

    fn set_draining(&self, index: usize, draining: bool) {
        if let Some(backend) = &self.backends.lock()[index].running {
            backend.update_behavior(|behavior| behavior.draining = draining);
        }
    }

    async fn kill_backends(&self, indexes: Vec<usize>, duration: Duration) -> Result<(), LabError> {
        let killed: Vec<Option<MockBackendServer>> = {
            let mut backends = self.backends.lock();
            indexes.iter().map(|index| backends[*index].running.take()).collect()
        };
        drop(killed);
        if duration.is_zero() {
            return Ok(());
        }
        tokio::time::sleep(duration).await;
        for index in indexes {
            let mut backend = self.backends.lock()[index].stopped_copy();
            backend.start(&self.record).await?;
            self.backends.lock()[index] = backend;
        }
        Ok(())
    }

    async fn crash_zone(self: &Arc<Self>, zone: &str, duration: Duration) -> Result<(), LabError> {
        let zones = self.configuration.availability_zones.iter();
        let others: Vec<Arc<str>> = zones
            .map(|other| other.name.clone())
            .filter(|other| &**other != zone)
            .chain([PLATFORM.into()])
            .collect();
        others
            .iter()
            .for_each(|other| self.network.set_partition(zone, other, Some(Partition::Silent)));
        let mut crashed = Vec::new();
        while let Some(instance) = self.take_instance(zone) {
            crashed.push(instance.name.clone());
            instance.daemon.kill();
        }
        let crashed_count = crashed.len();
        self.update_instance_list(move |entries| {
            entries.retain(|entry| !crashed.contains(&entry.name))
        });
        let index_in_zone =
            |(index, backend): (usize, &Backend)| (&*backend.zone == zone).then_some(index);
        let backends = self.backends.lock().iter().enumerate().filter_map(index_in_zone).collect();
        self.kill_backends(backends, duration).await?;
        others.iter().for_each(|other| self.network.set_partition(zone, other, None));
        for _ in 0..crashed_count {
            let entry = self.start_instance(&zone.into()).await?;
            self.update_instance_list(|entries| entries.push(entry));
        }
        Ok(())
    }
}
