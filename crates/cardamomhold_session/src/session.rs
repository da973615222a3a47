//! State of one caller's session: its declarations, settings and token.

use std::time;

use cardamomhold_core::key;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_core::token;

/// Maximum number of settings in a session, which are set again on each connection.
pub const MAX_SETTINGS: usize = 32;

/// Name that stands for all settings in RESET.
const ALL: &str = "all";

/// State of a session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    /// Rank of the statements; the default rank when the caller declares none.
    pub rank: rank::Rank,
    /// Declared kind of read; every statement is a read while it is set.
    pub read_kind: Option<name::KindName>,
    /// Idempotency key of the next transaction.
    pub request_key: Option<key::RequestKey>,
    /// Deadline of each statement, from its arrival.
    pub deadline: Option<time::Duration>,
    /// Positions that the session's reads must include.
    pub token: token::SessionToken,
    /// Key of the last request whose outcome is unknown, and the reason.
    in_doubt: Option<(key::RequestKey, outcome::Doubt)>,
    settings: Vec<Setting>,
    staged: Vec<Change>,
}

/// A change of a setting whose transaction has not ended yet.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Change {
    Set(Setting),
    Reset(String),
}

/// An endpoint setting of the session, with the statement that sets it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Setting {
    name: String,
    statement: String,
}

/// Error when a session would have more than [`MAX_SETTINGS`] settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManySettings;

impl Session {
    /// Reason why the outcome of an earlier request with the current key is unknown.
    pub fn doubt(&self) -> Option<outcome::Doubt> {
        let (key, doubt) = self.in_doubt?;
        (self.request_key == Some(key)).then_some(doubt)
    }

    /// Records that the outcome of the request with the current key is unknown.
    pub fn set_in_doubt(&mut self, doubt: outcome::Doubt) {
        self.in_doubt = self.request_key.map(|key| (key, doubt));
    }

    /// Clears the request key and its doubt after the transaction has ended.
    pub fn end_request(&mut self) {
        self.request_key = None;
        self.in_doubt = None;
    }

    /// Stores the statement of a setting, which is run again on each connection.
    ///
    /// # Errors
    /// [`TooManySettings`] when the setting is new and the session has [`MAX_SETTINGS`] already.
    pub fn set(&mut self, name: &str, statement: &str) -> Result<(), TooManySettings> {
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

    /// Removes a setting, or all of them if `name` is `all`; connections use their default.
    pub fn reset(&mut self, name: &str) {
        self.settings.retain(|s| s.name != name && name != ALL);
    }

    /// Stages a change that takes effect when its transaction commits; without a statement the
    /// setting is reset.
    pub fn stage(&mut self, name: &str, statement: Option<&str>) {
        let name = name.to_owned();
        self.staged.push(match statement {
            Some(statement) => Change::Set(Setting {
                name,
                statement: statement.to_owned(),
            }),
            None => Change::Reset(name),
        });
    }

    /// Ends the transaction of the staged changes: applies them if it `committed`, else
    /// discards them.
    ///
    /// # Errors
    /// [`TooManySettings`] when some of them exceed [`MAX_SETTINGS`].
    pub fn end_transaction(&mut self, committed: bool) -> Result<(), TooManySettings> {
        let mut result = Ok(());
        for change in std::mem::take(&mut self.staged) {
            if !committed {
                continue;
            }
            match change {
                Change::Set(setting) => {
                    result = result.and(self.set(&setting.name, &setting.statement));
                }
                Change::Reset(name) => self.reset(&name),
            }
        }
        result
    }

    /// Bytes of the settings, staged ones included.
    pub fn setting_bytes(&self) -> usize {
        let staged = self.staged.iter().map(|change| match change {
            Change::Set(setting) => setting.name.len() + setting.statement.len(),
            Change::Reset(name) => name.len(),
        });
        let settings = self.settings.iter();
        let settings = settings.map(|s| s.name.len() + s.statement.len());
        settings.chain(staged).sum()
    }

    /// Iterates over the statements that apply the session's settings to a connection.
    pub fn setup_statements(&self) -> impl Iterator<Item = &str> {
        self.settings.iter().map(|s| s.statement.as_str())
    }
}
