//! Parses and validates the operators' configuration text, and reports all of its errors at once.

use std::collections;

use crate::auth;
use crate::config;
use crate::diagnostic;
use crate::id;
use crate::template;
use crate::unit;

/// Parses and validates a configuration text.
///
/// # Errors
/// Returns all errors found. A value that cannot be read is itself an error; only the checks that
/// need it are skipped.
pub fn parse(text: &str) -> Result<config::Config, diagnostic::Diagnostics> {
    let mut collector = diagnostic::Collector::default();
    let Some(value) = diagnostic::parse_json(text, &mut collector) else {
        return collector.finish(config::Config::default());
    };
    let config = read_sections(&value, &mut collector);
    check_version(&config, &value, &mut collector);
    check_regions(&config, &mut collector);
    check_limits(&config, &mut collector);
    check_teams(&config, &value, &mut collector);
    check_services(&config, &value, &mut collector);
    check_pipelines(&config, &value, &mut collector);
    collector.finish(config)
}

/// Deserializes each section of the text on its own, so that errors in one do not hide others.
fn read_sections(
    value: &serde_json::Value,
    collector: &mut diagnostic::Collector,
) -> config::Config {
    let mut config = config::Config::default();
    let Some(fields) = value.as_object() else {
        collector.add("", "not an object", "write the sections inside `{` and `}`");
        return config;
    };
    for (name, section) in fields {
        let pointer = format!("/{name}");
        match name.as_str() {
            "version" => config.version = collector.read(&pointer, section).unwrap_or_default(),
            "limits" => config.limits = collector.read(&pointer, section).unwrap_or_default(),
            "policy" => config.policy = collector.read(&pointer, section).unwrap_or_default(),
            "openai" => config.openai = collector.read(&pointer, section).unwrap_or_default(),
            "regions" => config.regions = read_map(&pointer, section, collector),
            "teams" => config.teams = read_map(&pointer, section, collector),
            "services" => config.services = read_map(&pointer, section, collector),
            "pipelines" => config.pipelines = read_map(&pointer, section, collector),
            _ => collector.add(pointer, "unknown field", "remove it or correct its spelling"),
        }
    }
    config
}

/// Deserializes a section that maps names to entries; invalid entries are left out.
fn read_map<K, V>(
    pointer: &str,
    section: &serde_json::Value,
    collector: &mut diagnostic::Collector,
) -> collections::BTreeMap<K, V>
where
    K: Ord + std::str::FromStr<Err = id::IdError>,
    V: serde::de::DeserializeOwned,
{
    let mut map = collections::BTreeMap::new();
    let Some(fields) = section.as_object() else {
        collector.add(pointer, "not an object", "write one entry per name inside `{` and `}`");
        return map;
    };
    for (name, value) in fields {
        let pointer = format!("{pointer}/{name}");
        let key = name.parse::<K>();
        let value = collector.read(&pointer, value);
        match (key, value) {
            (Ok(key), Some(value)) => {
                map.insert(key, value);
            }
            (Err(e), _) => collector.add(pointer, e, "rename the entry"),
            (Ok(_), None) => {}
        }
    }
    map
}

/// Returns whether the section of the text has an entry of that name, even an invalid one.
fn is_named(value: &serde_json::Value, section: &str, name: &str) -> bool {
    value.get(section).and_then(|s| s.get(name)).is_some()
}

fn check_version(
    config: &config::Config,
    value: &serde_json::Value,
    collector: &mut diagnostic::Collector,
) {
    let supported = config::FORMAT_VERSION;
    if value.get("version").is_none() {
        collector.add("/version", "missing", format!("add `\"version\": {supported}`"));
    } else if config.version != supported {
        let remedy = format!("write {supported}, or use a build that supports the version");
        collector.add("/version", format!("version {} is not known", config.version), remedy);
    }
}

fn check_regions(config: &config::Config, collector: &mut diagnostic::Collector) {
    let mut region_by_domain = collections::BTreeMap::new();
    if config.regions.is_empty() {
        collector.add("/regions", "no region", "name at least one region with its failure domains");
    }
    for (name, region) in &config.regions {
        let pointer = format!("/regions/{name}/domains");
        if region.domains.is_empty() {
            collector.add(&pointer, "no failure domain", "name at least one failure domain");
        }
        for domain in &region.domains {
            if let Some(other) = region_by_domain.insert(domain.clone(), name.clone()) {
                let problem = format!("duplicate id `{domain}`, also in region `{other}`");
                collector.add(&pointer, problem, "list a failure domain in one region only");
            }
        }
    }
}

