//! What has to run for a request, taken from the configuration when the request arrives.

use std::collections;
use std::sync;

use crate::config;
use crate::id;
use crate::unit;

/// What a caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A pipeline.
    Pipeline(id::PipelineId),
    /// A service.
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

/// Position of a stage in its plan.
pub type StageIndex = usize;

/// One stage of a plan.
#[derive(Clone, Debug)]
pub struct Step {
    /// Name of the stage.
    pub name: id::StageId,
    /// Service that runs it.
    pub service: id::ServiceId,
    /// Settings of the service.
    pub service_config: config::Service,
    /// Template of the body.
    pub input_template: Option<serde_json::Value>,
    /// Stages that have to end first.
    pub after: Vec<StageIndex>,
    /// Least time from the end of this stage to the end of the request.
    pub reserve: unit::Millis,
}

/// Stages of one request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The stages.
    pub steps: Vec<Step>,
    /// Stage whose answer goes to the caller.
    pub answer_stage: StageIndex,
    /// Longest time for the request.
    pub deadline: unit::Millis,
    /// Least time for the request.
    pub minimum: unit::Millis,
}

impl Plan {
    /// Whether some stage's calls may run only once, so that idempotency keys count.
    pub fn has_once_stage(&self) -> bool {
        self.steps.iter().any(|step| !step.service_config.idempotent)
    }
}

/// Makes the plan of a target, or nothing if the configuration has no such target.
pub fn plan(config: &config::Config, target: &Target) -> Option<sync::Arc<Plan>> {
    match target {
        Target::Pipeline(name) => plan_pipeline(config, config.pipelines.get(name)?),
        Target::Service(name) => plan_service(config, name),
    }
}

fn plan_service(config: &config::Config, name: &id::ServiceId) -> Option<sync::Arc<Plan>> {
    let rules = config.services.get(name)?.clone();
    let minimum = rules.minimum_ms;
    let step = Step {
        name: name.as_str().parse().ok()?,
        service: name.clone(),
        service_config: rules,
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
    let answer = index(&pipeline.answer_stage)?;
    Some(sync::Arc::new(Plan {
        steps,
        answer_stage: answer,
        deadline: pipeline.deadline_ms,
        minimum,
    }))
}

/// Sets each stage's reserve to the slowest way of minimums behind it, and returns the slowest way
/// through the whole plan.
fn set_reserves(steps: &mut [Step]) -> unit::Millis {
    let mut total = 0;
    // Without cycles each pass settles at least one more stage, the last ones first.
    for _ in 0..steps.len() {
        for index in 0..steps.len() {
            let own = steps[index].reserve.0 + steps[index].service_config.minimum_ms.0;
            total = total.max(own);
            for before in steps[index].after.clone() {
                let reserve = &mut steps[before].reserve;
                reserve.0 = reserve.0.max(own);
            }
        }
    }
    unit::Millis(total)
}

/// Returns the stages that may start: all they need has ended, and they have not started.
pub fn ready_stages(
    plan: &Plan,
    done: &collections::BTreeSet<StageIndex>,
    started: &collections::BTreeSet<StageIndex>,
) -> Vec<StageIndex> {
    let steps = plan.steps.iter().enumerate();
    steps
        .filter(|(index, step)| {
            !started.contains(index) && step.after.iter().all(|before| done.contains(before))
        })
        .map(|(index, _)| index)
        .collect()
}
