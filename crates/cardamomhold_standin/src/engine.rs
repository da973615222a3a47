//! Database of a member: SQLite in memory.

use std::fmt;

use rusqlite::types;

use crate::log;

/// Type of a column in the row descriptions that clients receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// An 8-byte integer.
    Int,
    /// An 8-byte floating-point number.
    Real,
    /// Text.
    Text,
}

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// The name.
    pub name: String,
    /// The type.
    pub kind: ColumnType,
}

/// Result of a statement.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The columns; empty when the statement returns no rows.
    pub columns: Vec<Column>,
    /// The rows.
    pub rows: Vec<Vec<log::Value>>,
    /// Number of changed rows.
    pub changed: usize,
    /// Whether the statement may have changed data.
    pub is_write: bool,
}

/// Parameters and columns of a statement that has not run.
#[derive(Debug, Clone, Default)]
pub struct Description {
    /// Number of parameters.
    pub params: usize,
    /// The columns.
    pub columns: Vec<Column>,
}

/// Error of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Error message.
    pub message: String,
}

impl fmt::Display for SqlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.code)
    }
}

impl std::error::Error for SqlError {}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let code = match error.sqlite_error_code() {
            Some(rusqlite::ErrorCode::ConstraintViolation) => "23505",
            Some(rusqlite::ErrorCode::ReadOnly) => "25006",
            _ => "42601",
        };
        Self {
            code,
            message: error.to_string(),
        }
    }
}

/// An SQLite database in memory.
#[derive(Debug)]
pub struct Engine {
    database: rusqlite::Connection,
}

impl Engine {
    /// Creates an empty database.
    ///
    /// # Errors
    /// [`SqlError`] when SQLite can't open one.
    pub fn new() -> Result<Self, SqlError> {
        Ok(Self {
            database: rusqlite::Connection::open_in_memory()?,
        })
    }

    /// Copies the database, for the use of one transaction.
    ///
    /// # Errors
    /// [`SqlError`] when SQLite can't serialize or load the copy.
    pub fn copy(&mut self) -> Result<Self, SqlError> {
        let mut database = rusqlite::Connection::open_in_memory()?;
        let image = self.database.serialize("main")?;
        if !image.is_empty() {
            database.deserialize_read_exact("main", &*image, image.len(), false)?;
        }
        Ok(Self { database })
    }

    /// Runs one statement; rejects a write when `read_only` is set.
    ///
    /// # Errors
    /// [`SqlError`] when SQLite rejects the statement, or for a write when `read_only` is set.
    pub fn run(&self, statement: &log::Statement, read_only: bool) -> Result<Answer, SqlError> {
        let mut prepared = self.database.prepare_cached(&statement.sql)?;
        let is_write = !prepared.readonly();
        if is_write && read_only {
            let message = "cannot execute a write in a read-only transaction".to_owned();
            return Err(SqlError {
                code: "25006",
                message,
            });
        }
        for (i, value) in statement.params.iter().enumerate() {
            if i < prepared.parameter_count() {
                prepared.raw_bind_parameter(i + 1, sql_value(value))?;
            }
        }
        let mut columns = columns_of(&prepared);
        let mut rows = Vec::new();
        let mut cursor = prepared.raw_query();
        while let Some(row) = cursor.next()? {
            let mut values = Vec::with_capacity(columns.len());
            for i in 0..columns.len() {
                values.push(value_of(row.get_ref(i)?));
            }
            rows.push(values);
        }
        drop(cursor);
        refine_types(&mut columns, rows.first());
        let changed = if is_write {
            self.database.changes() as usize
        } else {
            0
        };
        Ok(Answer {
            columns,
            rows,
            changed,
            is_write,
        })
    }

    /// Runs statements in one transaction and rolls it back when one of them fails.
    ///
    /// # Errors
    /// The [`SqlError`] of the first statement that fails.
    pub fn commit(&self, statements: &[log::Statement]) -> Result<(), SqlError> {
        self.database.execute_batch("BEGIN")?;
        for statement in statements {
            if let Err(error) = self.run(statement, false) {
                self.database.execute_batch("ROLLBACK")?;
                return Err(error);
            }
        }
        self.database.execute_batch("COMMIT")?;
        Ok(())
    }

    /// Returns the parameters and columns of a statement.
    ///
    /// # Errors
    /// [`SqlError`] when it can't be prepared.
    pub fn describe(&self, sql: &str) -> Result<Description, SqlError> {
        let prepared = self.database.prepare(sql)?;
        let params = prepared.parameter_count();
        let mut columns = columns_of(&prepared);
        if prepared.readonly() && !columns.is_empty() {
            let statement = log::Statement {
                sql: sql.to_owned(),
                params: Vec::new(),
            };
            let sample = self.run(&statement, true)?;
            columns = sample.columns;
        }
        Ok(Description { params, columns })
    }
}

fn sql_value(value: &log::Value) -> types::Value {
    match value {
        log::Value::Null => types::Value::Null,
        log::Value::Int(n) => types::Value::Integer(*n),
        log::Value::Real(x) => types::Value::Real(*x),
        log::Value::Text(text) => types::Value::Text(text.clone()),
    }
}

fn value_of(value: types::ValueRef<'_>) -> log::Value {
    match value {
        types::ValueRef::Null => log::Value::Null,
        types::ValueRef::Integer(n) => log::Value::Int(n),
        types::ValueRef::Real(x) => log::Value::Real(x),
        types::ValueRef::Text(text) | types::ValueRef::Blob(text) => {
            log::Value::Text(String::from_utf8_lossy(text).into_owned())
        }
    }
}

fn columns_of(prepared: &rusqlite::Statement<'_>) -> Vec<Column> {
    let mut columns = Vec::new();
    for i in 0..prepared.column_count() {
        let name = prepared.column_name(i).unwrap_or("?").to_owned();
        columns.push(Column {
            name,
            kind: ColumnType::Text,
        });
    }
    for (column, declared) in columns.iter_mut().zip(prepared.columns()) {
        let declared = declared
            .decl_type()
            .unwrap_or_default()
            .to_ascii_uppercase();
        if declared.contains("INT") {
            column.kind = ColumnType::Int;
        } else if declared.contains("REAL") || declared.contains("DOUBLE") {
            column.kind = ColumnType::Real;
        }
    }
    columns
}

/// Sets the types of expressions, which have no declared type, from the values of the first row.
fn refine_types(columns: &mut [Column], first: Option<&Vec<log::Value>>) {
    for (column, value) in columns.iter_mut().zip(first.into_iter().flatten()) {
        match value {
            log::Value::Int(_) if column.kind == ColumnType::Text => column.kind = ColumnType::Int,
            log::Value::Real(_) => column.kind = ColumnType::Real,
            _ => continue,
        }
    }
}
