//! Tests of the rate limit for cold upstreams: what all gateways together send, whatever each of them
//! knows about the others.

use std::collections;
use std::time;

use bramleyshelf_lib::{cold, fleet, id, roster, unit};
use bramleyshelf_testutils::values::{ms, name};

const LIMIT: cold::Limit = cold::Limit { per_second: 17.0, excess: 1.5, slack: 5.0 };
const DOMAINS: [(&str, &str); 6] =
    [("a", "east"), ("b", "east"), ("c", "east"), ("d", "west"), ("e", "west"), ("f", "west")];
const GATEWAYS: usize = 31;
/// Time step of the simulations.
const STEP: time::Duration = time::Duration::from_millis(20);
/// Calls that a gateway has for each upstream in each step: more than it may send in a second.
const MAX_CALLS: usize = 6;
/// Time after which the store deletes a gateway that does not renew its announcement.
const LEASE: time::Duration = time::Duration::from_secs(3);

fn regions() -> collections::BTreeMap<id::DomainId, id::RegionId> {
    DOMAINS.iter().map(|(domain, region)| (name(domain), name(region))).collect()
}

fn peer(index: usize) -> roster::Peer {
    roster::Peer {
        instance: name(&format!("g{index}")),
        address: "10.0.0.1:81".parse().expect("an address"),
        domain: name(DOMAINS[index % DOMAINS.len()].0),
        weight: 100 + u32::try_from(index).expect("few gateways"),
    }
}

fn listed(index: usize) -> (id::InstanceId, cold::Gateway) {
    let region = Some(name(DOMAINS[index % DOMAINS.len()].1));
    (name(&format!("g{index}")), cold::Gateway { region, peer: peer(index) })
}

fn target(region: &str, order: cold::Order) -> cold::Target {
    cold::Target { region: Some(name(region)), holders: LIMIT.holders(), order }
}

/// Calls to one upstream, by all gateways.
#[derive(Default)]
struct Arrivals(Vec<time::Duration>);

