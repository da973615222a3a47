//! The model world's platform: one object with conditional updates.

use cardamomhold_group::reign;

#[derive(Debug, Clone)]
pub struct Store {
    pub reign: reign::Reign,
    pub version: u64,
    pub is_down: bool,
    pub lost_answers: u32,
}

/// What the caller sees.
pub enum Answer {
    Object(reign::Reign, u64),
    Lost,
}

impl Store {
    pub fn read(&self) -> Answer {
        if self.is_down {
            return Answer::Lost;
        }
        Answer::Object(self.reign.clone(), self.version)
    }

    pub fn write(&mut self, reign: &reign::Reign, expected: u64) -> Answer {
        if self.is_down {
            return Answer::Lost;
        }
        if expected == self.version {
            assert!(reign.term >= self.reign.term, "the term never falls");
            self.reign = reign.clone();
            self.version += 1;
            if self.lost_answers > 0 {
                self.lost_answers -= 1;
                return Answer::Lost;
            }
        }
        self.read()
    }
}
