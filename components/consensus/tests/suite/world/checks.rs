//! Checks of the actions of the simulated servers.

use bytes::Bytes;
use consensus::ids::Term;
use consensus::{Entry, Event, Member, Payload, Position};

use super::World;

impl World {
    pub(super) fn record_event(&mut self, name: &str, event: Event) {
        match &event {
            Event::RepairBegan(_, spare) => {
                let committed = self.committed();
                self.repairs.insert(spare.clone(), committed);
            }
            Event::RepairDone(_, spare, _) => {
                let needed = self.repairs.get(spare).copied().unwrap_or(0);
                // A spare whose disk was emptied since is replaced by another repair.
                let server = self.servers.get(&spare.node);
                let server = server.filter(|server| server.me == *spare);
                if let Some(held) = server.map(|server| server.disk.end())
                    && held < needed
                {
                    let violation = format!(
                        "repair is done, but {spare} holds entries up to {held} of {needed}"
                    );
                    self.violations.push(violation);
                }
            }
            _ => {}
        }
        self.events.push((name.into(), event));
    }

    pub(super) fn apply(&mut self, name: &str, entry: Entry) {
        let server = self.servers.get_mut(name).unwrap();
        let position = entry.position();
        if position.index != server.state.index + 1 {
            let at = server.state.index;
            self.violations
                .push(format!("{name} applies {} after {at}", position.index));
            return;
        }
        let bytes = match &entry.payload {
            Payload::Command(command) => command.clone(),
            _ => Bytes::new(),
        };
        server.state.apply(position, &bytes);
        let checksum = server.state.checksum;
        if server
            .proposals
            .remove(&(position.index, position.term))
            .is_some()
        {
            self.acknowledged = self.acknowledged.max(position.index);
        }
        match self.committed.get(&position.index) {
            None if self.lost.contains(&(position.index, position.term)) => {
                let violation = format!("{position:?} was reported as lost and is committed");
                self.violations.push(violation);
            }
            None => {
                self.committed.insert(position.index, (entry, checksum));
            }
            Some((known, state)) if *known != entry || *state != checksum => {
                let violation = format!("{name} applies {entry:?} where {known:?} was committed");
                self.violations.push(violation);
            }
            Some(_) => {}
        }
    }

    pub(super) fn check_leader(&mut self, term: Term, me: Member) {
        let known = self.leaders.entry(term).or_insert_with(|| me.clone());
        if *known != me {
            let violation = format!("{known} and {me} lead in term {term}");
            self.violations.push(violation);
        }
    }

    pub(super) fn check_leases(&mut self) {
        let holders: Vec<String> = self
            .servers
            .values()
            .filter(|server| self.has_lease(server))
            .map(|server| server.me.to_string())
            .collect();
        if holders.len() > 1 && !self.has_jumped {
            self.violations
                .push(format!("{holders:?} hold a lease at {:?}", self.now));
        }
    }

    pub(super) fn check_lost(&mut self, position: Position) {
        let is_committed = self
            .committed
            .get(&position.index)
            .is_some_and(|(entry, _)| entry.position() == position);
        if is_committed {
            self.violations.push(format!(
                "{position:?} is committed and was reported as lost"
            ));
        }
        self.lost.insert((position.index, position.term));
    }

    pub(super) fn check_read(&mut self, name: &str, id: u64, passed: bool) {
        let server = self.servers.get_mut(name).unwrap();
        let Some((needed, end)) = server.reads.get_mut(&id) else {
            return;
        };
        *end = Some(passed);
        if passed && server.state.index < *needed {
            let violation = format!(
                "{name} passes a read barrier at entry {}, but {needed} was acknowledged",
                server.state.index
            );
            self.violations.push(violation);
        }
    }
}