impl Arrivals {
    /// Returns the largest number of calls within one second, both ends included.
    fn most_in_a_second(&self) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (last, at) in self.0.iter().enumerate() {
            while at.saturating_sub(self.0[first]) > ms(1_000) {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }
}

#[test]
fn limit_is_divided_so_that_two_views_stay_within_the_bound() {
    // Rate, excess, slack, gateways that may send, calls of each of them in a second.
    let cases = [
        (17.0, 1.5, 5.0, 3, 5),
        (15.0, 1.5, 5.0, 3, 4),
        (17.0, 1.0, 0.0, 3, 2),
        (100.0, 3.0, 0.0, 3, 33),
        (2.0, 2.0, 0.0, 2, 1),
        (1.0, 1.0, 0.0, 0, 0),
    ];
    for (rate, excess, slack, holders, share) in cases {
        let allowance = cold::Allowance { excess, slack };
        let limit = cold::Limit::new(rate, allowance).expect("a limit");
        assert_eq!((limit.holders(), limit.share()), (holders, share), "{rate} {excess} {slack}");
        assert!((2 * holders * share) as f64 <= limit.bound(), "{rate} {excess} {slack}");
    }
    assert_eq!(cold::Limit::new(0.0, cold::Allowance::default()), None);
}

/// What one process of a gateway knows.
struct Process {
    limiter: cold::Limiter,
    /// When it reads the list of gateways next.
    next_read: time::Duration,
    /// Until when its reads fail.
    cut_until: time::Duration,
}

/// Gateways that start, vanish, restart and are cut off from the store, in front of upstreams that are
/// cold all the time. Each gateway sends as much as its limiter allows.
struct Simulation {
    rng: fastrand::Rng,
    now: time::Duration,
    processes: Vec<Option<Process>>,
    /// Announced gateways, with the time of their last renewal.
    announced: collections::BTreeMap<usize, time::Duration>,
    /// Earlier states of the list of gateways, with the time since when.
    lists: Vec<(time::Duration, Vec<usize>)>,
    upstreams: Vec<(id::InstanceId, cold::Target)>,
    arrivals: Vec<Arrivals>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let pool = roster::PoolId { service: name("scan"), region: name("west") };
        let upstreams = vec![
            (name("u1"), target("east", cold::Order::Upstream)),
            (name("u2"), target("west", cold::Order::Pool(pool))),
        ];
        let mut simulation = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: ms(10_000),
            processes: (0..GATEWAYS).map(|_| None).collect(),
            announced: collections::BTreeMap::new(),
            lists: Vec::new(),
            arrivals: upstreams.iter().map(|_| Arrivals::default()).collect(),
            upstreams,
        };
        for index in 0..GATEWAYS {
            simulation.start(index);
        }
        simulation
    }

    fn start(&mut self, index: usize) {
        let mut limiter = cold::Limiter::default();
        limiter.update_targets(self.now, self.upstreams.iter().cloned().collect());
        let next_read = self.now + ms(self.rng.u64(0..900));
        let cut_until = time::Duration::ZERO;
        self.processes[index] = Some(Process { limiter, next_read, cut_until });
        self.announced.insert(index, self.now);
    }

    /// Lets something happen to gateways, a few times a second.
    fn disturb(&mut self) {
        let index = self.rng.usize(0..GATEWAYS);
        match self.rng.u32(0..6) {
            // A crash: the announcement stays until its lease ends.
            0 => self.processes[index] = None,
            // A planned stop.
            1 => {
                self.processes[index] = None;
                self.announced.remove(&index);
            }
            // A restart within the lease; the new process knows nothing of what the old one sent.
            2 => self.start(index),
            // Gateways that ended come back.
            3 | 4 => {
                for index in 0..GATEWAYS {
                    if self.processes[index].is_none() && self.rng.bool() {
                        self.start(index);
                    }
                }
            }
            // It is cut off from the store and from other gateways.
            _ => {
                let until = self.now + ms(self.rng.u64(500..4_000));
                if let Some(process) = &mut self.processes[index] {
                    process.cut_until = until;
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for (index, process) in self.processes.iter().enumerate() {
            if process.as_ref().is_some_and(|process| now >= process.cut_until) {
                self.announced.insert(index, now);
            }
        }
        self.announced.retain(|_, renewed| now.saturating_sub(*renewed) < LEASE);
        let list: Vec<_> = self.announced.keys().copied().collect();
        if self.lists.last().is_none_or(|(_, last)| *last != list) {
            self.lists.push((now, list));
        }
        for (index, process) in self.processes.iter_mut().enumerate() {
            let Some(process) = process else { continue };
            if now >= process.next_read && now >= process.cut_until {
                process.next_read = now + ms(900);
                // Some reads were passed on by another gateway, and some are empty.
                let read_at = now.saturating_sub(ms(self.rng.u64(0..600)));
                let known = self.lists.iter().rev().find(|(since, _)| *since <= read_at);
                let mut known = known.map(|(_, list)| list.clone()).unwrap_or_default();
                if self.rng.u32(0..50) == 0 {
                    known.clear();
                }
                let own = name(&format!("g{index}"));
                process.limiter.update_gateways(now, &own, known.into_iter().map(listed).collect());
            }
            for ((upstream, _), arrivals) in self.upstreams.iter().zip(&mut self.arrivals) {
                for _ in 0..MAX_CALLS {
                    if process.limiter.may_send(now, upstream, &LIMIT) {
                        process.limiter.record_sent(now, upstream, &LIMIT);
                        arrivals.0.push(now);
                    }
                }
            }
        }
    }
}

/// Guards against gateways that each keep a part of the limit and together exceed it, because they do
/// not agree which of them have a part, or forgot what they sent.
#[test]
fn limiters_stay_within_the_bound_while_gateways_come_go_and_disagree() {
    for seed in 0..240 {
        let mut simulation = Simulation::new(seed);
        let end = simulation.now + ms(16_000);
        while simulation.now < end {
            if simulation.rng.u32(0..8) == 0 {
                simulation.disturb();
            }
            simulation.step();
        }
        for arrivals in &simulation.arrivals {
            let most = arrivals.most_in_a_second();
            assert!(most as f64 <= LIMIT.bound(), "seed {seed}: {most} calls in a second");
            assert!(arrivals.0.len() > 50, "seed {seed}: only {} calls", arrivals.0.len());
        }
    }
}

/// Guards against a change of the list of gateways that reaches some of them earlier than others.
#[test]
fn limiters_stay_within_the_rate_while_all_are_in_touch() {
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        let end = simulation.now + ms(16_000);
        while simulation.now < end {
            if simulation.rng.u32(0..25) == 0 {
                let index = simulation.rng.usize(0..GATEWAYS);
                simulation.start(index);
            }
            if simulation.rng.u32(0..25) == 0 {
                let index = simulation.rng.usize(0..GATEWAYS);
                simulation.processes[index] = None;
            }
            simulation.step();
        }
        for arrivals in &simulation.arrivals {
            let most = arrivals.most_in_a_second();
            assert!(most as f64 <= LIMIT.per_second, "seed {seed}: {most} calls in a second");
        }
    }
}

#[test]
fn limiter_without_quota_sends_nothing() {
    let upstream = name("u1");
    let targets = [(name("u1"), target("east", cold::Order::Upstream))];
    let mut senders = 0;
    for index in 0..GATEWAYS {
        let mut limiter = cold::Limiter::default();
        limiter.update_targets(ms(0), targets.iter().cloned().collect());
        let own = name(&format!("g{index}"));
        assert!(!limiter.may_send(ms(0), &upstream, &LIMIT), "no gateway is known yet");
        limiter.update_gateways(ms(0), &own, (0..GATEWAYS).map(listed).collect());
        assert!(!limiter.may_send(ms(1_000), &upstream, &LIMIT), "it has just started");
        let is_sender = limiter.may_send(ms(3_000), &upstream, &LIMIT);
        assert!(!is_sender || listed(index).1.region == Some(name("east")), "g{index}");
        senders += usize::from(is_sender);
        // An empty list is not whole, as this gateway itself is alive.
        limiter.update_gateways(ms(3_000), &own, collections::BTreeMap::new());
        assert_eq!(limiter.may_send(ms(3_000), &upstream, &LIMIT), is_sender);
        // A gateway that is not listed is unknown to the others.
        let others = (0..GATEWAYS).filter(|other| *other != index).map(listed);
        limiter.update_gateways(ms(3_000), &own, others.collect());
        assert!(!limiter.may_send(ms(9_000), &upstream, &LIMIT));
    }
    assert_eq!(senders, 3);
}

/// Guards against batches of a cold pool that can go to a fifth of its upstreams only, because the one
/// gateway that forms them has quota for no others.
#[test]
fn gateway_that_forms_the_batches_has_quota_for_the_whole_pool() {
    for region in ["east", "west"] {
        let pool = roster::PoolId { service: name("scan"), region: name(region) };
        let mut roster = roster::Roster::default();
        roster.update(ms(0), (0..GATEWAYS).map(peer).collect());
        let batcher = roster.batcher(ms(0), &pool, &regions()).expect("a gateway");
        let mut limiter = cold::Limiter::default();
        let order = cold::Order::Pool(pool);
        let targets = (0..19).map(|u| (name(&format!("s{u}")), target(region, order.clone())));
        limiter.update_targets(ms(0), targets.collect());
        let gateways = (0..GATEWAYS).map(listed).collect();
        limiter.update_gateways(ms(0), &batcher.instance, gateways);
        for upstream in 0..19 {
            let upstream = name(&format!("s{upstream}"));
            assert!(limiter.may_send(ms(3_000), &upstream, &LIMIT), "{upstream}");
        }
    }
}

fn entry(
    instance: &str,
    domain: &str,
    started_ms: u64,
    left: Option<(u64, u64)>,
) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: name(instance),
        service: name("llm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: name(domain),
        version: name("v1"),
        leaving: false,
        started_ms: Some(started_ms),
        cold_left: left.map(|(time, sequence)| cold::Left { time: unit::Millis(time), sequence }),
    }
}

