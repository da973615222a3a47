//! Handles the `MEMBER` commands of a session: status, fencing, promotion and log streaming.

use cardamomhold_wire::answer;

use crate::engine;
use crate::log;
use crate::member;
use crate::replication;
use crate::rows;
use crate::session::End;
use crate::session::Session;
use crate::session::sql_error;

impl Session {
    pub(crate) async fn run_command(&mut self, command: replication::Command) -> Result<(), End> {
        let member = self.endpoint.member.clone();
        let accepted = match command {
            replication::Command::Status {
                received,
                applied,
                wait,
            } => {
                let status = replication::await_status(&member, received, applied, wait).await;
                self.put_status(&status);
                return Ok(());
            }
            replication::Command::Position => {
                let status = replication::current_status(&member);
                let values = [status.term.to_string(), status.received.to_string()];
                self.put_text_row(&["term", "log"], &values);
                return Ok(());
            }
            replication::Command::Stream(term, segments) => {
                return self.stream_log(term, &segments).await;
            }
            replication::Command::Fence(term) => {
                replication::request(&member, |reply| member::Request::Fence(term, reply)).await
            }
            replication::Command::Promote(term) => {
                replication::request(&member, |reply| member::Request::Promote(term, reply)).await
            }
            replication::Command::Follow(term, address) => {
                replication::request(&member, |reply| {
                    member::Request::Follow(term, address, reply)
                })
                .await
            }
        };
        if accepted.ok_or(End::Member)? {
            self.put_status(&replication::current_status(&member));
        } else {
            self.fail(&sql_error("55000", "member is at another term"));
        }
        Ok(())
    }

    pub(crate) fn put_status(&mut self, status: &cardamomhold_group::status::MemberStatus) {
        self.put_text_row(
            &replication::STATUS_COLUMNS,
            &replication::status_row(status),
        );
    }

    pub(crate) fn put_text_row(&mut self, names: &[&str], values: &[String]) {
        let column = |name: &&str| engine::Column {
            name: (*name).to_owned(),
            kind: engine::ColumnType::Text,
        };
        let columns: Vec<engine::Column> = names.iter().map(column).collect();
        let row: Vec<log::Value> = values.iter().cloned().map(log::Value::Text).collect();
        answer::put(&mut self.out, &rows::row_description(&columns, &[]));
        rows::put_row(&mut self.out, &columns, &row, &[]);
        answer::put_complete(&mut self.out, "MEMBER");
    }

    pub(crate) async fn stream_log(
        &mut self,
        term: cardamomhold_core::position::Term,
        segments: &[log::Segment],
    ) -> Result<(), End> {
        let member = self.endpoint.member.clone();
        let Some(mut stream) = replication::Stream::start(&member, term, segments).await else {
            self.fail(&sql_error(
                "55000",
                "member is not the primary of this term",
            ));
            return Ok(());
        };
        let column = engine::Column {
            name: "item".to_owned(),
            kind: engine::ColumnType::Text,
        };
        while let Some(item) = stream.next(&member).await {
            let Ok(text) = serde_json::to_string(&item) else {
                return Err(End::Member);
            };
            rows::put_row(
                &mut self.out,
                std::slice::from_ref(&column),
                &[log::Value::Text(text)],
                &[],
            );
            self.flush().await?;
        }
        Err(End::Member)
    }
}
