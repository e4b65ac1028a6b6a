//! State of a request in progress at a gateway.

use std::collections;
use std::sync;
use std::time;

use crate::batch;
use crate::gateway;
use crate::id;
use crate::placement;
use crate::quarantine;
use crate::shedding::shares;
use crate::stream_versions;
use crate::table;

/// Maximum number of pieces of one stage.
const MAX_PIECES: u32 = 10_000;

/// A result that an upstream stores for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResult {
    /// Upstream that stores it.
    pub instance: id::InstanceId,
    /// Name of the result at the upstream.
    pub handle: gateway::Handle,
    /// Typical size of results of its stage.
    pub size: crate::unit::ByteSize,
}

/// State of one piece of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Piece {
    /// Not started: earlier stages are not done, or the piece is to be computed again.
    #[default]
    Pending,
    /// Being computed as part of this group.
    InProgress(batch::GroupId),
    /// Computed; an upstream stores the result.
    Done(StoredResult),
    /// Computed; its result was used and freed.
    Freed,
}

impl Piece {
    fn is_done(&self) -> bool {
        matches!(self, Self::Done(_) | Self::Freed)
    }
}

/// State of one request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id that the caller gave, for logs and upstreams.
    pub external_id: String,
    /// Route that the request matched, as of its arrival.
    pub route: sync::Arc<table::Route>,
    /// Service that is to answer.
    pub service: id::ServiceId,
    /// Region in which its stages run.
    pub region: id::RegionId,
    /// Host that it names, by which later tables are searched for its route.
    pub host: String,
    /// Path of the request, for the same purpose.
    pub path: String,
    /// Regions that the table on its arrival allows.
    pub arrival_bound: table::RegionBound,
    /// Regions that the table on its arrival and the one in force both allow.
    pub bound: table::RegionBound,
    /// Team of the caller; `None` if the route needs no credential.
    pub team: Option<id::TeamId>,
    /// Credential that has to be valid whenever a call is made; `None` if none is needed.
    pub credential: Option<table::Credential>,
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// When it arrived.
    pub arrived: time::Duration,
    /// Time by which its answer should begin. It is earlier for a caller that retries, by the time
    /// of its earlier attempt, and not after the arrival if the request was admitted as a late one.
    pub due: time::Duration,
    /// Time until the answer was expected to begin on admission; zero if it is not to be compared
    /// with the actual time.
    pub estimate: time::Duration,
    /// Time by which its answer must begin, because the caller gives up then.
    pub start_deadline: time::Duration,
    /// Time by which its answer must be complete.
    pub deadline: time::Duration,
    /// Parts of the prompt, empty if the request is no generation.
    pub prompt_parts: Vec<placement::PromptPart>,
    /// Digest of what the request asks for and of the team that asks.
    pub content: Option<u64>,
    /// Held part of the prompt with which it is let through to find out whether the part is sound.
    pub probed_part: Option<u64>,
    /// Number of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Request that brought the first event of the stream: this one, or the one that the caller names;
    /// `None` if it resumes a stream and names none.
    pub stream: Option<stream_versions::StreamKey>,
    /// Version at which the answer goes on; `None` before its first event, or if that is not known.
    pub version: Option<stream_versions::SoftwareVersion>,
    /// Number of times that the version was looked up in vain.
    pub lookups: u32,
    /// Input of the stages that depend on no other stage.
    pub input_key: Option<String>,
    /// State of the pieces of each stage, in the order of the route's stages.
    pub stages: Vec<Vec<Piece>>,
    /// Number of times that pieces were computed again.
    pub recomputations: u32,
    /// Call in flight that is to answer, if any.
    pub call: Option<gateway::CallId>,
    /// Time before which no call is made: the upstream before may still be at work.
    pub next_call: time::Duration,
    /// Upstreams that were called for the answer.
    pub tried: collections::BTreeSet<id::InstanceId>,
    /// Number of calls that may have run the request.
    pub possible_runs: u32,
    /// Number of calls that were made for the answer.
    pub call_count: u32,
    /// Whether any call may have run the request.
    pub may_have_run: bool,
    /// Whether its next call waits for a retry, as none was left.
    pub awaits_retry: bool,
    /// Whether the caller received the beginning of the answer.
    pub has_started: bool,
    /// Whether it yields to no other request, because its kind is served too rarely.
    pub is_raised: bool,
}

