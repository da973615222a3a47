//! The session's parameters: those of the proxy, and startup options.

use cardamomhold_wire::param;
use cardamomhold_wire::sqlstate;
use pgwire::messages::startup;

use crate::caller;

impl caller::Caller {
    pub(crate) fn apply_options(
        &mut self,
        startup: &startup::Startup,
    ) -> Result<(), sqlstate::BadInput> {
        for (name, value) in &startup.parameters {
            if name.starts_with(param::PREFIX) {
                self.set_param(name, Some(value))?;
            }
        }
        let options = startup
            .parameters
            .get("options")
            .map(String::as_str)
            .unwrap_or_default();
        for (name, value) in param::split_options(options) {
            if name.starts_with(param::PREFIX) {
                self.set_param(&name, Some(&value))?;
                continue;
            }
            if !is_setting_name(&name) {
                return Err(sqlstate::BadInput::UnknownParameter(name));
            }
            let quoted = value.replace('\'', "''");
            self.add_setting(&name, &format!("SET {name} = '{quoted}'"))?;
        }
        Ok(())
    }

    fn add_setting(&mut self, name: &str, text: &str) -> Result<(), sqlstate::BadInput> {
        let result = self.session.set(name, text);
        result.map_err(|_| sqlstate::BadInput::SessionState("more session settings"))
    }

    pub(crate) fn set_param(
        &mut self,
        name: &str,
        value: Option<&str>,
    ) -> Result<(), sqlstate::BadInput> {
        match param::Param::parse(name, value, &self.context.secret)? {
            param::Param::Rank(rank) => self.session.rank = rank.unwrap_or_default(),
            param::Param::ReadKind(None) => self.session.read_kind = None,
            param::Param::ReadKind(Some(kind)) => {
                if self.context.config.borrow().read_rule(&kind).is_none() {
                    let problem = "no such kind of read".to_owned();
                    return Err(sqlstate::BadInput::Parameter {
                        name: name.to_owned(),
                        problem,
                    });
                }
                self.session.read_kind = Some(kind);
            }
            param::Param::RequestKey(Some(_)) if self.transaction.is_some() => {
                return Err(sqlstate::BadInput::KeyedControl);
            }
            param::Param::RequestKey(key) => self.session.request_key = key,
            param::Param::Deadline(deadline) => self.session.deadline = deadline,
            param::Param::Token(token) => {
                let merged = self.session.token.merge(&token);
                merged.map_err(|error| sqlstate::BadInput::Parameter {
                    name: name.to_owned(),
                    problem: error.to_string(),
                })?;
            }
        }
        Ok(())
    }

    pub(crate) fn show(&self, name: &str) -> Result<String, sqlstate::BadInput> {
        let session = &self.session;
        Ok(match name.strip_prefix(param::PREFIX) {
            Some("session_token") => session.token.encode(&self.context.secret),
            Some("rank") => session.rank.to_string(),
            Some("read_kind") => session
                .read_kind
                .as_ref()
                .map(|k| k.to_string())
                .unwrap_or_default(),
            Some("request_key") => session
                .request_key
                .map(|k| k.to_string())
                .unwrap_or_default(),
            Some("deadline_ms") => session
                .deadline
                .map(|d| d.as_millis().to_string())
                .unwrap_or_default(),
            _ => return Err(sqlstate::BadInput::UnknownParameter(name.to_owned())),
        })
    }
}

fn is_setting_name(name: &str) -> bool {
    let is_part = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    !name.is_empty() && name.chars().all(is_part)
}
