//! What one caller's session has declared and written.

use std::time;

use cardamomhold_core::key;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::token;

/// Most session settings that are carried from connection to connection.
pub const MAX_SETTINGS: usize = 32;

/// Name that RESET gives to every setting together.
const ALL: &str = "all";

/// A session's declarations.
#[derive(Debug, Clone, Default)]
pub struct Session {
    /// Rank of its statements; the default rank when none is given.
    pub rank: rank::Rank,
    /// Declared kind of read; every statement is a read while it is set.
    pub read_kind: Option<name::KindName>,
    /// Idempotency key of the next transaction.
    pub request_key: Option<key::RequestKey>,
    /// Deadline of each statement, counted from its arrival.
    pub deadline: Option<time::Duration>,
    /// What the session must see.
    pub token: token::SessionToken,
    in_doubt: Option<(key::RequestKey, outcome::Doubt)>,
    settings: Vec<Setting>,
    staged: Vec<Change>,
}

/// A change of a setting whose transaction has not ended yet.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Change {
    Keep(Setting),
    Forget(String),
}

/// A setting of the endpoint's own that the session carries along.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Setting {
    name: String,
    statement: String,
}

/// The session carries more than [`MAX_SETTINGS`] settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManySettings;

impl Session {
    /// Why the outcome of an earlier request with the present key is unknown.
    pub fn doubt(&self) -> Option<outcome::Doubt> {
        let (key, doubt) = self.in_doubt?;
        (self.request_key == Some(key)).then_some(doubt)
    }

    /// Takes note that the outcome of the request with the present key is unknown.
    pub fn leave_in_doubt(&mut self, doubt: outcome::Doubt) {
        self.in_doubt = self.request_key.map(|key| (key, doubt));
    }

    /// Ends the present key's transaction.
    pub fn end_request(&mut self) {
        self.request_key = None;
        self.in_doubt = None;
    }

    /// Keeps a setting's statement, to be run again on each connection.
    ///
    /// # Errors
    /// [`TooManySettings`] when a new name finds no room.
    pub fn keep(&mut self, name: &str, statement: &str) -> Result<(), TooManySettings> {
        if let Some(setting) = self.settings.iter_mut().find(|s| s.name == name) {
            statement.clone_into(&mut setting.statement);
            return Ok(());
        }
        if self.settings.len() >= MAX_SETTINGS {
            return Err(TooManySettings);
        }
        self.settings.push(Setting {
            name: name.to_owned(),
            statement: statement.to_owned(),
        });
        Ok(())
    }

    /// Forgets a setting, or `all` of them, so that connections keep their default.
    pub fn forget(&mut self, name: &str) {
        self.settings.retain(|s| s.name != name && name != ALL);
    }

    /// Takes a change that holds once its transaction commits; no statement resets.
    pub fn stage(&mut self, name: &str, statement: Option<&str>) {
        let name = name.to_owned();
        self.staged.push(match statement {
            Some(statement) => Change::Keep(Setting {
                name,
                statement: statement.to_owned(),
            }),
            None => Change::Forget(name),
        });
    }

    /// Ends the transaction of the staged changes.
    ///
    /// # Errors
    /// [`TooManySettings`] when not all of them find room.
    pub fn settle(&mut self, committed: bool) -> Result<(), TooManySettings> {
        let mut result = Ok(());
        for change in std::mem::take(&mut self.staged) {
            if !committed {
                continue;
            }
            match change {
                Change::Keep(setting) => {
                    result = result.and(self.keep(&setting.name, &setting.statement));
                }
                Change::Forget(name) => self.forget(&name),
            }
        }
        result
    }

    /// The statements that bring a fresh connection to the session's settings.
    pub fn setup(&self) -> impl Iterator<Item = &str> {
        self.settings.iter().map(|s| s.statement.as_str())
    }
}
