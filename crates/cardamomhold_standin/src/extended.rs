//! Handles Bind and Describe messages of the extended query protocol.

use cardamomhold_wire::answer;
use pgwire::messages::data;
use pgwire::messages::extendedquery;

use crate::engine;
use crate::log;
use crate::member;
use crate::replication;
use crate::rows;
use crate::session::End;
use crate::session::Portal;
use crate::session::Session;
use crate::session::Transaction;
use crate::session::first_word;
use crate::session::sql_error;

impl Session {
    pub(crate) fn bind(&mut self, bind: &extendedquery::Bind) {
        let name = bind.statement_name.clone().unwrap_or_default();
        let Some(prepared) = self.prepared.get(&name) else {
            self.fail(&sql_error("26000", "prepared statement does not exist"));
            return;
        };
        let mut params = Vec::new();
        for (i, value) in bind.parameters.iter().enumerate() {
            let format = rows::format_of(&bind.parameter_format_codes, i);
            let oid = prepared.types.get(i).copied().unwrap_or(rows::TEXT_OID);
            params.push(rows::decode_value(value.as_deref(), format, oid));
        }
        let statement = log::Statement {
            sql: prepared.sql.clone(),
            params,
        };
        let portal = Portal {
            statement,
            formats: bind.result_column_format_codes.clone(),
        };
        self.portals
            .insert(bind.portal_name.clone().unwrap_or_default(), portal);
        answer::put(&mut self.out, &extendedquery::BindComplete::new());
    }

    pub(crate) async fn describe(&mut self, describe: &extendedquery::Describe) -> Result<(), End> {
        let name = describe.name.clone().unwrap_or_default();
        let is_statement = describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT;
        let (sql, types, formats) = if is_statement {
            let Some(prepared) = self.prepared.get(&name).cloned() else {
                self.fail(&sql_error("26000", "prepared statement does not exist"));
                return Ok(());
            };
            (prepared.sql, prepared.types, Vec::new())
        } else {
            let Some(portal) = self.portals.get(&name).cloned() else {
                self.fail(&sql_error("34000", "portal does not exist"));
                return Ok(());
            };
            (portal.statement.sql, Vec::new(), portal.formats)
        };
        let description = match self.description(&sql).await? {
            Ok(description) => description,
            Err(error) => {
                self.fail(&error);
                return Ok(());
            }
        };
        if is_statement {
            let mut oids = vec![rows::TEXT_OID; description.params];
            for (oid, given) in oids.iter_mut().zip(&types) {
                *oid = if *given == 0 { rows::TEXT_OID } else { *given };
            }
            answer::put(&mut self.out, &data::ParameterDescription::new(oids));
        }
        self.put_columns(&description.columns, &formats);
        Ok(())
    }

    pub(crate) fn put_columns(&mut self, columns: &[engine::Column], formats: &[i16]) {
        if columns.is_empty() {
            answer::put(&mut self.out, &data::NoData::new());
            return;
        }
        answer::put(&mut self.out, &rows::row_description(columns, formats));
    }

    pub(crate) async fn description(
        &mut self,
        sql: &str,
    ) -> Result<Result<engine::Description, engine::SqlError>, End> {
        if is_builtin(sql) {
            return Ok(Ok(engine::Description::default()));
        }
        if let Transaction::Open {
            copy: Some(copy), ..
        } = &self.transaction
        {
            return Ok(copy.describe(sql));
        }
        let sql = sql.to_owned();
        let member = &self.endpoint.member;
        let answer =
            replication::request(member, |reply| member::Request::Describe { sql, reply }).await;
        answer.ok_or(End::Member)
    }
}

fn is_builtin(sql: &str) -> bool {
    let builtins = [
        "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SET", "RESET", "DISCARD", "SLEEP",
        "MEMBER",
    ];
    builtins.contains(&first_word(sql).as_str())
}