/// A fleet of gateway `index`, whose only limited service is `llm`, with all gateways in its roster.
fn fleet_of(index: usize, at: time::Duration) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(name(DOMAINS[index % DOMAINS.len()].0), regions());
    let mut roster = roster::Roster::default();
    roster.update(at, (0..GATEWAYS).map(peer).collect());
    fleet.set_gateways(at, &name(&format!("g{index}")), &roster);
    fleet.set_cold_limits(at, [(name("llm"), LIMIT)].into());
    fleet
}

/// Engines of the domain that returns, and of the others.
const ENGINES: usize = 56;

fn engine_domain(engine: usize) -> &'static str {
    DOMAINS[engine % DOMAINS.len()].0
}

/// Load of a bench day: requests per second of all gateways together, and by how much a burst raises it.
const RATE: f64 = 374.0;
const BURST: f64 = 3.1;

/// Guards against the load of all gateways that moves to the engines of a domain as soon as they are
/// back: each of them alone sees little of it. Most calls are for parts that one engine is preferred for.
#[test]
fn fleets_stay_within_the_bound_when_a_domain_returns() {
    for seed in 0..6 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleets: Vec<_> = (0..GATEWAYS).map(|index| fleet_of(index, ms(0))).collect();
        let is_gone = |engine: &usize| engine_domain(*engine) == "b";
        let list_at = |now: time::Duration| -> Vec<fleet::ListEntry> {
            let present = (0..ENGINES).filter(|engine| now >= ms(10_000) || !is_gone(engine));
            // The entries of the engines that return do not say at first that they are cold.
            let left = |engine: &usize| {
                let is_cold = is_gone(engine) && now >= ms(11_200) && now < ms(13_000);
                is_cold.then(|| (13_000 - u64::try_from(now.as_millis()).expect("short"), 7))
            };
            present
                .map(|engine| entry(&format!("e{engine}"), engine_domain(engine), 5, left(&engine)))
                .collect()
        };
        let mut arrivals: collections::BTreeMap<usize, Arrivals> = collections::BTreeMap::new();
        let mut wanted = Arrivals::default();
        let mut next_list: Vec<_> = (0..GATEWAYS).map(|_| ms(rng.u64(0..900))).collect();
        let mut now = ms(0);
        let mut due = 0.0;
        while now < ms(14_000) {
            now += STEP;
            due += RATE * BURST * STEP.as_secs_f64();
            for (fleet, next) in fleets.iter_mut().zip(&mut next_list) {
                if now >= *next {
                    *next = now + ms(900);
                    fleet.update(now, list_at(now.saturating_sub(ms(rng.u64(0..600)))));
                }
            }
            while due >= 1.0 {
                due -= 1.0;
                let fleet = &mut fleets[rng.usize(0..GATEWAYS)];
                // Engine 1 of domain b is preferred for popular parts.
                let first = if rng.u32(0..3) < 2 { 1 } else { rng.usize(0..ENGINES) };
                if first == 1 && now >= ms(10_000) {
                    wanted.0.push(now);
                }
                let engine =
                    (first..first + ENGINES).map(|engine| engine % ENGINES).find(|engine| {
                        let instance = name(&format!("e{engine}"));
                        fleet.get(&instance).is_some() && fleet.may_send(now, &instance)
                    });
                if let Some(engine) = engine {
                    fleet.record_limited_send(now, &name(&format!("e{engine}")));
                    let is_cold = is_gone(&engine) && now < ms(13_000);
                    if is_cold {
                        arrivals.entry(engine).or_default().0.push(now);
                    }
                }
            }
        }
        assert!(wanted.most_in_a_second() as f64 > 3.0 * LIMIT.bound(), "the load is too small");
        for (engine, arrivals) in &arrivals {
            let most = arrivals.most_in_a_second();
            assert!(most as f64 <= LIMIT.bound(), "seed {seed}: {most} calls to e{engine}");
        }
        let preferred = arrivals.get(&1).map_or(0, |arrivals| arrivals.0.len());
        assert!(preferred > 20, "seed {seed}: only {preferred} calls while it was cold");
    }
}

