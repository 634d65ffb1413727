//! Tasks that apply changes of the fleet's view, and exchange reports with the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::ServiceId;
use fleet::{Control, View};
use limits::{Naming, PERMIT_LIFETIME, Process, Refusals};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use wire::{Limits, Report};

use crate::balancer::Position;
use crate::core::{Core, lock};
use crate::{Share, Table, crash, retries, server};

/// Time between two checks of the view.
const POLL_PERIOD: Duration = Duration::from_millis(40);
/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Longest time between two reports if nothing has changed.
const MAX_REPORT_GAP: Duration = Duration::from_millis(1_000);
/// Age from which on what the leader told of the other entries' work no longer tells which upstreams
/// are busy: most of it has been done by then.
const MAX_WORK_AGE: Duration = Duration::from_millis(1_000);
/// Longest wait for the leader's answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Applies changes of the view, also to the server of callers, for as long as the process runs.
pub(crate) async fn watch_view(core: Arc<Core>, callers: web::Server) {
    let mut previous: Option<Arc<View>> = None;
    loop {
        let view = core.member.view().load_full();
        if !previous
            .as_ref()
            .is_some_and(|previous| Arc::ptr_eq(previous, &view))
        {
            update(&core, previous.as_deref(), &view);
            let head_timeout = core.table.load().limits().head_timeout;
            callers.update_settings(server::callers_settings(&core, head_timeout));
            previous = Some(view);
        }
        let now = Instant::now();
        let is_fresh = core.member.view().load().fresh_config(now).is_some();
        lock(&core.contact).record(is_fresh, now);
        lock(&core.pool).remove_expired(now);
        sleep(POLL_PERIOD).await;
    }
}

fn update(core: &Core, previous: Option<&View>, view: &View) {
    let Some(config) = &view.config else {
        return;
    };
    let is_new = core.table.load().version() < config.version;
    if is_new {
        core.table
            .store(Table::new(config.version, &config.text).into());
        core.metrics.version.set(config.version.cast_signed());
        core.readiness.set();
        info!(
            version = config.version,
            "gateway: text {} is in force", config.version
        );
    }
    let same_routes = previous.is_some_and(|previous| Arc::ptr_eq(&previous.routes, &view.routes));
    if is_new || !same_routes {
        let now = Instant::now();
        lock(&core.balancer).update(&config.text, &view.routes, now);
        crash::check_replaced(core, now);
    }
}

/// Reports this entry's work to the leader for as long as the process runs.
pub(crate) async fn report(core: Arc<Core>) {
    let mut last: Option<(Report, Instant)> = None;
    let mut is_reachable = true;
    let mut told = Limits::default();
    let mut told_refusals = Vec::new();
    let mut told_models = Vec::new();
    let mut told_at = Instant::now();
    while !core.readiness.wait(REPORT_PERIOD).await {}
    loop {
        let limited = core.table.load();
        let statements =
            lock(&core.accounts).statements(limited.limited_accounts(), Instant::now());
        let limits = changed_limits(&core, &told, Instant::now());
        let refusals = changed_refusals(&core, &told_refusals, Instant::now());
        let (quarantine, requests) = lock(&core.quarantine).report(Instant::now());
        let models = lock(&core.balancer).models_beyond(&told_models);
        // Guards in the fields of the report would be held until all of them are set.
        let speeds = lock(&core.balancer).report_speeds(Instant::now());
        let moments = lock(&core.balancer).report_moments(Instant::now());
        let by_work = lock(&core.balancer).services_by_work();
        let report = Report {
            statements,
            started: lock(&core.usage).report(),
            work: lock(&core.balancer).report(),
            demand: lock(&core.demand).report(),
            quarantine,
            requests,
            limits,
            refusals,
            forwarding: core.settings.forwarding,
            out_of_reach: lock(&core.reach).lost(),
            samples: lock(&core.samples).take(),
            models,
            reads_work_table: true,
            speeds,
            by_work,
            moments,
            classes: lock(&core.classes).report(),
            rollouts: lock(&core.rollouts).report(),
            reads_rollouts: true,
        };
        let is_recent = |(last, at): &(Report, Instant)| {
            is_same(&report, last) && at.elapsed() < MAX_REPORT_GAP
        };
        if last.as_ref().is_some_and(is_recent) {
            pause(&core).await;
            continue;
        }
        let sent_at = Instant::now();
        last = Some((report.clone(), sent_at));
        let number = report.statements.number;
        let reported = core.member.report(report, REPORT_TIMEOUT).await;
        let succeeded = reported.is_ok();
        lock(&core.classes).record_answer(succeeded);
        match reported {
            Ok(overview) => {
                apply_overview(&core, number, &overview, sent_at);
                told_at = sent_at;
                told = overview.limits.unwrap_or(told);
                told_refusals = overview.refusals;
                told_models = overview.models;
            }
            Err(error) if is_reachable => warn!("gateway: report to the leader failed: {error}"),
            Err(_) => {}
        }
        if !succeeded {
            lock(&core.accounts).record_silence();
        }
        if told_at.elapsed() > MAX_WORK_AGE {
            lock(&core.balancer).even_out_work();
        }
        let entries = (!succeeded).then(|| lock(&core.retries).entries());
        lock(&core.balancer).fall_back(entries, Instant::now());
        if succeeded && !is_reachable {
            info!("gateway: reports to the leader succeed again");
        }
        is_reachable = succeeded;
        pause(&core).await;
    }
}