impl Request {
    /// Makes the state of a request that has just arrived.
    ///
    /// # Errors
    /// Returns a message for the caller if its pieces do not fit the route.
    pub fn new(
        now: time::Duration,
        arrival: &gateway::Arrival,
        route: &sync::Arc<table::Route>,
        team: Option<&table::Team>,
        service: id::ServiceId,
        region: id::RegionId,
    ) -> Result<Self, String> {
        let stages = initial_pieces(route, arrival)?;
        let bound = initial_bound(route, team);
        let budget = arrival.budget.map_or(route.timeout, |budget| budget.min(route.timeout));
        Ok(Self {
            external_id: arrival.external_id.clone(),
            route: sync::Arc::clone(route),
            service,
            region,
            host: arrival.host.clone(),
            path: arrival.path.clone(),
            arrival_bound: bound.clone(),
            bound,
            team: team.map(|team| team.name.clone()),
            credential: team.and(arrival.credential.clone()),
            rank: team.and_then(|team| team.rank).unwrap_or(route.rank),
            arrived: now,
            due: now + route.target,
            estimate: time::Duration::ZERO,
            start_deadline: now + budget.min(route.start_timeout),
            deadline: now + budget,
            prompt_parts: arrival.prompt_parts.clone(),
            content: arrival.content.map(|content| team_content(content, team)),
            probed_part: None,
            last_event: arrival.last_event,
            stream: stream_of(arrival),
            version: None,
            lookups: 0,
            input_key: arrival.input_key.clone(),
            stages,
            recomputations: 0,
            call: None,
            next_call: time::Duration::ZERO,
            tried: collections::BTreeSet::new(),
            possible_runs: 0,
            call_count: 0,
            may_have_run: false,
            awaits_retry: false,
            has_started: false,
            is_raised: false,
        })
    }

    /// Returns whether its answer may begin or go on at a software version.
    pub fn goes_on_at(&self, version: &stream_versions::SoftwareVersion) -> bool {
        self.version.as_ref().is_none_or(|begun| begun == version)
    }

    /// Returns what of the request may crash engines.
    pub fn prompt(&self) -> quarantine::Prompt<'_> {
        quarantine::Prompt { parts: &self.prompt_parts, content: self.content }
    }

    /// Returns the requests that it is counted with.
    pub fn kind(&self) -> shares::Kind {
        let (service, route) = (self.service.clone(), self.route.name.clone());
        shares::Kind { service, rank: self.rank, route }
    }

    /// Returns the deadline that applies at present: that for the start of the answer, or that for
    /// its end.
    pub fn current_deadline(&self) -> time::Duration {
        if self.has_started { self.deadline } else { self.start_deadline }
    }

    /// Returns whether all pieces of a stage were computed, including those whose results were
    /// freed.
    pub fn is_stage_done(&self, stage: usize) -> bool {
        self.stages[stage].iter().all(Piece::is_done)
    }

    /// Returns whether all pieces of all stages were computed, including those whose results were freed.
    pub fn are_stages_done(&self) -> bool {
        (0..self.stages.len()).all(|stage| self.is_stage_done(stage))
    }

    /// Returns the stages whose pieces can be started now. A final stage with heavy results waits
    /// until all stages that the final stages depend on have been started, so that its results do
    /// not occupy memory for long.
    pub fn ready_stages(&self) -> Vec<usize> {
        let can_start_heavy = self.route.final_stages().all(|stage| {
            self.route.stages[stage]
                .depends_on
                .iter()
                .all(|dependency| self.is_stage_started(*dependency))
        });
        (0..self.stages.len())
            .filter(|stage| self.stages[*stage].contains(&Piece::Pending))
            .filter(|stage| self.are_inputs_done(*stage))
            .filter(|stage| can_start_heavy || !self.is_heavy_final(*stage))
            .collect()
    }

    fn is_stage_started(&self, stage: usize) -> bool {
        !self.stages[stage].contains(&Piece::Pending)
    }

    fn are_inputs_done(&self, stage: usize) -> bool {
        self.route.stages[stage].depends_on.iter().all(|dependency| self.is_stage_done(*dependency))
    }

    /// Returns whether a stage is final and its results are heavy.
    pub fn is_heavy_final(&self, stage: usize) -> bool {
        self.route.stages[stage].result_size.0 >= batch::HEAVY_BYTES
            && self.route.final_stages().any(|last| last == stage)
    }

    /// Returns the stored results of the given stages, in the order of their pieces.
    pub fn stage_results(&self, stages: impl Iterator<Item = usize>) -> Vec<StoredResult> {
        stages
            .flat_map(|stage| self.stages[stage].iter())
            .filter_map(stored_result)
            .cloned()
            .collect()
    }

    /// Returns the number of pieces that will be sent to a service later; 0 for a late request,
    /// whose pieces do not delay others.
    pub fn pending_pieces(&self, now: time::Duration, service: &id::ServiceId) -> usize {
        if self.due <= now {
            return 0;
        }
        let stages = self.route.stages.iter().zip(&self.stages);
        let of_service = stages.filter(|(stage, _)| stage.service == *service);
        of_service
            .map(|(_, pieces)| pieces.iter().filter(|piece| **piece == Piece::Pending).count())
            .sum()
    }

    /// Returns the groups in which pieces are being computed.
    pub fn groups(&self) -> collections::BTreeSet<batch::GroupId> {
        let in_progress = self.stages.iter().flatten().filter_map(|piece| match piece {
            Piece::InProgress(group) => Some(*group),
            _ => None,
        });
        in_progress.collect()
    }

    /// Returns whether results that the upstream that answers needs were freed.
    pub fn has_freed_results(&self) -> bool {
        self.route.final_stages().any(|stage| self.stages[stage].contains(&Piece::Freed))
    }

    /// Returns all results that upstreams still store for the request.
    pub fn all_results(&self) -> Vec<StoredResult> {
        self.stage_results(0..self.stages.len())
    }

    /// Marks all pieces as pending again, and returns the results that are no longer used.
    pub fn reset_all(&mut self) -> Vec<StoredResult> {
        let results = self.all_results();
        for piece in self.stages.iter_mut().flatten() {
            *piece = Piece::Pending;
        }
        results
    }

    /// Marks all pieces as freed and returns the results that are stored, so that the caller frees them.
    pub fn free_all(&mut self) -> Vec<StoredResult> {
        let results = self.all_results();
        for piece in self.stages.iter_mut().flatten() {
            *piece = Piece::Freed;
        }
        results
    }

    /// Marks the results of a stage as freed and returns them, so that the caller frees them.
    pub fn take_results(&mut self, stage: usize) -> Vec<StoredResult> {
        let results = self.stage_results(std::iter::once(stage));
        for piece in &mut self.stages[stage] {
            if matches!(piece, Piece::Done(_)) {
                *piece = Piece::Freed;
            }
        }
        results
    }

    /// Marks pieces of a stage as pending again: those whose results are lost, or all finished ones
    /// if no result is known to be lost. Stages that they depend on are reset as well if their
    /// results were freed. Returns the results that are no longer used.
    pub fn reset_stage(
        &mut self,
        stage: usize,
        is_lost: &impl Fn(&id::InstanceId) -> bool,
    ) -> Vec<StoredResult> {
        let has_lost_result = self.stages[stage]
            .iter()
            .filter_map(stored_result)
            .any(|result| is_lost(&result.instance));
        let mut discarded = Vec::new();
        for piece in &mut self.stages[stage] {
            let is_discarded = match &piece {
                Piece::Done(result) => !has_lost_result || is_lost(&result.instance),
                Piece::Freed => true,
                Piece::Pending | Piece::InProgress(_) => false,
            };
            if is_discarded {
                discarded.extend(stored_result(piece).cloned());
                *piece = Piece::Pending;
            }
        }
        let route = sync::Arc::clone(&self.route);
        for dependency in &route.stages[stage].depends_on {
            if self.stages[*dependency].contains(&Piece::Freed) {
                discarded.extend(self.reset_stage(*dependency, is_lost));
            }
        }
        discarded
    }
}

