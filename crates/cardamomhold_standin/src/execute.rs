//! Runs the statements of a session: transaction control, settings, queries and writes.

use std::sync::atomic;
use std::time;

use cardamomhold_wire::answer;

use crate::engine;
use crate::log;
use crate::member;
use crate::replication;
use crate::rows;
use crate::session::End;
use crate::session::Session;
use crate::session::Transaction;
use crate::session::first_word;
use crate::session::sql_error;

/// Size of the output buffer, in bytes, from which rows are sent before the result is complete.
const FLUSH_LEN: usize = 32 * 1024;

impl Session {
    pub(crate) async fn execute(
        &mut self,
        statement: &log::Statement,
        formats: &[i16],
        is_simple: bool,
    ) -> Result<(), End> {
        if let Some(command) = replication::Command::parse(&statement.sql) {
            return self.run_command(command).await;
        }
        let word = first_word(&statement.sql);
        match word.as_str() {
            "BEGIN" | "START" => self.begin(&statement.sql),
            "COMMIT" | "END" => self.commit().await?,
            "ROLLBACK" | "ABORT" => {
                self.transaction = Transaction::Idle;
                answer::put_complete(&mut self.out, "ROLLBACK");
            }
            _ if matches!(self.transaction, Transaction::Failed) => {
                self.fail(&sql_error("25P02", "current transaction is aborted"));
            }
            "DISCARD" if !matches!(self.transaction, Transaction::Idle) => {
                self.fail(&sql_error(
                    "25001",
                    "DISCARD ALL cannot run inside a transaction",
                ));
            }
            "SET" | "RESET" | "DISCARD" => self.set(&statement.sql, &word),
            "SHOW" => self.show(&statement.sql),
            "STREAM" => self.stream_rows(&statement.sql).await?,
            "SLEEP" => self.sleep(&statement.sql).await?,
            _ => self.run_statement(statement, formats, is_simple).await?,
        }
        Ok(())
    }

    pub(crate) fn is_read_only(&self) -> bool {
        let setting = self.settings.get("default_transaction_read_only");
        setting.is_some_and(|value| value == "on")
    }

    pub(crate) fn begin(&mut self, sql: &str) {
        let sql = sql.to_ascii_uppercase();
        let read_only =
            sql.contains("READ ONLY") || self.is_read_only() && !sql.contains("READ WRITE");
        if matches!(self.transaction, Transaction::Idle) {
            self.transaction = Transaction::Open {
                read_only,
                copy: None,
                writes: Vec::new(),
            };
        }
        answer::put_complete(&mut self.out, "BEGIN");
    }

    pub(crate) async fn commit(&mut self) -> Result<(), End> {
        let writes = match std::mem::take(&mut self.transaction) {
            Transaction::Open { writes, .. } => writes,
            Transaction::Idle => Vec::new(),
            Transaction::Failed => {
                answer::put_complete(&mut self.out, "ROLLBACK");
                return Ok(());
            }
        };
        let is_write = !writes.is_empty();
        let _slot = self.endpoint.acquire_slot().await;
        let member = &self.endpoint.member;
        let answer = replication::request(member, |reply| member::Request::Commit {
            statements: writes,
            reply,
        })
        .await;
        match answer.ok_or(End::Member)? {
            Ok(()) => {
                if is_write && self.endpoint.faults.consume_lost_answer() {
                    return Err(End::Fault);
                }
                answer::put_complete(&mut self.out, "COMMIT");
            }
            Err(error) if error.code == "23505" => {
                let message = "could not serialize access due to concurrent update".to_owned();
                self.fail(&engine::SqlError {
                    code: "40001",
                    message,
                });
            }
            Err(error) => self.fail(&error),
        }
        Ok(())
    }

    pub(crate) fn set(&mut self, sql: &str, word: &str) {
        match cardamomhold_wire::statement::classify(sql) {
            cardamomhold_wire::statement::Class::Set(setting) => match setting.value {
                Some(value) => {
                    self.settings.insert(setting.name, value);
                }
                None if setting.name == "all" => self.settings.clear(),
                None => {
                    self.settings.remove(&setting.name);
                }
            },
            _ => {
                self.settings.clear();
                self.prepared.clear();
            }
        }
        let tag = if word == "DISCARD" {
            "DISCARD ALL"
        } else {
            word
        };
        answer::put_complete(&mut self.out, tag);
    }

    pub(crate) fn show(&mut self, sql: &str) {
        let name = sql
            .trim_end_matches(';')
            .split_whitespace()
            .nth(1)
            .unwrap_or_default();
        let name = name.to_ascii_lowercase();
        let value = self.settings.get(&name).cloned().unwrap_or_default();
        answer::put_text_column(&mut self.out, &name);
        answer::put_text_value(&mut self.out, &value);
        answer::put_complete(&mut self.out, "SHOW");
    }

