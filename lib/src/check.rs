//! Reads and checks the operators' text and lists every fault in it, not just the first.

use std::collections;

use crate::auth;
use crate::config;
use crate::diagnostic;
use crate::id;
use crate::template;
use crate::unit;

/// Reads and checks the operators' text.
///
/// # Errors
/// Returns every fault found. Those of a value hide only those checks that need that value.
pub fn parse(text: &str) -> Result<config::Config, diagnostic::Diagnostics> {
    let mut report = diagnostic::Collector::default();
    let Some(value) = diagnostic::parse_json(text, &mut report) else {
        return report.finish(config::Config::default());
    };
    let config = read_sections(&value, &mut report);
    check_version(&config, &value, &mut report);
    check_regions(&config, &mut report);
    check_limits(&config, &mut report);
    check_teams(&config, &mut report);
    check_services(&config, &value, &mut report);
    check_pipelines(&config, &value, &mut report);
    report.finish(config)
}

fn read_sections(value: &serde_json::Value, report: &mut diagnostic::Collector) -> config::Config {
    let mut config = config::Config::default();
    let Some(fields) = value.as_object() else {
        report.add("", "not an object", "write the sections inside `{` and `}`");
        return config;
    };
    for (name, section) in fields {
        let pointer = format!("/{name}");
        match name.as_str() {
            "version" => config.version = report.read(&pointer, section).unwrap_or_default(),
            "limits" => config.limits = report.read(&pointer, section).unwrap_or_default(),
            "policy" => config.policy = report.read(&pointer, section).unwrap_or_default(),
            "openai" => config.openai = report.read(&pointer, section).unwrap_or_default(),
            "regions" => config.regions = read_map(&pointer, section, report),
            "teams" => config.teams = read_map(&pointer, section, report),
            "services" => config.services = read_map(&pointer, section, report),
            "pipelines" => config.pipelines = read_map(&pointer, section, report),
            _ => report.add(pointer, "unknown field", "remove it or correct its spelling"),
        }
    }
    config
}

fn read_map<K, V>(
    pointer: &str,
    section: &serde_json::Value,
    report: &mut diagnostic::Collector,
) -> collections::BTreeMap<K, V>
where
    K: Ord + std::str::FromStr<Err = id::IdError>,
    V: serde::de::DeserializeOwned,
{
    let mut map = collections::BTreeMap::new();
    let Some(fields) = section.as_object() else {
        report.add(pointer, "not an object", "write one entry per name inside `{` and `}`");
        return map;
    };
    for (name, value) in fields {
        let place = format!("{pointer}/{name}");
        let key = name.parse::<K>();
        let value = report.read(&place, value);
        match (key, value) {
            (Ok(key), Some(value)) => {
                map.insert(key, value);
            }
            (Err(e), _) => report.add(place, e, "rename the entry"),
            (Ok(_), None) => {}
        }
    }
    map
}

/// Whether the text names the entry, even if the entry itself has a fault.
fn is_named(value: &serde_json::Value, section: &str, name: &str) -> bool {
    value.get(section).and_then(|s| s.get(name)).is_some()
}

fn check_version(
    config: &config::Config,
    value: &serde_json::Value,
    report: &mut diagnostic::Collector,
) {
    let known = config::FORMAT_VERSION;
    if value.get("version").is_none() {
        report.add("/version", "missing", format!("add `\"version\": {known}`"));
    } else if config.version != known {
        let remedy = format!("write {known}, or use a build that knows the version");
        report.add("/version", format!("version {} is not known", config.version), remedy);
    }
}

fn check_regions(config: &config::Config, report: &mut diagnostic::Collector) {
    let mut owner = collections::BTreeMap::new();
    if config.regions.is_empty() {
        report.add("/regions", "no region", "name at least one region with its failure domains");
    }
    for (name, region) in &config.regions {
        let place = format!("/regions/{name}/domains");
        if region.domains.is_empty() {
            report.add(&place, "no failure domain", "name at least one failure domain");
        }
        for domain in &region.domains {
            if let Some(other) = owner.insert(domain.clone(), name.clone()) {
                let problem = format!("duplicate id `{domain}`, also in region `{other}`");
                report.add(&place, problem, "list a failure domain in one region only");
            }
        }
    }
}