/// Waits until the next report is due: for a report period, or until an upstream has crashed.
async fn pause(core: &Core) {
    let _ = timeout(REPORT_PERIOD, core.report_now.notified()).await;
}

/// Returns what upstreams said about their limits where it differs from what the leader has `told`.
fn changed_limits(core: &Core, told: &Limits, now: Instant) -> Limits {
    let known = |process: &Process| {
        let mut namings = told.namings.iter();
        namings.find(|naming| naming.process == *process)?.rate
    };
    let balancer = lock(&core.balancer);
    let changed = balancer.limits().filter_map(|(process, rate, said)| {
        let age = now.saturating_duration_since(said);
        (known(&process) != rate).then(|| Naming {
            process,
            rate,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    });
    Limits {
        number: told.number,
        namings: changed.collect(),
    }
}

/// Returns what upstreams said about the refusals that they bear where it differs from what the
/// leader has `told`.
fn changed_refusals(core: &Core, told: &[Refusals], now: Instant) -> Vec<Refusals> {
    let known = |service: &ServiceId| {
        let mut told = told.iter();
        told.find(|told| told.service == *service)?.bearable
    };
    let mut statements = lock(&core.balancer).brittle(now);
    statements.retain(|statement| known(&statement.service) != statement.bearable);
    statements
}

/// Applies the limits and the permits of the leader's answer to a report that was sent at `sent_at`.
fn apply_limits(core: &Core, overview: &wire::Overview, sent_at: Instant, now: Instant) {
    let mut balancer = lock(&core.balancer);
    for naming in overview.limits.iter().flat_map(|limits| &limits.namings) {
        let age = Duration::from_millis(naming.age_ms);
        let said = now.checked_sub(age).unwrap_or(now);
        balancer.learn_limit(&naming.process, naming.rate, said);
    }
    let position = overview
        .position
        .map(|(index, count)| Position { index, count });
    balancer.learn_brittle(&overview.refusals, position, now);
    for permit in &overview.permits {
        balancer.add_permits(permit, sent_at + PERMIT_LIFETIME);
    }
}

/// Reports whether two reports differ in the number of their statements at most.
fn is_same(report: &Report, other: &Report) -> bool {
    report.statements.accounts == other.statements.accounts
        && report.started == other.started
        && report.work == other.work
        && report.demand == other.demand
        && report.quarantine == other.quarantine
        && report.requests == other.requests
        && report.limits == other.limits
        && report.refusals == other.refusals
        && report.out_of_reach == other.out_of_reach
        && report.rollouts == other.rollouts
        && report.samples.is_empty()
}

/// Applies what the leader told of the roll-outs in answer to a report that was sent at `sent_at`.
fn apply_rollouts(core: &Core, stages: &[rollout::Stage], sent_at: Instant) {
    lock(&core.rollouts).apply(stages);
    let changed = lock(&core.balancer).apply_rollouts(stages, sent_at);
    for stage in changed {
        info!(
            service = %stage.service, software = %stage.to, share = stage.share,
            "rollout: \"{}\" to \"{}\": {:?}", stage.service, stage.to, stage.phase
        );
    }
}

/// Applies the leader's answer to the report whose statements have `number`, which was sent at
/// `sent_at`.
fn apply_overview(core: &Core, number: u64, overview: &wire::Overview, sent_at: Instant) {
    let now = Instant::now();
    let one_way = now.saturating_duration_since(sent_at) / 2;
    lock(&core.accounts).apply(number, &overview.balances, now);
    match &overview.work_table {
        Some(table) => lock(&core.balancer).apply_work_table(table, &overview.work_ms),
        None => lock(&core.balancer).apply_work(&overview.work),
    }
    lock(&core.balancer).apply_models(&overview.models);
    if let Some(speeds) = &overview.speeds {
        lock(&core.balancer).apply_speeds(speeds, now);
    }
    lock(&core.balancer).apply_moments(&overview.moments, now.checked_sub(one_way).unwrap_or(now));
    let speeds = lock(&core.balancer).speeds(now);
    for (service, speeds) in speeds {
        core.metrics.set_speeds(&service, &speeds);
    }
    lock(&core.plans).set(&overview.plans, sent_at);
    apply_rollouts(core, &overview.rollouts, sent_at);
    let (parts, requests) = (overview.quarantine.clone(), overview.requests.clone());
    let changed = lock(&core.quarantine).apply(parts, requests, now);
    for subject in changed {
        info!("gateway: the quarantine of {} has changed", subject.name());
    }
    apply_limits(core, overview, sent_at, now);
    let share = Share {
        entries: overview.entries,
        replaced: overview.replaced_ms.map(Duration::from_millis),
    };
    lock(&core.retries).update(share, retries::elapsed(core.started, now));
    lock(&core.pool).set_entries(overview.entries);
    lock(&core.forwarders).set(overview.forwarders.clone());
    let unix_ms = overview.now_ms + u64::try_from(one_way.as_millis()).unwrap_or(0);
    lock(&core.usage).set_clock(unix_ms, now);
}
