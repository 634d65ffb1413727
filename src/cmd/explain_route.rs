//! `chervilloft explain-route`: asks an entry where a request would go now, and why.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::ArgMatches;
use config::duration;
use errors::{Error, Peer, Result, Step};
use gateway::balancer::Candidate;
use gateway::explain::{self, Answer, Course, Generation, Question, Refused, Subject};

use super::{files, runtime};
use crate::cli;
use crate::messages::{self, print_line};

/// Asks the entry, and prints its answer.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let question = question(matches)?;
    let asked = explain::ask(entry(matches)?, &question);
    let answer = runtime::single_threaded()?.block_on(asked)?;
    match cli::wants_json(matches) {
        true => messages::print_json(&answer),
        false => print(&answer),
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the address of the entry's listener for metrics.
fn entry(matches: &ArgMatches) -> Result<SocketAddr> {
    if let Some(address) = matches.get_one::<SocketAddr>("entry") {
        return Ok(*address);
    }
    let path = cli::path(matches, "settings");
    let settings = files::settings(&path)?;
    settings.metrics.ok_or_else(|| {
        let message = "states no address for metrics; give --entry".to_owned();
        Error::Invalid(Step::Load, Peer::File(path), message)
    })
}

fn question(matches: &ArgMatches) -> Result<Question> {
    let text = |id: &str| matches.get_one::<String>(id).map(String::as_str);
    let number = |id: &str| matches.get_one::<u32>(id).copied();
    let wait_ms = match text("wait") {
        Some(wait) => {
            let wait = duration::parse(wait).map_err(|reason| invalid("wait", &reason))?;
            Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
        }
        None => None,
    };
    let generation = match number("prompt-tokens") {
        Some(input_tokens) => Some(Generation {
            input_tokens,
            output_tokens: number("output-tokens").unwrap_or_default(),
            length_hint: number("length-hint"),
            parts: parts(text("parts").unwrap_or_default())?,
        }),
        None => None,
    };
    let excluded = matches.get_many::<String>("excluded");
    let id = text("id").map(Into::into);
    Ok(Question {
        id: id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()).into()),
        host: text("host").map(Into::into),
        path: text("path").map(Into::into),
        service: text("service").map(Into::into),
        account: text("account").map(Into::into),
        rank: matches.get_one::<u8>("rank").copied(),
        wait_ms,
        excluded: excluded.into_iter().flatten().map(Into::into).collect(),
        generation,
    })
}

/// Parses parts of a prompt: hexadecimal identifiers and numbers of tokens.
fn parts(list: &str) -> Result<Vec<(gateway::PartId, u32)>> {
    let parts = list.split(',').filter(|part| !part.trim().is_empty());
    let parse = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    let parse = |part: &str| {
        parse(part).ok_or_else(|| invalid("parts", &format!("\"{part}\" is not ID:TOKENS")))
    };
    parts.map(parse).collect()
}

fn invalid(option: &str, reason: &str) -> Error {
    Error::Invalid(Step::Load, Peer::Local, format!("--{option}: {reason}"))
}

fn print(answer: &Answer) {
    let overview = match answer.overview_age_ms {
        Some(age) => format!("overview of the leader {age:.0} ms old"),
        None => "no overview of the leader yet".to_owned(),
    };
    let (entry, data_centre, version) = (&answer.entry, &answer.data_centre, answer.version);
    print_line(&format!(
        "entry:    {entry} in {data_centre}, text {version}, {overview}"
    ));
    if !answer.is_settled {
        print_line("          it may not know all upstreams yet");
    }
    if let Some(subject) = &answer.subject {
        print_subject(subject);
    }
    if let Some(limit) = &answer.limit {
        let (tokens, decision) = (limit.tokens, &limit.decision);
        print_line(&format!("limit:    {tokens} tokens, {decision}"));
    }
    if let Some(plan) = &answer.plan {
        let (percent, decision) = (plan.share * 100.0, &plan.decision);
        print_line(&format!(
            "plan:     {percent:.0}% of its rank and account, {decision}"
        ));
    }
    print_course(&answer.course);
    if answer.subject.is_some() {
        print_candidates(answer);
    }
}

fn print_subject(subject: &Subject) {
    let account = subject.account.as_deref().unwrap_or("none");
    let Subject {
        id,
        route,
        service,
        rank,
        target_ms,
        time_left_ms,
        ..
    } = subject;
    let wait = match subject.max_wait_ms {
        Some(wait) => format!(", first event within {wait:.0} ms"),
        None => String::new(),
    };
    let work = match subject.work_ms {
        Some(work) => format!(", work {work:.0} ms"),
        None => String::new(),
    };
    print_line(&format!(
        "request:  {id}, route {route}, service {service}, account {account}, rank {rank}"
    ));
    print_line(&format!(
        "          target {target_ms:.0} ms, deadline in {time_left_ms:.0} ms{wait}{work}"
    ));
}

fn print_course(course: &Course) {
    let line = match course {
        Course::Sent(chosen) => {
            print_line(&format!(
                "course:   sent to {} at {}, first event in {:.0} ms",
                chosen.upstream, chosen.address, chosen.first_event_ms
            ));
            format!("          {}", chosen.reason)
        }
        Course::Forwarded { entry } => {
            format!("course:   sent through {entry}, which chooses the upstream")
        }
        Course::NeedsPermit {
            upstreams,
            otherwise,
        } => {
            let names = upstreams.join(", ");
            print_line(&format!("course:   sent to one of {names} with a permit"));
            format!("          otherwise {}", describe(otherwise))
        }
        Course::Refused(refused) => format!("course:   {}", describe(refused)),
    };
    print_line(&line);
}

fn describe(refused: &Refused) -> String {
    let after = match &refused.retry_after {
        Some(after) => format!(", Retry-After {after}"),
        None => String::new(),
    };
    let Refused {
        name,
        message,
        status,
        ..
    } = refused;
    format!("refused: {name}, status {status}{after}: {message}")
}

fn print_candidates(answer: &Answer) {
    let by = if answer.is_by_work {
        "work"
    } else {
        "requests"
    };
    let count = answer.candidates.len();
    print_line(&format!("candidates: {count}, balanced by {by}"));
    for (rank, candidate) in answer.candidates.iter().enumerate() {
        print_line(&describe_candidate(rank + 1, candidate));
    }
    print_line(&format!("left out: {}", answer.left_out.len()));
    for left_out in &answer.left_out {
        print_line(&format!("  {}: {}", left_out.upstream, left_out.reason));
    }
}

fn describe_candidate(rank: usize, candidate: &Candidate) -> String {
    let group = match candidate.group {
        Some(group) => format!("group {group}"),
        None => "not drawn".to_owned(),
    };
    let work = match candidate.work_ms {
        Some(work) => format!(", work {work:.0} ms"),
        None => String::new(),
    };
    let Candidate {
        upstream,
        data_centre,
        score,
        first_event_ms,
        limit_ms,
        speed,
        in_flight,
        cached_tokens,
        fetched_tokens,
        computed_tokens,
        queued_tokens,
        ..
    } = candidate;
    format!(
        "  {rank}. {upstream} in {data_centre}, {group}: score {score:.1}, first event in \
         {first_event_ms:.0} of {limit_ms:.0} ms{work}, speed {speed:.2}, {in_flight} in flight, \
         {cached_tokens} tokens cached, {fetched_tokens} fetched, {computed_tokens} to compute, \
         {queued_tokens} before them"
    )
}
