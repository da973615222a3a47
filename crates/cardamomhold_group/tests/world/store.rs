//! The simulated platform: one object with conditional updates.

use cardamomhold_group::leadership;

#[derive(Debug, Clone)]
pub struct Store {
    pub leadership: leadership::Leadership,
    pub version: u64,
    pub is_down: bool,
    pub lost_answers: u32,
}

/// Answer to a call, as its sender receives it.
pub enum Answer {
    Object(leadership::Leadership, u64),
    Lost,
}

impl Store {
    pub fn read(&self) -> Answer {
        if self.is_down {
            return Answer::Lost;
        }
        Answer::Object(self.leadership.clone(), self.version)
    }

    pub fn write(&mut self, leadership: &leadership::Leadership, expected: u64) -> Answer {
        if self.is_down {
            return Answer::Lost;
        }
        if expected == self.version {
            assert!(
                leadership.term >= self.leadership.term,
                "the term must not decrease"
            );
            self.leadership = leadership.clone();
            self.version += 1;
            if self.lost_answers > 0 {
                self.lost_answers -= 1;
                return Answer::Lost;
            }
        }
        self.read()
    }
}
