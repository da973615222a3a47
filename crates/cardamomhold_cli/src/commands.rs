//! Runs the commands: each returns the text to print.

use std::fs;
use std::path;
use std::time;

use cardamomhold_proto::entry;
use cardamomhold_proto::operator as schema;
use serde_json::Value;

use crate::client;
use crate::diff;
use crate::failure;
use crate::flags;
use crate::json;
use crate::status;
use crate::table;

/// Address of the instance when no address is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7101";

/// Interval between status requests of `status --wait`.
const STATUS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Longest content shown in a list or history, in characters.
const MAX_CONTENT_WIDTH: usize = 100;

/// Runs a command.
///
/// # Errors
/// [`failure::Failure`], whose text says what to do next.
pub async fn run(flags: &flags::Cardamomhold) -> Result<String, failure::Failure> {
    let address = flags.address.as_deref().unwrap_or(DEFAULT_ADDRESS);
    let mut runner = Runner {
        client: client::Client::connect(address).await?,
        is_json: flags.json,
        author: author_of(flags),
    };
    match &flags.subcommand {
        flags::CardamomholdCmd::Status(status) => runner.status(status.wait).await,
        flags::CardamomholdCmd::Get(get) => {
            let target = json::Target::parse(&get.kind, get.name.as_deref())?;
            let entry = runner.client.get(&target).await?;
            Ok(runner.format_entry(&entry))
        }
        flags::CardamomholdCmd::List(list) => runner.list(list.kind.as_deref()).await,
        flags::CardamomholdCmd::Diff(diff) => {
            let target = json::Target::parse(&diff.kind, diff.name.as_deref())?;
            let change = runner
                .prepare(target, diff.file.as_deref(), &diff.field)
                .await?;
            Ok(runner.format_lines(&change.lines))
        }
        flags::CardamomholdCmd::Set(set) => {
            let target = json::Target::parse(&set.kind, set.name.as_deref())?;
            let change = runner
                .prepare(target, set.file.as_deref(), &set.field)
                .await?;
            runner.set(change, set.version).await
        }
        flags::CardamomholdCmd::Remove(remove) => {
            let target = json::Target::parse(&remove.kind, remove.name.as_deref())?;
            runner.remove(&target, remove.version).await
        }
        flags::CardamomholdCmd::History(history) => {
            let target = json::Target::parse(&history.kind, history.name.as_deref())?;
            runner.history(&target).await
        }
        flags::CardamomholdCmd::Drain(drain) => {
            runner
                .drain(&drain.group, &drain.member, drain.version, true)
                .await
        }
        flags::CardamomholdCmd::Undrain(undrain) => {
            runner
                .drain(&undrain.group, &undrain.member, undrain.version, false)
                .await
        }
        flags::CardamomholdCmd::Switchover(switchover) => {
            let member = switchover.member.as_deref().unwrap_or_default();
            runner.switchover(&switchover.group, member).await
        }
    }
}

fn author_of(flags: &flags::Cardamomhold) -> String {
    let user = || std::env::var("USER").ok();
    flags
        .author
        .clone()
        .or_else(user)
        .unwrap_or_else(|| "unknown".to_owned())
}

/// Client and output options of one command.
struct Runner {
    client: client::Client,
    is_json: bool,
    author: String,
}

/// A prepared change.
struct Change {
    target: json::Target,
    version: u64,
    content: Value,
    spec: schema::entry::Spec,
    lines: Vec<diff::Line>,
}

impl Runner {
    fn format_entry(&self, entry: &schema::Entry) -> String {
        if self.is_json {
            return pretty_json(&json::entry(entry));
        }
        let kind = json::kind_name(entry.kind());
        let mut text = format!("{kind} {} version {}", entry.name, entry.version);
        if entry.version == 0 {
            text += " (default, never set)";
        } else if !entry.author.is_empty() {
            text += &format!(" by {}", entry.author);
        }
        if entry.removed {
            return text + " removed\n";
        }
        format!("{text}\n{}", pretty_json(&json::content(entry)))
    }

