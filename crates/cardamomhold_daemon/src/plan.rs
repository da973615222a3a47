//! Plans one attempt: chooses the member and its owner, and creates the ticket.

use std::time;

use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_group::spec;
use cardamomhold_session::retry;
use cardamomhold_session::route;
use cardamomhold_wire::statement;

use crate::batch;
use crate::caller;
use crate::stream;

/// Plan of one attempt.
pub struct Plan {
    /// Ticket for the owner.
    pub ticket: stream::Ticket,
    /// Address of the owner; `None` if it is this instance.
    pub address: Option<String>,
}

/// Name of the kind of read that `BEGIN READ ONLY` declares.
const DEFAULT_READ_KIND: &str = "default";

impl caller::Caller {
    pub(crate) fn idempotency(&self, batch: &batch::Batch) -> retry::Idempotency {
        if !batch.executes() || batch.begins() || self.session.read_kind.is_some() {
            return retry::Idempotency::NoEffect;
        }
        match self.session.request_key {
            Some(_) => retry::Idempotency::Key,
            None => retry::Idempotency::None,
        }
    }

    pub(crate) fn plan(
        &mut self,
        batch: &batch::Batch,
        deadline: time::Duration,
        retry: &retry::Retry,
    ) -> Result<Plan, outcome::Refusal> {
        let config = self.context.config.borrow().clone();
        let spec = config
            .group(&self.group)
            .ok_or(outcome::Refusal::UnknownGroup)?;
        let leadership = config
            .leadership(&self.group)
            .ok_or(outcome::Refusal::UnknownGroup)?;
        let staleness = self.read_staleness(batch.class(), &config);
        let seen = self.session.token.position(self.group.as_str());
        let replicas = self.replicas(spec, leadership.primary.as_ref(), retry);
        let view = route::View {
            term: leadership.term,
            primary: leadership.primary.as_ref(),
            replicas: &replicas,
        };
        self.rotation = self.rotation.wrapping_add(1);
        let wants_replica = staleness.is_some();
        let (member, access) = match route::choose(view, wants_replica, seen, self.rotation)? {
            route::Route::Replica(member) => (
                member,
                stream::Access::ReadReplica(staleness.unwrap_or_default()),
            ),
            route::Route::Primary(member) if staleness.is_some() => {
                (member, stream::Access::ReadPrimary)
            }
            route::Route::Primary(member) => (member, stream::Access::Write),
        };
        let ticket = stream::Ticket {
            group: self.group.clone(),
            member: member.clone(),
            term: leadership.term,
            rank: self.session.rank,
            caller: self.caller.clone(),
            deadline,
            access,
            request_key: self
                .session
                .request_key
                .filter(|_| (batch.executes() || !batch.sync) && !access.is_read()),
            begins: batch.begins(),
            seen,
            setup: self.session.setup_statements().map(str::to_owned).collect(),
        };
        let address = self.owner_address(spec, member, retry)?;
        Ok(Plan { ticket, address })
    }

    /// Maximum staleness of a declared read; `None` for everything else.
    fn read_staleness(
        &self,
        class: &statement::Class,
        config: &config::Config,
    ) -> Option<time::Duration> {
        let default = name::KindName::parse(DEFAULT_READ_KIND).ok();
        let default = default.filter(|kind| config.read_rule(kind).is_some());
        let kind = match class {
            statement::Class::Begin { read_only: true } => {
                self.session.read_kind.as_ref().or(default.as_ref())
            }
            _ => self.session.read_kind.as_ref(),
        };
        // Reads of a removed kind stay declared reads; they accept no staleness, so they run at
        // the primary.
        let staleness = config.read_rule(kind?).map_or(0, |rule| rule.staleness_ms);
        Some(time::Duration::from_millis(staleness))
    }

    fn replicas<'a>(
        &self,
        spec: &'a spec::GroupSpec,
        primary: Option<&name::MemberName>,
        retry: &retry::Retry,
    ) -> Vec<route::Candidate<'a>> {
        let mut replicas = Vec::new();
        for member in &spec.members {
            if Some(&member.name) == primary || member.draining {
                continue;
            }
            if !retry.allows(&member.name) {
                continue;
            }
            replicas.push(route::Candidate {
                member: &member.name,
                is_near: member.zone == self.context.zone,
            });
        }
        replicas
    }

    /// Address of the instance that owns a member; `None` if it is this one.
    ///
    /// Skips owners that have refused an attempt because they are stopping, even if the list of
    /// instances doesn't show that yet.
    fn owner_address(
        &self,
        spec: &spec::GroupSpec,
        member: &name::MemberName,
        retry: &retry::Retry,
    ) -> Result<Option<String>, outcome::Refusal> {
        let fleet = self.context.fleet.borrow().clone();
        let fleet = fleet.with_leaving(retry.stopping());
        let zone = &spec.member(member).ok_or(outcome::Refusal::NoPrimary)?.zone;
        let owner = fleet
            .owner(member, zone)
            .ok_or(outcome::Refusal::OwnerUnreachable)?;
        if owner.name == self.context.instance {
            return Ok(None);
        }
        Ok(Some(owner.address.clone()))
    }
}
