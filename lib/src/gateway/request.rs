//! A request in progress at a gateway.

use std::collections;
use std::sync;
use std::time;

use crate::batch;
use crate::gateway;
use crate::id;
use crate::placement;
use crate::table;

/// Most pieces of a request that are accepted.
const MAX_PIECES: u32 = 10_000;

/// A result that an upstream keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResult {
    /// The upstream.
    pub instance: id::InstanceId,
    /// Name of the result.
    pub handle: gateway::Handle,
    /// Usual size of it.
    pub size: crate::unit::ByteSize,
}

/// State of one piece.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Piece {
    /// It waits for the stages before its own.
    #[default]
    Pending,
    /// It is being made.
    InProgress(batch::GroupId),
    /// Its result is there.
    Done(StoredResult),
    /// Its result was used and freed.
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
    /// The caller's id of it.
    pub external_id: String,
    /// Its route.
    pub route: sync::Arc<table::Route>,
    /// Service that answers.
    pub service: id::ServiceId,
    /// Region in which its stages are done.
    pub region: id::RegionId,
    /// Team of the caller.
    pub team: Option<id::TeamId>,
    /// Credential that has to hold for as long as work starts.
    pub credential: Option<table::Credential>,
    /// Rank; 0 is the highest.
    pub rank: u8,
    /// When it arrived.
    pub arrived: time::Duration,
    /// When its answer should begin to be on time.
    pub due: time::Duration,
    /// Time until its answer was expected to begin when it was taken in.
    pub estimate: time::Duration,
    /// When its answer has to begin, as the caller gives up then.
    pub start_deadline: time::Duration,
    /// When it has to have its final answer.
    pub deadline: time::Duration,
    /// Parts of the prompt.
    pub prompt_parts: Vec<placement::PromptPart>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Key that stages without inputs work on.
    pub input_key: Option<String>,
    /// Pieces of each stage.
    pub stages: Vec<Vec<Piece>>,
    /// Times that pieces were made again.
    pub remakes: u32,
    /// Call that answers.
    pub call: Option<gateway::CallId>,
    /// Upstreams that were asked for the answer.
    pub tried: collections::BTreeSet<id::InstanceId>,
    /// Upstreams that may have run the request.
    pub possible_runs: u32,
    /// Calls that were made for the answer.
    pub call_count: u32,
    /// Whether any upstream may have run it.
    pub may_have_run: bool,
    /// Whether the caller has the beginning of the answer.
    pub has_begun: bool,
}

impl Request {
    /// Makes the state of a request that has just arrived.
    ///
    /// # Errors
    /// Returns what is wrong with the pieces that the caller names.
    pub fn new(
        now: time::Duration,
        arrival: &gateway::Arrival,
        route: &sync::Arc<table::Route>,
        team: Option<&table::Team>,
        service: id::ServiceId,
        region: id::RegionId,
    ) -> Result<Self, String> {
        let stages = parse_pieces(route, arrival)?;
        let allowed = arrival.budget.map_or(route.timeout, |budget| budget.min(route.timeout));
        Ok(Self {
            external_id: arrival.external_id.clone(),
            route: sync::Arc::clone(route),
            service,
            region,
            team: team.map(|team| team.name.clone()),
            credential: team.and(arrival.credential.clone()),
            rank: team.and_then(|team| team.rank).unwrap_or(route.rank),
            arrived: now,
            due: now + route.target,
            estimate: time::Duration::ZERO,
            start_deadline: now + allowed.min(route.start_timeout),
            deadline: now + allowed,
            prompt_parts: arrival.prompt_parts.clone(),
            last_event: arrival.last_event,
            input_key: arrival.input_key.clone(),
            stages,
            remakes: 0,
            call: None,
            tried: collections::BTreeSet::new(),
            possible_runs: 0,
            call_count: 0,
            may_have_run: false,
            has_begun: false,
        })
    }

    /// Returns the moment at which it is given up in its present state.
    pub fn current_deadline(&self) -> time::Duration {
        if self.has_begun { self.deadline } else { self.start_deadline }
    }

    /// Whether all pieces of a stage have results, or had them until these were used.
    pub fn is_stage_done(&self, stage: usize) -> bool {
        self.stages[stage].iter().all(Piece::is_done)
    }