/// Returns the result of a piece if an upstream stores it.
fn stored_result(piece: &Piece) -> Option<&StoredResult> {
    match piece {
        Piece::Done(result) => Some(result),
        _ => None,
    }
}

/// Returns the stream that a request begins or resumes.
fn stream_of(arrival: &gateway::Arrival) -> Option<stream_versions::StreamKey> {
    let first = match arrival.last_event {
        Some(_) => arrival.resumes.as_deref()?,
        None => &arrival.external_id,
    };
    Some(stream_versions::StreamKey::of(first))
}

/// Returns a digest that differs for equal requests of different teams. The credentials of a team
/// change.
fn team_content(content: u64, team: Option<&table::Team>) -> u64 {
    team.map_or(content, |team| {
        xxhash_rust::xxh3::xxh3_64_with_seed(team.name.as_str().as_bytes(), content)
    })
}

/// Returns the regions in which the table allows requests of a route and team.
pub fn initial_bound(route: &table::Route, team: Option<&table::Team>) -> table::RegionBound {
    let of_team = team.map(|team| &team.allowed_regions);
    of_team.map_or_else(
        || route.allowed_regions.clone(),
        |of_team| route.allowed_regions.intersect(of_team),
    )
}

/// Makes the initial state of the pieces that a caller asks for, or returns a message for the
/// caller.
fn initial_pieces(
    route: &table::Route,
    arrival: &gateway::Arrival,
) -> Result<Vec<Vec<Piece>>, String> {
    if route.stages.is_empty() {
        return Ok(Vec::new());
    }
    if arrival.piece_counts.len() != route.stages.len() {
        return Err(format!(
            "the request names pieces of {} stages; the route has {}",
            arrival.piece_counts.len(),
            route.stages.len()
        ));
    }
    if arrival.piece_counts.iter().any(|count| *count > MAX_PIECES) {
        return Err(format!("a stage has more than {MAX_PIECES} pieces; send fewer"));
    }
    if arrival.input_key.is_none() {
        return Err("the key of the pieces is missing; send it".to_owned());
    }
    let pieces = arrival.piece_counts.iter().map(|count| vec![Piece::Pending; *count as usize]);
    Ok(pieces.collect())
}
