//! Checks the guarantees: no acknowledged write is lost, and no write that a replaced primary
//! accepted is acknowledged.

use std::collections;

use cardamomhold_core::position;

use crate::world::member;

#[derive(Debug, Default)]
pub struct Oracle {
    /// Writes accepted by a primary, with its term and whether a majority was fenced above it.
    writes: collections::BTreeMap<u64, (position::Term, bool)>,
    pub acknowledged: collections::BTreeSet<u64>,
    promoted: collections::BTreeMap<position::Term, (usize, Vec<member::Entry>)>,
}

impl Oracle {
    pub fn record_write(&mut self, write: u64, term: position::Term, is_replaced: bool) {
        self.writes.insert(write, (term, is_replaced));
    }

    pub fn record_acknowledgement(&mut self, write: u64) -> Result<(), String> {
        let (term, is_replaced) = self.writes[&write];
        if is_replaced {
            return Err(format!(
                "write {write} of replaced term {term} acknowledged"
            ));
        }
        for (later, (_, log)) in self.promoted.range(term.next()..) {
            if !log.iter().any(|(_, id)| *id == write) {
                return Err(format!(
                    "write {write} acknowledged, but not in the log of term {later}"
                ));
            }
        }
        self.acknowledged.insert(write);
        Ok(())
    }

    pub fn record_promotion(
        &mut self,
        term: position::Term,
        member: usize,
        log: &[member::Entry],
    ) -> Result<(), String> {
        if let Some((known_member, _)) = self.promoted.get(&term) {
            if *known_member != member {
                return Err(format!(
                    "term {term} has primaries {known_member} and {member}"
                ));
            }
            return Ok(());
        }
        self.promoted.insert(term, (member, log.to_vec()));
        self.check_log(term, log)
    }

    pub fn check_log(&self, term: position::Term, log: &[member::Entry]) -> Result<(), String> {
        for write in &self.acknowledged {
            if !log.iter().any(|(_, id)| id == write) {
                return Err(format!("write {write} lost by the primary of term {term}"));
            }
        }
        Ok(())
    }

    pub fn changes(&self) -> usize {
        self.promoted.len()
    }
}