fn check_limits(config: &config::Config, collector: &mut diagnostic::Collector) {
    let limits = &config.limits;
    let positive = [
        ("deadline_ms", limits.deadline_ms.0),
        ("body_bytes", limits.body_bytes.0),
        ("answer_bytes", limits.answer_bytes.0),
        ("requests", u64::from(limits.requests)),
        ("key_ms", limits.key_ms.0),
        ("ledger_entries", u64::from(limits.ledger_entries)),
    ];
    for (field, value) in positive {
        if value == 0 {
            collector.add(format!("/limits/{field}"), "zero", "write a number above zero");
        }
    }
    if limits.lease_ms.0 < 3_000 {
        collector.add(
            "/limits/lease_ms",
            "a lease shorter than 3000 ms expires between two renewals",
            "write 3000 or more",
        );
    }
    if limits.key_ms.0 <= limits.deadline_ms.0 + 2 * limits.skew_ms.0 {
        collector.add(
            "/limits/key_ms",
            "keys would expire while their request may still run",
            "write more than deadline_ms + 2 * skew_ms",
        );
    }
    check_share("/limits/retry_share", limits.retry_share, collector);
    check_share("/policy/eject_share", config.policy.eject_share, collector);
    if config.policy.subset == 0 {
        collector.add("/policy/subset", "zero", "write how many upstreams an entry may connect to");
    }
}

fn check_share(pointer: &str, share: unit::Share, collector: &mut diagnostic::Collector) {
    if !(0.0..=1.0).contains(&share.0) {
        collector.add(pointer, format!("{share} is not a share"), "write a number from 0 to 1");
    }
}

/// Checks the teams. There may be none: so the last credential can be revoked, and no caller is
/// accepted any more. The section itself must be there.
fn check_teams(
    config: &config::Config,
    value: &serde_json::Value,
    collector: &mut diagnostic::Collector,
) {
    let mut team_by_digest = collections::BTreeMap::new();
    if value.get("teams").is_none() {
        collector.add("/teams", "missing", "add the teams, or `{}` to accept no caller");
    }
    for (name, team) in &config.teams {
        let pointer = format!("/teams/{name}/credential_sha256");
        if auth::parse_digest(&team.credential_sha256).is_none() {
            let remedy = "write the SHA-256 of the credential as 64 hexadecimal digits";
            collector.add(&pointer, "not a SHA-256 digest", remedy);
        }
        if let Some(other) = team_by_digest.insert(team.credential_sha256.clone(), name) {
            let problem = format!("same credential as team `{other}`");
            collector.add(&pointer, problem, "give each team a credential of its own");
        }
        if team.weight == 0 {
            collector.add(format!("/teams/{name}/weight"), "zero", "write 1 or more");
        }
        if team.rate.is_some_and(|r| r.0 <= 0.0) {
            let remedy = "write a rate above zero, or leave it out for no limit";
            collector.add(format!("/teams/{name}/rate"), "not above zero", remedy);
        }
    }
}

fn check_services(
    config: &config::Config,
    value: &serde_json::Value,
    collector: &mut diagnostic::Collector,
) {
    if config.services.is_empty() {
        collector.add("/services", "no service", "add at least one service");
    }
    for (name, service) in &config.services {
        let pointer = format!("/services/{name}");
        if !service.path.starts_with('/') {
            collector.add(format!("{pointer}/path"), "not an absolute path", "start it with `/`");
        }
        if service.concurrency == 0 {
            let remedy = "write how many calls an upstream takes at a time";
            collector.add(
                format!("{pointer}/concurrency"),
                "empty pool: no call could run",
                remedy,
            );
        }
        if service.can_resume && !service.idempotent {
            let remedy = "set `resumes` to false";
            collector.add(
                format!("{pointer}/resumes"),
                "a service that is not idempotent cannot resume streams",
                remedy,
            );
        }
        if service.order.as_ref().is_some_and(|order| order.model.is_empty()) {
            let remedy = "name the model with its version, or leave the order out";
            collector.add(format!("{pointer}/order/model"), "the order has no model", remedy);
        }
        for other in &service.depends_on {
            check_service_name(&format!("{pointer}/depends_on"), other, value, collector);
        }
    }
    let openai_services = [
        ("chat", &config.openai.chat),
        ("embeddings", &config.openai.embeddings),
        ("rerank", &config.openai.rerank),
    ];
    for (field, service) in openai_services {
        if let Some(service) = service {
            check_service_name(&format!("/openai/{field}"), service, value, collector);
        }
    }
    let edges = config.services.iter().map(|(name, s)| (name, &s.depends_on)).collect();
    if let Some(name) = find_cycle(&edges) {
        let remedy = "remove one of the dependencies that form the cycle";
        collector.add(format!("/services/{name}/depends_on"), "dependency cycle", remedy);
    }
}