/// Guards against a whole pool that becomes cold while it is in use: each gateway has just sent calls to
/// all of it.
#[test]
fn fleets_stay_within_the_bound_when_the_pool_is_cold_at_once() {
    let mut fleets: Vec<_> = (0..GATEWAYS).map(|index| fleet_of(index, ms(0))).collect();
    let list = |left| -> Vec<fleet::ListEntry> {
        (0..8).map(|engine| entry(&format!("e{engine}"), engine_domain(engine), 5, left)).collect()
    };
    let mut calls: Vec<_> = (0..8).map(|_| Arrivals::default()).collect();
    let mut now = ms(0);
    while now < ms(9_000) {
        let left = (now >= ms(5_000)).then_some((3_000, 9));
        for fleet in &mut fleets {
            if now.as_millis().is_multiple_of(1_000) {
                fleet.update(now, list(left));
            }
            for (engine, calls) in calls.iter_mut().enumerate() {
                let instance = name(&format!("e{engine}"));
                if fleet.may_send(now, &instance) {
                    fleet.record_limited_send(now, &instance);
                    if now >= ms(5_000) && now < ms(8_000) {
                        calls.0.push(now);
                    }
                }
            }
        }
        now += STEP;
    }
    for calls in calls {
        assert!(calls.most_in_a_second() as f64 <= LIMIT.bound());
        assert!(calls.0.len() > 20, "only {} calls", calls.0.len());
    }
}