    /// Returns the stages whose pieces can be made now. A final stage with heavy results waits until
    /// the last stages before the other final ones are being made, so that its results do not lie
    /// about for long.
    pub fn ready_stages(&self) -> Vec<usize> {
        let is_near = self.route.final_stages().all(|stage| {
            self.route.stages[stage].depends_on.iter().all(|before| self.is_stage_started(*before))
        });
        (0..self.stages.len())
            .filter(|stage| self.stages[*stage].contains(&Piece::Pending))
            .filter(|stage| self.are_inputs_done(*stage))
            .filter(|stage| is_near || !self.is_heavy_final(*stage))
            .collect()
    }

    fn is_stage_started(&self, stage: usize) -> bool {
        !self.stages[stage].contains(&Piece::Pending)
    }

    fn are_inputs_done(&self, stage: usize) -> bool {
        self.route.stages[stage].depends_on.iter().all(|before| self.is_stage_done(*before))
    }

    fn is_heavy_final(&self, stage: usize) -> bool {
        self.route.stages[stage].result_size.0 >= batch::HEAVY_BYTES
            && self.route.final_stages().any(|last| last == stage)
    }

    /// Returns the results of all pieces of the given stages, in their order.
    pub fn stage_results(&self, stages: impl Iterator<Item = usize>) -> Vec<StoredResult> {
        stages
            .flat_map(|stage| self.stages[stage].iter())
            .filter_map(stored_result)
            .cloned()
            .collect()
    }

    /// Returns the number of pieces that will go to a service later, before those of late requests.
    pub fn pledged(&self, now: time::Duration, service: &id::ServiceId) -> usize {
        if self.due <= now {
            return 0;
        }
        let stages = self.route.stages.iter().zip(&self.stages);
        let of_service = stages.filter(|(stage, _)| stage.service == *service);
        of_service
            .map(|(_, pieces)| pieces.iter().filter(|piece| **piece == Piece::Pending).count())
            .sum()
    }

    /// Returns the groups in which pieces are being made.
    pub fn groups(&self) -> collections::BTreeSet<batch::GroupId> {
        let asked = self.stages.iter().flatten().filter_map(|piece| match piece {
            Piece::InProgress(group) => Some(*group),
            _ => None,
        });
        asked.collect()
    }

    /// Whether results that the run itself needs were freed.
    pub fn has_freed_results(&self) -> bool {
        self.route.final_stages().any(|stage| self.stages[stage].contains(&Piece::Freed))
    }

    /// Returns the results that upstreams still keep.
    pub fn all_results(&self) -> Vec<StoredResult> {
        self.stage_results(0..self.stages.len())
    }

    /// Marks the results of a stage as used and returns them.
    pub fn take_results(&mut self, stage: usize) -> Vec<StoredResult> {
        let used = self.stage_results(std::iter::once(stage));
        for piece in &mut self.stages[stage] {
            if matches!(piece, Piece::Done(_)) {
                *piece = Piece::Freed;
            }
        }
        used
    }

    /// Makes those pieces of a stage wait again whose results are lost, or all of them if none is
    /// known to be; stages before it follow where their results were used. Returns the results that
    /// are given up.
    pub fn reset_stage(
        &mut self,
        stage: usize,
        is_lost: &impl Fn(&id::InstanceId) -> bool,
    ) -> Vec<StoredResult> {
        let knows =
            self.stages[stage].iter().filter_map(stored_result).any(|kept| is_lost(&kept.instance));
        let mut given_up = Vec::new();
        for piece in &mut self.stages[stage] {
            let gives_up = match &piece {
                Piece::Done(kept) => !knows || is_lost(&kept.instance),
                Piece::Freed => true,
                Piece::Pending | Piece::InProgress(_) => false,
            };
            if gives_up {
                given_up.extend(stored_result(piece).cloned());
                *piece = Piece::Pending;
            }
        }
        let route = sync::Arc::clone(&self.route);
        for before in &route.stages[stage].depends_on {
            if self.stages[*before].contains(&Piece::Freed) {
                given_up.extend(self.reset_stage(*before, is_lost));
            }
        }
        given_up
    }
}

fn stored_result(piece: &Piece) -> Option<&StoredResult> {
    match piece {
        Piece::Done(kept) => Some(kept),
        _ => None,
    }
}

fn parse_pieces(
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
