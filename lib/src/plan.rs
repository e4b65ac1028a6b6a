//! Execution plan of a request, derived from the configuration when the request arrives.

use std::collections;
use std::sync;

use crate::config;
use crate::id;
use crate::unit;

/// What a request is addressed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A pipeline of stages.
    Pipeline(id::PipelineId),
    /// A single service, as a plan of one stage.
    Service(id::ServiceId),
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Pipeline(name) => write!(f, "pipeline/{name}"),
            Self::Service(name) => write!(f, "service/{name}"),
        }
    }
}

/// Index of a stage in its plan.
pub type StageIndex = usize;

/// One stage of a plan.
#[derive(Clone, Debug)]
pub struct Step {
    /// Name of the stage in the configuration.
    pub name: id::StageId,
    /// Service that runs the stage.
    pub service: id::ServiceId,
    /// Configuration of the service as of the request's arrival.
    pub service_config: config::Service,
    /// Template for the body of the stage's calls; `None` passes the caller's body on.
    pub input_template: Option<serde_json::Value>,
    /// Stages that have to end before this one starts.
    pub after: Vec<StageIndex>,
    /// Minimum time from the end of this stage to the end of the request.
    pub reserve: unit::Millis,
}

/// Stages of one request and its time limits.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Stages of the plan; other fields refer to them by index.
    pub steps: Vec<Step>,
    /// Stage whose answer is sent to the caller.
    pub answer_stage: StageIndex,
    /// Maximum time that the configuration allows for the request.
    pub deadline: unit::Millis,
    /// Minimum time that the request needs.
    pub minimum: unit::Millis,
}

impl Plan {
    /// Returns whether calls of any stage may run only once. If so, requests need idempotency keys
    /// to be retried safely.
    pub fn has_once_stage(&self) -> bool {
        self.steps.iter().any(|step| !step.service_config.idempotent)
    }
}

/// Makes the plan of a target. Returns `None` if the configuration has no such target.
pub fn plan(config: &config::Config, target: &Target) -> Option<sync::Arc<Plan>> {
    match target {
        Target::Pipeline(name) => plan_pipeline(config, config.pipelines.get(name)?),
        Target::Service(name) => plan_service(config, name),
    }
}

fn plan_service(config: &config::Config, name: &id::ServiceId) -> Option<sync::Arc<Plan>> {
    let service_config = config.services.get(name)?.clone();
    let minimum = service_config.minimum_ms;
    let step = Step {
        name: name.as_str().parse().ok()?,
        service: name.clone(),
        service_config,
        input_template: None,
        after: Vec::new(),
        reserve: unit::Millis(0),
    };
    let deadline = config.limits.deadline_ms;
    Some(sync::Arc::new(Plan { steps: vec![step], answer_stage: 0, deadline, minimum }))
}

fn plan_pipeline(config: &config::Config, pipeline: &config::Pipeline) -> Option<sync::Arc<Plan>> {
    let names: Vec<_> = pipeline.stages.keys().collect();
    let index = |name: &id::StageId| names.iter().position(|other| *other == name);
    let mut steps = Vec::new();
    for (name, stage) in &pipeline.stages {
        steps.push(Step {
            name: name.clone(),
            service: stage.service.clone(),
            service_config: config.services.get(&stage.service)?.clone(),
            input_template: stage.input.clone(),
            after: stage.after.iter().map(index).collect::<Option<_>>()?,
            reserve: unit::Millis(0),
        });
    }
    let minimum = set_reserves(&mut steps);
    let answer_stage = index(&pipeline.answer_stage)?;
    Some(sync::Arc::new(Plan { steps, answer_stage, deadline: pipeline.deadline_ms, minimum }))
}

/// Sets the reserve of each stage to the longest path of minimum times after it. Returns the
/// longest path through the whole plan.
fn set_reserves(steps: &mut [Step]) -> unit::Millis {
    let mut total = 0;
    // As the stages form no cycle, each pass settles at least one more stage, starting with the
    // last ones.
    for _ in 0..steps.len() {
        for index in 0..steps.len() {
            let path = steps[index].reserve.0 + steps[index].service_config.minimum_ms.0;
            total = total.max(path);
            for dependency in steps[index].after.clone() {
                let reserve = &mut steps[dependency].reserve;
                reserve.0 = reserve.0.max(path);
            }
        }
    }
    unit::Millis(total)
}

/// Returns the stages that can start: they have not started, and all stages that they need are
/// done.
pub fn ready_stages(
    plan: &Plan,
    done: &collections::BTreeSet<StageIndex>,
    started: &collections::BTreeSet<StageIndex>,
) -> Vec<StageIndex> {
    let steps = plan.steps.iter().enumerate();
    steps
        .filter(|(index, step)| {
            !started.contains(index)
                && step.after.iter().all(|dependency| done.contains(dependency))
        })
        .map(|(index, _)| index)
        .collect()
}