fn check_service_name(
    pointer: &str,
    name: &id::ServiceId,
    value: &serde_json::Value,
    collector: &mut diagnostic::Collector,
) {
    if !is_named(value, "services", name.as_str()) {
        let problem = format!("unknown service `{name}`");
        collector.add(pointer, problem, "add it under /services or correct the name");
    }
}

fn check_pipelines(
    config: &config::Config,
    value: &serde_json::Value,
    collector: &mut diagnostic::Collector,
) {
    for (name, pipeline) in &config.pipelines {
        let pointer = format!("/pipelines/{name}");
        if pipeline.stages.is_empty() {
            collector.add(format!("{pointer}/stages"), "no stage", "add at least one stage");
        }
        if !pipeline.stages.contains_key(&pipeline.answer_stage) {
            let problem = format!("unknown stage `{}`", pipeline.answer_stage);
            collector.add(format!("{pointer}/answer"), problem, "name one of the stages");
        }
        for (stage_name, stage) in &pipeline.stages {
            let pointer = format!("{pointer}/stages/{stage_name}");
            check_service_name(&format!("{pointer}/service"), &stage.service, value, collector);
            check_after(&pointer, pipeline, stage, collector);
        }
        let edges = pipeline.stages.iter().map(|(name, s)| (name, &s.after)).collect();
        if let Some(stage) = find_cycle(&edges) {
            let remedy = "remove one of the `after` entries that form the cycle";
            collector.add(format!("{pointer}/stages/{stage}/after"), "dependency cycle", remedy);
        } else {
            check_deadline(config, &pointer, pipeline, collector);
        }
    }
}

/// Checks that a stage depends on existing stages only, and on all stages that its input template
/// reads.
fn check_after(
    pointer: &str,
    pipeline: &config::Pipeline,
    stage: &config::Stage,
    collector: &mut diagnostic::Collector,
) {
    for other in &stage.after {
        if !pipeline.stages.contains_key(other) {
            let problem = format!("unknown stage `{other}`");
            collector.add(
                format!("{pointer}/after"),
                problem,
                "name another stage of the pipeline",
            );
        }
    }
    let Some(input) = &stage.input else { return };
    for other in template::referenced_stages(input) {
        if !stage.after.iter().any(|s| s.as_str() == other) {
            let problem = format!("reads stage `{other}`, which it does not wait for");
            collector.add(format!("{pointer}/input"), problem, "add the stage to `after`");
        }
    }
}

/// Checks that a pipeline's deadline lies between the shortest possible time of its stages and the
/// limit for all requests.
fn check_deadline(
    config: &config::Config,
    pointer: &str,
    pipeline: &config::Pipeline,
    collector: &mut diagnostic::Collector,
) {
    let pointer = format!("{pointer}/deadline_ms");
    let minimum = longest_path(config, pipeline);
    if pipeline.deadline_ms < minimum {
        let problem = format!("{} is shorter than the stages' minimums", pipeline.deadline_ms);
        collector.add(&pointer, problem, format!("write {} or more", minimum.0));
    }
    if pipeline.deadline_ms > config.limits.deadline_ms {
        let problem = format!("{} is above /limits/deadline_ms", pipeline.deadline_ms);
        collector.add(&pointer, problem, "lower it or raise the limit");
    }
}

/// Returns the largest sum of the stages' minimum times along any path through the graph.
fn longest_path(config: &config::Config, pipeline: &config::Pipeline) -> unit::Millis {
    let mut finish: collections::BTreeMap<&id::StageId, u64> = collections::BTreeMap::new();
    // The graph has no cycle, so each pass determines the finish time of at least one more stage.
    for _ in 0..pipeline.stages.len() {
        for (name, stage) in &pipeline.stages {
            let start = stage.after.iter().filter_map(|s| finish.get(s)).max().copied();
            let minimum = config.services.get(&stage.service).map_or(0, |s| s.minimum_ms.0);
            finish.insert(name, start.unwrap_or(0) + minimum);
        }
    }
    unit::Millis(finish.values().max().copied().unwrap_or(0))
}

/// Returns a node that is on a cycle or depends on one, or `None` if the graph has no cycle.
///
/// Repeatedly removes the nodes that depend on no remaining node.
fn find_cycle<'a, K: Ord>(
    edges: &collections::BTreeMap<&'a K, &'a collections::BTreeSet<K>>,
) -> Option<&'a K> {
    let mut remaining: collections::BTreeSet<&K> = edges.keys().copied().collect();
    loop {
        let removable: Vec<&K> = remaining
            .iter()
            .copied()
            .filter(|k| edges[*k].iter().all(|d| !remaining.contains(d)))
            .collect();
        if removable.is_empty() {
            return remaining.first().copied();
        }
        for key in removable {
            remaining.remove(key);
        }
        if remaining.is_empty() {
            return None;
        }
    }
}