    /// `STREAM <rows> <bytes>`: generates and sends a result of any size row by row.
    pub(crate) async fn stream_rows(&mut self, sql: &str) -> Result<(), End> {
        let mut numbers = sql
            .split_whitespace()
            .skip(1)
            .filter_map(|w| w.parse::<usize>().ok());
        let rows = numbers.next().unwrap_or(1);
        let value = log::Value::Text("x".repeat(numbers.next().unwrap_or(1)));
        let column = engine::Column {
            name: "filler".to_owned(),
            kind: engine::ColumnType::Text,
        };
        answer::put(
            &mut self.out,
            &rows::row_description(std::slice::from_ref(&column), &[]),
        );
        for _ in 0..rows {
            rows::put_row(
                &mut self.out,
                std::slice::from_ref(&column),
                std::slice::from_ref(&value),
                &[],
            );
            if self.out.len() >= FLUSH_LEN {
                self.flush().await?;
            }
            self.endpoint
                .streamed_rows
                .fetch_add(1, atomic::Ordering::SeqCst);
        }
        answer::put_complete(&mut self.out, &format!("SELECT {rows}"));
        Ok(())
    }

    /// `SLEEP <ms>`: occupies a slot for that time or until the statement is cancelled.
    pub(crate) async fn sleep(&mut self, sql: &str) -> Result<(), End> {
        let millis = sql
            .split_whitespace()
            .nth(1)
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let _slot = self.endpoint.acquire_slot().await;
        let pid = self.number as i32;
        tokio::select! {
            () = tokio::time::sleep(time::Duration::from_millis(millis)) => {
                answer::put_complete(&mut self.out, "SLEEP");
            }
            () = cancelled(&mut self.cancels, pid) => {
                self.fail(&sql_error("57014", "canceling statement due to user request"));
            }
        }
        Ok(())
    }

    pub(crate) async fn run_statement(
        &mut self,
        statement: &log::Statement,
        formats: &[i16],
        is_simple: bool,
    ) -> Result<(), End> {
        let _slot = self.endpoint.acquire_slot().await;
        let is_autocommit = matches!(self.transaction, Transaction::Idle);
        let result = if is_autocommit {
            let statement = statement.clone();
            let read_only = self.is_read_only();
            let request = |reply| member::Request::Run {
                statement,
                read_only,
                reply,
            };
            replication::request(&self.endpoint.member, request)
                .await
                .ok_or(End::Member)?
        } else {
            self.run_in_transaction(statement).await?
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                self.fail(&error);
                return Ok(());
            }
        };
        if is_autocommit && answer.is_write && self.endpoint.faults.consume_lost_answer() {
            return Err(End::Fault);
        }
        if is_simple && !answer.columns.is_empty() {
            answer::put(
                &mut self.out,
                &rows::row_description(&answer.columns, formats),
            );
        }
        for row in &answer.rows {
            rows::put_row(&mut self.out, &answer.columns, row, formats);
            if self.out.len() >= FLUSH_LEN {
                self.flush().await?;
            }
        }
        answer::put_complete(&mut self.out, &rows::command_tag(&statement.sql, &answer));
        Ok(())
    }

    pub(crate) async fn run_in_transaction(
        &mut self,
        statement: &log::Statement,
    ) -> Result<Result<engine::Answer, engine::SqlError>, End> {
        let Transaction::Open {
            read_only,
            copy,
            writes,
        } = &mut self.transaction
        else {
            return Ok(Err(sql_error("25P02", "current transaction is aborted")));
        };
        if copy.is_none() {
            let copied = replication::request(&self.endpoint.member, member::Request::Copy).await;
            match copied.ok_or(End::Member)? {
                Ok(copied) => *copy = Some(copied),
                Err(error) => return Ok(Err(error)),
            }
        }
        let Some(copy) = copy else {
            return Err(End::Member);
        };
        let is_replica = {
            let published = self.endpoint.member.published.borrow();
            published.status.role == cardamomhold_group::status::MemberRole::Replica
        };
        let result = copy.run(statement, *read_only || is_replica);
        if let Ok(answer) = &result
            && answer.is_write
        {
            writes.push(statement.clone());
        }
        Ok(result)
    }
}

async fn cancelled(cancels: &mut tokio::sync::broadcast::Receiver<i32>, pid: i32) {
    loop {
        match cancels.recv().await {
            Ok(target) if target == pid => return,
            Ok(_) | Err(tokio::sync::broadcast::error::RecvError::Lagged(_)) => continue,
            Err(tokio::sync::broadcast::error::RecvError::Closed) => std::future::pending().await,
        }
    }
}
