//! One simulated instance: its state, and how it handles each message.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use steering::shares::timing::PROMISE_DURATION;
use steering::shares::{
    AllocationRequest, Allocator, Claim, Grant, Permit, Plan, Reclaimer, Resource, Session,
    SessionRecord, SessionWrite, Shares, SlotTable, WriteId,
};
use steering::{Incarnation, Time};

#[derive(Clone, Debug)]
pub(crate) enum Message {
    ReadSlots {
        from: u64,
        sent_at: Time,
    },
    SlotsRead {
        to: u64,
        sent_at: Time,
        version: Option<u64>,
        table: SlotTable,
    },
    WriteSlots {
        from: u64,
        sent_at: Time,
        table: SlotTable,
        expected: Option<u64>,
        claim: Option<Claim>,
    },
    SlotsWritten {
        to: u64,
        sent_at: Time,
        table: SlotTable,
        claim: Option<Claim>,
    },
    ReadSession {
        from: u64,
    },
    SessionRead {
        to: u64,
        version: Option<u64>,
        record: Option<SessionRecord>,
    },
    WriteSession {
        from: u64,
        write: SessionWrite,
    },
    SessionWritten {
        to: u64,
        write: SessionWrite,
        result: Result<u64, ()>,
    },
    AllocationRequest {
        from: u64,
        to: u64,
        sent_at: Time,
        request: AllocationRequest,
    },
    Grant {
        to: u64,
        sent_at: Time,
        epoch: u64,
        grant: Option<Grant>,
    },
    Release {
        from: u64,
        to: u64,
        epoch: u64,
        number: u64,
    },
    PromiseRequest {
        from: u64,
        to: u64,
        sent_at: Time,
        epoch: u64,
    },
    PromiseReply {
        to: u64,
        elector: Arc<str>,
        sent_at: Time,
        epoch: u64,
    },
}

pub(crate) struct Node {
    pub(crate) incarnation: Incarnation,
    pub(crate) name: Arc<str>,
    /// Clock reading in nanoseconds at the start of the simulation, and clock rate in thousandths.
    pub(crate) clock: (u64, u64),
    pub(crate) shares: Shares,
    pub(crate) session: Session,
    pub(crate) allocator: Option<Allocator>,
    pub(crate) reclaimer: Reclaimer,
    pub(crate) contacts: HashMap<Incarnation, Time>,
    pub(crate) table: Option<SlotTable>,
    pub(crate) exchanges: Vec<(u64, Permit)>,
    pub(crate) writes: u64,
    pub(crate) paused: bool,
}

impl Node {
    pub(crate) fn now(&self, now_ns: u64) -> Time {
        local_time(self.clock, now_ns)
    }

    pub(crate) fn handle(
        &mut self,
        message: Message,
        now: Time,
        plan: &Plan,
        listed: &BTreeSet<Arc<str>>,
    ) -> Option<Message> {
        match message {
            Message::SlotsRead { sent_at, version, table, .. } => {
                self.on_slots_read(sent_at, version, table, now, listed)
            }
            Message::SlotsWritten { sent_at, table, claim, .. } => {
                if let Some(claim) = claim {
                    self.shares.set_slot(Some(claim.into_held_slot(now)));
                }
                self.shares.on_contact(sent_at);
                self.table = Some(table);
                None
            }
            Message::SessionRead { version, record, .. } => {
                self.session.on_read(now, version, record);
                self.shares.on_epoch(self.session.known_epoch());
                None
            }
            Message::SessionWritten { write, result, .. } => {
                self.on_session_written(&write, result, now);
                None
            }
            Message::AllocationRequest { from, sent_at, request, .. } => {
                self.session.on_epoch(request.known_epoch);
                let epoch = self.ensure_allocator(now)?;
                self.contacts.insert(Incarnation(from), now);
                let remainder = remainder(plan);
                let grant =
                    self.allocator.as_mut()?.grant(Incarnation(from), &request, &remainder, now);
                Some(Message::Grant { to: from, sent_at, epoch, grant })
            }
            Message::Grant { sent_at, epoch, grant, .. } => {
                self.session.on_epoch(epoch);
                match grant {
                    // The caps must also hold if the instance refuses the grant.
                    Some(grant) => {
                        let _ = self.shares.on_grant(&grant, sent_at, now);
                    }
                    None => self.shares.on_holder_reply(epoch, sent_at),
                }
                None
            }
            Message::Release { from, epoch, number, .. } => {
                self.allocator.as_mut()?.release(Incarnation(from), epoch, number, now);
                None
            }
            Message::PromiseRequest { from, sent_at, epoch, .. } => {
                self.session.promise(now, epoch, PROMISE_DURATION).then(|| Message::PromiseReply {
                    to: from,
                    elector: self.name.clone(),
                    sent_at,
                    epoch,
                })
            }
            Message::PromiseReply { elector, sent_at, epoch, .. } => {
                self.session.on_promise(&elector, epoch, sent_at, PROMISE_DURATION);
                None
            }
            _ => None,
        }
    }