    fn format_lines(&self, lines: &[diff::Line]) -> String {
        if self.is_json {
            let mut values = Vec::new();
            for line in lines {
                values.push(serde_json::json!({
                    "path": line.path, "before": line.before, "after": line.after,
                }));
            }
            return pretty_json(&Value::from(values));
        }
        if lines.is_empty() {
            return "no difference\n".to_owned();
        }
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    async fn status(&mut self, wait: bool) -> Result<String, failure::Failure> {
        let mut status = self.client.status().await?;
        while wait && !status::is_settled(&status) {
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            status = self.client.status().await?;
        }
        if self.is_json {
            return Ok(pretty_json(&status::json(&status)));
        }
        Ok(status::render(&status))
    }

    async fn list(&mut self, kind: Option<&str>) -> Result<String, failure::Failure> {
        let unknown = |k: &str| failure::Failure::UnknownKind(k.to_owned());
        let kind = match kind {
            Some(text) => json::parse_kind(text).ok_or_else(|| unknown(text))?,
            None => schema::Kind::Unspecified,
        };
        let entries = self.client.list(kind).await?;
        Ok(self.format_entries(&entries))
    }

    async fn history(&mut self, target: &json::Target) -> Result<String, failure::Failure> {
        let entries = self.client.history(target).await?;
        Ok(self.format_entries(&entries))
    }

    fn format_entries(&self, entries: &[schema::Entry]) -> String {
        if self.is_json {
            let values: Vec<Value> = entries.iter().map(json::entry).collect();
            return pretty_json(&Value::from(values));
        }
        let mut rows = Vec::new();
        for entry in entries {
            let content = match entry.removed {
                true => "removed".to_owned(),
                false => json::content(entry).to_string(),
            };
            rows.push([
                json::kind_name(entry.kind()).to_owned(),
                entry.name.clone(),
                entry.version.to_string(),
                entry.author.clone(),
                content.chars().take(MAX_CONTENT_WIDTH).collect(),
            ]);
        }
        table::render(["KIND", "NAME", "VERSION", "AUTHOR", "CONTENT"], &rows)
    }

    /// Reads the object and computes the new content and its differences.
    async fn prepare(
        &mut self,
        target: json::Target,
        file: Option<&path::Path>,
        fields: &[String],
    ) -> Result<Change, failure::Failure> {
        let current = match self.client.get(&target).await {
            Ok(entry) => entry,
            Err(failure::Failure::NotFound(_)) => schema::Entry::default(),
            Err(failure) => return Err(failure),
        };
        let before = json::content(&current);
        let base = match file {
            Some(file) => read_json(file)?,
            None if fields.is_empty() => return Err(failure::Failure::NothingToSet),
            None => before.clone(),
        };
        let spec = json::parse_content(target.kind, json::with_fields(&base, fields)?)?;
        let spec = entry::encode_spec(&spec);
        let changed = schema::Entry {
            spec: Some(spec.clone()),
            ..Default::default()
        };
        let content = json::content(&changed);
        Ok(Change {
            lines: diff::diff(&before, &content),
            version: current.version,
            target,
            content,
            spec,
        })
    }

    async fn set(
        &mut self,
        change: Change,
        version: Option<u64>,
    ) -> Result<String, failure::Failure> {
        let version = version.unwrap_or(change.version);
        let entry = schema::Entry {
            kind: change.target.kind.into(),
            name: change.target.name.clone(),
            version,
            author: self.author.clone(),
            spec: Some(change.spec.clone()),
            ..Default::default()
        };
        let reply = self.client.apply(entry).await?;
        let subject = change.target.to_string();
        let accepted = accepted_entry(reply, &subject, version, Some(&change.content))?;
        if self.is_json {
            return Ok(self.format_entry(&accepted));
        }
        let lines = self.format_lines(&change.lines);
        Ok(format!(
            "{lines}{subject}: accepted as version {}\n",
            accepted.version
        ))
    }

    async fn remove(
        &mut self,
        target: &json::Target,
        version: Option<u64>,
    ) -> Result<String, failure::Failure> {
        let version = match version {
            Some(version) => version,
            None => self.client.get(target).await?.version,
        };
        let request = schema::RemoveRequest {
            kind: target.kind.into(),
            name: target.name.clone(),
            version,
            author: self.author.clone(),
        };
        let reply = self.client.remove(request).await?;
        let accepted = accepted_entry(reply, &target.to_string(), version, Some(&Value::Null))?;
        Ok(self.format_result(&accepted, &format!("{target}: removed")))
    }

    async fn drain(
        &mut self,
        group: &str,
        member: &str,
        version: Option<u64>,
        draining: bool,
    ) -> Result<String, failure::Failure> {
        let request = schema::DrainRequest {
            group: group.to_owned(),
            member: member.to_owned(),
            draining,
            version: version.unwrap_or_default(),
            author: self.author.clone(),
        };
        let reply = self.client.drain(request).await?;
        let subject = format!("group {group}");
        let accepted = accepted_entry(reply, &subject, version.unwrap_or_default(), None)?;
        let state = match draining {
            true => "gets no new work",
            false => "gets work again",
        };
        let text = format!(
            "{member}: {state}, {subject} is at version {}",
            accepted.version
        );
        Ok(self.format_result(&accepted, &text))
    }

    async fn switchover(&mut self, group: &str, member: &str) -> Result<String, failure::Failure> {
        let request = schema::SwitchoverRequest {
            group: group.to_owned(),
            member: member.to_owned(),
            author: self.author.clone(),
        };
        let reply = self.client.switchover(request).await?;
        let subject = format!("switchover of group {group}");
        let accepted = accepted_entry(reply, &subject, 0, None)?;
        Ok(self.format_result(
            &accepted,
            &format!("{subject}: ordered; `status --wait` waits for it"),
        ))
    }

    fn format_result(&self, entry: &schema::Entry, text: &str) -> String {
        match self.is_json {
            true => pretty_json(&json::entry(entry)),
            false => format!("{text}\n"),
        }
    }
}

fn pretty_json(value: &Value) -> String {
    format!("{value:#}\n")
}

fn read_json(file: &path::Path) -> Result<Value, failure::Failure> {
    let path = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| failure::Failure::File {
        path: path.clone(),
        error,
    })?;
    serde_json::from_str(&text).map_err(|error| failure::Failure::Field {
        path,
        problem: format!("is no JSON: {error}"),
    })
}