#[test]
fn fleet_counts_an_upstream_as_cold_when_its_entry_may_not_say_so() {
    let cold_at = |change: &dyn Fn(&mut fleet::Fleet), times: &[(u64, bool)]| {
        let mut fleet = fleet_of(0, ms(0));
        fleet.update(ms(9_000), vec![entry("e1", "a", 5, None)]);
        assert!(!fleet.is_cold(ms(9_000), &name("e1")), "the first list says what is cold");
        change(&mut fleet);
        for (at, is_cold) in times {
            assert_eq!(fleet.is_cold(ms(*at), &name("e1")), *is_cold, "{at}");
        }
    };
    // It is gone and comes back.
    cold_at(
        &|fleet| {
            fleet.update(ms(10_000), vec![]);
            fleet.update(ms(11_000), vec![entry("e1", "a", 5, None)]);
        },
        &[(11_000, true), (13_400, true), (13_500, false)],
    );
    // Another process has its name.
    cold_at(
        &|fleet| {
            fleet.update(ms(10_000), vec![entry("e1", "a", 6, None)]);
        },
        &[(10_000, true), (12_400, true), (12_500, false)],
    );
    // It was ejected for a second.
    cold_at(
        &|fleet| {
            let others = ["e1", "e2", "e3"].map(|instance| entry(instance, "a", 5, None));
            fleet.update(ms(9_500), others.to_vec());
            fleet.record_failure(ms(10_000), &name("e1"));
            assert!(fleet.record_failure(ms(10_000), &name("e1")), "it is ejected");
        },
        &[(10_000, true), (13_400, true), (13_500, false)],
    );
    // Its domain returns, or another one.
    cold_at(
        &|fleet| fleet.assume_cold(ms(10_000), &name("a")),
        &[(10_000, true), (12_400, true), (12_500, false)],
    );
    cold_at(&|fleet| fleet.assume_cold(ms(10_000), &name("b")), &[(10_000, false)]);
    // A connection to it broke.
    cold_at(
        &|fleet| {
            assert!(fleet.assume_restarted(ms(10_000), &name("e1")));
        },
        &[(10_000, true), (12_400, true), (12_500, false)],
    );
}

#[test]
fn fleet_counts_cold_time_from_when_it_was_first_seen() {
    let mut fleet = fleet_of(0, ms(0));
    let mut list = |at: u64, left| fleet.update(ms(at), vec![entry("e1", "a", 5, left)]);
    list(9_000, None);
    list(10_000, Some((3_000, 5)));
    // The same write is read again, and counts from the first read.
    list(11_000, Some((3_000, 5)));
    assert!(fleet.is_cold(ms(12_900), &name("e1")) && !fleet.is_cold(ms(13_000), &name("e1")));
    // A later write with the same time: it is cold again.
    fleet.update(ms(12_000), vec![entry("e1", "a", 5, Some((3_000, 8)))]);
    assert!(fleet.is_cold(ms(14_900), &name("e1")));
    // An older list, read through another gateway, does not make it warm.
    fleet.update(ms(12_500), vec![entry("e1", "a", 5, None)]);
    fleet.update(ms(12_600), vec![entry("e1", "a", 5, Some((100, 2)))]);
    assert!(fleet.is_cold(ms(14_900), &name("e1")));
    // A later write shortens the time.
    fleet.update(ms(13_000), vec![entry("e1", "a", 5, Some((500, 9)))]);
    assert!(!fleet.is_cold(ms(13_500), &name("e1")));
}

#[test]
fn waiting_requests_get_calls_by_rank_and_time() {
    let waiting = |request: u128, has_started, rank, latest| cold::Waiting {
        request: id::RequestId(request),
        has_started,
        rank,
        latest: ms(latest),
    };
    let mut all = [
        waiting(1, false, 2, 400),
        waiting(2, false, 0, 400),
        waiting(3, false, 1, 100),
        waiting(4, true, 2, 400),
        waiting(5, false, 1, 300),
    ];
    cold::sort(&mut all);
    let order: Vec<_> = all.iter().map(|one| one.request.0).collect();
    assert_eq!(order, [4, 2, 3, 5, 1]);
    // Request 3 cannot wait for the third call, so that request 5 gets it.
    let plan = cold::plan(&all, &[ms(50), ms(90), ms(200), ms(700)]);
    assert_eq!(plan.given_up, [id::RequestId(3), id::RequestId(1)]);
    assert_eq!(plan.next_free, Some(ms(700)));
}