fn check_limits(config: &config::Config, report: &mut diagnostic::Collector) {
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
            report.add(format!("/limits/{field}"), "zero", "write a number above zero");
        }
    }
    if limits.lease_ms.0 < 3_000 {
        report.add(
            "/limits/lease_ms",
            "a lease shorter than 3000 ms lapses between two renewals",
            "write 3000 or more",
        );
    }
    if limits.key_ms.0 <= limits.deadline_ms.0 + 2 * limits.skew_ms.0 {
        report.add(
            "/limits/key_ms",
            "keys would be forgotten while their request may still run",
            "write more than deadline_ms + 2 * skew_ms",
        );
    }
    check_share("/limits/retry_share", limits.retry_share, report);
    check_share("/policy/eject_share", config.policy.eject_share, report);
    if config.policy.subset == 0 {
        report.add("/policy/subset", "zero", "write how many upstreams an entry may connect to");
    }
}

fn check_share(pointer: &str, share: unit::Share, report: &mut diagnostic::Collector) {
    if !(0.0..=1.0).contains(&share.0) {
        report.add(pointer, format!("{share} is not a share"), "write a number from 0 to 1");
    }
}

fn check_teams(config: &config::Config, report: &mut diagnostic::Collector) {
    let mut seen = collections::BTreeMap::new();
    if config.teams.is_empty() {
        report.add("/teams", "no team", "add at least one team with its credential_sha256");
    }
    for (name, team) in &config.teams {
        let place = format!("/teams/{name}/credential_sha256");
        if auth::parse_digest(&team.credential_sha256).is_none() {
            let remedy = "write the SHA-256 of the credential as 64 hexadecimal digits";
            report.add(&place, "not a SHA-256 digest", remedy);
        }
        if let Some(other) = seen.insert(team.credential_sha256.clone(), name) {
            let problem = format!("same credential as team `{other}`");
            report.add(&place, problem, "give each team a credential of its own");
        }
        if team.weight == 0 {
            report.add(format!("/teams/{name}/weight"), "zero", "write 1 or more");
        }
        if team.rate.is_some_and(|r| r.0 <= 0.0) {
            let remedy = "write a rate above zero, or leave it out for no limit";
            report.add(format!("/teams/{name}/rate"), "not above zero", remedy);
        }
    }
}

fn check_services(
    config: &config::Config,
    value: &serde_json::Value,
    report: &mut diagnostic::Collector,
) {
    if config.services.is_empty() {
        report.add("/services", "no service", "add at least one service");
    }
    for (name, service) in &config.services {
        let place = format!("/services/{name}");
        if !service.path.starts_with('/') {
            report.add(format!("{place}/path"), "not an absolute path", "start it with `/`");
        }
        if service.concurrency == 0 {
            let remedy = "write how many calls an upstream takes at a time";
            report.add(format!("{place}/concurrency"), "empty pool: no call could run", remedy);
        }
        if service.can_resume && !service.idempotent {
            let remedy = "set `resumes` to false";
            report.add(format!("{place}/resumes"), "a call that may run once resumes", remedy);
        }
        if service.order.as_ref().is_some_and(|order| order.model.is_empty()) {
            let remedy = "name the model with its version, or leave the order out";
            report.add(format!("{place}/order/model"), "an order without a model", remedy);
        }
        for other in &service.depends_on {
            check_service_name(&format!("{place}/depends_on"), other, value, report);
        }
    }
    let named = [
        ("chat", &config.openai.chat),
        ("embeddings", &config.openai.embeddings),
        ("rerank", &config.openai.rerank),
    ];
    for (field, service) in named {
        if let Some(service) = service {
            check_service_name(&format!("/openai/{field}"), service, value, report);
        }
    }
    let edges = config.services.iter().map(|(name, s)| (name, &s.depends_on)).collect();
    if let Some(name) = find_cycle(&edges) {
        let remedy = "remove one of the dependencies on the way";
        report.add(format!("/services/{name}/depends_on"), "dependency cycle", remedy);
    }
}

