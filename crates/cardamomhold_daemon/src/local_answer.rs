//! Answers that a caller's task gives without an endpoint.

use cardamomhold_wire::answer;
use cardamomhold_wire::sqlstate;
use pgwire::messages::data;
use pgwire::messages::extendedquery;

use crate::batch;
use crate::caller;

impl caller::Caller {
    /// Answers a batch with an error.
    pub(crate) async fn fail(
        &mut self,
        batch: &batch::Batch,
        report: &sqlstate::Report,
    ) -> Result<(), caller::End> {
        answer::put_error(&mut self.out, answer::Severity::Error, report);
        if batch.sync {
            return self.send_ready().await;
        }
        self.builder.skip_to_sync();
        self.flush().await
    }

    /// Answers a batch without an endpoint.
    pub(crate) async fn answer_locally(
        &mut self,
        batch: &batch::Batch,
        tag: &str,
        row: Option<(&str, &str)>,
    ) -> Result<(), caller::End> {
        if batch.is_simple {
            self.put_result(tag, row, true);
            return self.send_ready().await;
        }
        for step in &batch.steps {
            match step {
                batch::Step::AddedParse => {}
                batch::Step::Parse => {
                    answer::put(&mut self.out, &extendedquery::ParseComplete::new())
                }
                batch::Step::Bind => {
                    answer::put(&mut self.out, &extendedquery::BindComplete::new())
                }
                batch::Step::Close => {
                    answer::put(&mut self.out, &extendedquery::CloseComplete::new())
                }
                batch::Step::DescribeStatement => {
                    answer::put(&mut self.out, &data::ParameterDescription::new(Vec::new()));
                    self.put_columns(row);
                }
                batch::Step::DescribePortal => self.put_columns(row),
                batch::Step::Execute => self.put_result(tag, row, false),
            }
        }
        if batch.sync {
            return self.send_ready().await;
        }
        self.flush().await
    }

    fn put_columns(&mut self, row: Option<(&str, &str)>) {
        match row {
            Some((column, _)) => answer::put_text_column(&mut self.out, column),
            None => answer::put(&mut self.out, &data::NoData::new()),
        }
    }

    fn put_result(&mut self, tag: &str, row: Option<(&str, &str)>, with_columns: bool) {
        if let Some((column, value)) = row {
            if with_columns {
                answer::put_text_column(&mut self.out, column);
            }
            answer::put_text_value(&mut self.out, value);
        }
        answer::put_complete(&mut self.out, tag);
    }
}