/// Returns the entry of an accepted change; any other reply is a failure.
fn accepted_entry(
    reply: schema::ApplyReply,
    subject: &str,
    version: u64,
    content: Option<&Value>,
) -> Result<schema::Entry, failure::Failure> {
    use schema::apply_reply::Result as Reply;
    match reply.result {
        Some(Reply::Accepted(entry)) => Ok(entry),
        Some(Reply::Conflict(current)) => {
            let conflict = failure::Conflict {
                object: subject.to_owned(),
                version,
                current: current.version,
                author: current.author.clone(),
                lines: content
                    .map(|content| diff::diff(&json::content(&current), content))
                    .unwrap_or_default(),
            };
            Err(failure::Failure::Conflict(Box::new(conflict)))
        }
        Some(Reply::Invalid(field)) => Err(failure::Failure::Field {
            path: field.path,
            problem: field.problem,
        }),
        Some(Reply::Undecided(undecided)) => Err(failure::Failure::Undecided {
            object: subject.to_owned(),
            change: undecided.change,
        }),
        Some(Reply::Superseded(current)) => Err(failure::Failure::Superseded {
            object: subject.to_owned(),
            current: current.version,
            author: current.author,
        }),
        None => Err(failure::Failure::Refused(format!(
            "{subject}: empty answer"
        ))),
    }
}