fn check_service_name(
    pointer: &str,
    name: &id::ServiceId,
    value: &serde_json::Value,
    report: &mut diagnostic::Collector,
) {
    if !is_named(value, "services", name.as_str()) {
        let problem = format!("unknown service `{name}`");
        report.add(pointer, problem, "add it under /services or correct the name");
    }
}

fn check_pipelines(
    config: &config::Config,
    value: &serde_json::Value,
    report: &mut diagnostic::Collector,
) {
    for (name, pipeline) in &config.pipelines {
        let place = format!("/pipelines/{name}");
        if pipeline.stages.is_empty() {
            report.add(format!("{place}/stages"), "no stage", "add at least one stage");
        }
        if !pipeline.stages.contains_key(&pipeline.answer_stage) {
            let problem = format!("unknown stage `{}`", pipeline.answer_stage);
            report.add(format!("{place}/answer"), problem, "name one of the stages");
        }
        for (stage_name, stage) in &pipeline.stages {
            let place = format!("{place}/stages/{stage_name}");
            check_service_name(&format!("{place}/service"), &stage.service, value, report);
            check_after(&place, pipeline, stage, report);
        }
        let edges = pipeline.stages.iter().map(|(name, s)| (name, &s.after)).collect();
        if let Some(stage) = find_cycle(&edges) {
            let remedy = "remove one of the `after` entries on the way";
            report.add(format!("{place}/stages/{stage}/after"), "dependency cycle", remedy);
        } else {
            check_deadline(config, &place, pipeline, report);
        }
    }
}

fn check_after(
    place: &str,
    pipeline: &config::Pipeline,
    stage: &config::Stage,
    report: &mut diagnostic::Collector,
) {
    for other in &stage.after {
        if !pipeline.stages.contains_key(other) {
            let problem = format!("unknown stage `{other}`");
            report.add(format!("{place}/after"), problem, "name another stage of the pipeline");
        }
    }
    let Some(input) = &stage.input else { return };
    for other in template::referenced_stages(input) {
        if !stage.after.iter().any(|s| s.as_str() == other) {
            let problem = format!("reads stage `{other}`, which it does not wait for");
            report.add(format!("{place}/input"), problem, "add the stage to `after`");
        }
    }
}

fn check_deadline(
    config: &config::Config,
    place: &str,
    pipeline: &config::Pipeline,
    report: &mut diagnostic::Collector,
) {
    let place = format!("{place}/deadline_ms");
    let least = longest_path(config, pipeline);
    if pipeline.deadline_ms < least {
        let problem = format!("{} is shorter than the stages' minimums", pipeline.deadline_ms);
        report.add(&place, problem, format!("write {} or more", least.0));
    }
    if pipeline.deadline_ms > config.limits.deadline_ms {
        let problem = format!("{} is above /limits/deadline_ms", pipeline.deadline_ms);
        report.add(&place, problem, "lower it or raise the limit");
    }
}

/// Returns the sum of the stages' minimums along the slowest way through the graph.
fn longest_path(config: &config::Config, pipeline: &config::Pipeline) -> unit::Millis {
    let mut finish: collections::BTreeMap<&id::StageId, u64> = collections::BTreeMap::new();
    // The graph has no cycle, so that each pass completes at least one stage.
    for _ in 0..pipeline.stages.len() {
        for (name, stage) in &pipeline.stages {
            let start = stage.after.iter().filter_map(|s| finish.get(s)).max().copied();
            let own = config.services.get(&stage.service).map_or(0, |s| s.minimum_ms.0);
            finish.insert(name, start.unwrap_or(0) + own);
        }
    }
    unit::Millis(finish.values().max().copied().unwrap_or(0))
}

/// Returns a member of a cycle, if the graph has one.
fn find_cycle<'a, K: Ord>(
    edges: &collections::BTreeMap<&'a K, &'a collections::BTreeSet<K>>,
) -> Option<&'a K> {
    let mut left: collections::BTreeSet<&K> = edges.keys().copied().collect();
    loop {
        let free: Vec<&K> =
            left.iter().copied().filter(|k| edges[*k].iter().all(|d| !left.contains(d))).collect();
        if free.is_empty() {
            return left.first().copied();
        }
        for key in free {
            left.remove(key);
        }
        if left.is_empty() {
            return None;
        }
    }
}