    fn on_slots_read(
        &mut self,
        sent_at: Time,
        version: Option<u64>,
        mut table: SlotTable,
        now: Time,
        listed: &BTreeSet<Arc<str>>,
    ) -> Option<Message> {
        table.grow(4);
        let mut claim = None;
        let changed = match table.slot_of(self.incarnation) {
            Some((number, false)) => {
                self.shares.on_contact(sent_at);
                if self.shares.slot().is_none_or(|slot| slot.number != number) {
                    self.shares
                        .set_slot(Some(Claim { number, used_before: true }.into_held_slot(now)));
                }
                let Node { reclaimer, contacts, .. } = self;
                self.session.held_epoch(now).is_some()
                    && reclaimer.reclaim_slots(
                        &mut table,
                        now,
                        |name| listed.contains(name),
                        |owner| contacts.get(&owner).copied(),
                    )
            }
            Some((_, true)) => table.set_revoking(self.incarnation, false),
            None => {
                self.shares.set_slot(None);
                claim = table.claim(self.incarnation, &self.name);
                claim.is_some()
            }
        };
        if !changed {
            self.table = Some(table);
            return None;
        }
        self.writes += 1;
        table.write = WriteId { writer: self.incarnation.0, number: self.writes };
        Some(Message::WriteSlots {
            from: self.incarnation.0,
            sent_at,
            table,
            expected: version,
            claim,
        })
    }

    fn on_session_written(&mut self, write: &SessionWrite, result: Result<u64, ()>, now: Time) {
        match result {
            // A reply to an older write is ignored; only the last write is pending.
            _ if !self.session.is_pending(write) => {}
            Ok(version) => self.session.on_written(now, version),
            Err(()) => {}
        }
        self.shares.on_epoch(self.session.known_epoch());
    }

    /// Returns the epoch of the session if held, after creating an allocator for it.
    fn ensure_allocator(&mut self, now: Time) -> Option<u64> {
        let epoch = self.session.held_epoch(now)?;
        if self.allocator.as_ref().is_none_or(|allocator| allocator.epoch() != epoch) {
            self.allocator = Some(Allocator::new(epoch, now, self.session.is_first_epoch()));
            self.contacts.clear();
        }
        Some(epoch)
    }

    pub(crate) fn grant_self(&mut self, now: Time, plan: &Plan) -> bool {
        if self.ensure_allocator(now).is_none() {
            return false;
        }
        let request = self.shares.next_request(now);
        let allocator = self.allocator.as_mut();
        self.shares.on_contact(now);
        if let Some(grant) =
            allocator.and_then(|all| all.grant(self.incarnation, &request, &remainder(plan), now))
        {
            let _ = self.shares.on_grant(&grant, now, now);
        }
        true
    }
}

fn remainder(plan: &Plan) -> BTreeMap<Resource, u64> {
    plan.caps.iter().map(|(resource, cap)| (resource.clone(), cap.remainder())).collect()
}

pub(crate) fn local_time((offset, rate): (u64, u64), now_ns: u64) -> Time {
    Time::from_ns(offset + now_ns / 1_000 * rate)
}
