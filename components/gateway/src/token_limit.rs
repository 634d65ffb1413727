//! Takes the tokens of a request from its account's limit.

use std::time::Instant;

use limits::{Decision, Rate};
use tokio::time::timeout;

use crate::accounts::DRAW_TIMEOUT;
use crate::call::Call;
use crate::core::{Core, lock};
use crate::request_log::RequestLog;
use crate::{Account, Refusal};

/// Takes the tokens of `call` from its account's limit. Waits for the leader if this entry's
/// allotment of the limit does not cover them.
pub(crate) async fn take(
    core: &Core,
    call: &Call,
    request_log: &mut RequestLog,
) -> Result<(), Refusal> {
    let Some((account, rate)) = call.account.as_ref().and_then(|a| Some((a, a.limit?))) else {
        return Ok(());
    };
    let tokens = cost(call, account);
    request_log.set_tokens(tokens);
    let decision = lock(&core.accounts).take(&account.name, rate, tokens, Instant::now());
    let decision = match decision {
        Decision::Draw => draw(core, account, rate, tokens).await,
        decision => decision,
    };
    let (label, result) = match decision {
        Decision::Refused { retry_after } => ("refused", Err(Refusal::OverLimit(retry_after))),
        Decision::Draw => ("refused", Err(Refusal::OverLimit(DRAW_TIMEOUT))),
        Decision::Admitted => ("admitted", Ok(())),
    };
    core.metrics.record_limit(&account.name, label, tokens);
    result
}

/// Returns the tokens that `call` would take from its account's limit and the decision, if it has one.
/// Nothing is taken or drawn.
pub(crate) fn preview(core: &Core, call: &Call, now: Instant) -> Option<(u64, Decision)> {
    let account = call.account.as_ref()?;
    let tokens = cost(call, account);
    let rate = account.limit?;
    let decision = lock(&core.accounts).preview(&account.name, rate, tokens, now);
    Some((tokens, decision))
}

/// Puts the tokens of a call that did not run back.
pub(crate) fn put_back(core: &Core, call: &Call, account: &Account) {
    let tokens = cost(call, account);
    core.metrics.record_limit(&account.name, "put-back", tokens);
    lock(&core.accounts).put_back(&account.name, tokens, call.arrived);
}

/// Draws a larger allotment of the limit, unless another request has drawn enough in the meantime,
/// and decides.
async fn draw(core: &Core, account: &Account, rate: Rate, tokens: u64) -> Decision {
    let drawing = lock(&core.accounts).drawing(&account.name);
    let Ok(_drawing) = timeout(DRAW_TIMEOUT, drawing.lock()).await else {
        return Decision::Draw;
    };
    let statements = {
        let mut accounts = lock(&core.accounts);
        let now = Instant::now();
        match accounts.take(&account.name, rate, tokens, now) {
            Decision::Draw => accounts.draw(&account.name, tokens, now),
            decision => return decision,
        }
    };
    let number = statements.number;
    let answer = core.member.balance(statements, DRAW_TIMEOUT).await;
    let mut accounts = lock(&core.accounts);
    let now = Instant::now();
    match answer {
        Ok(balances) => accounts.apply(number, &balances, now),
        Err(_) => accounts.record_silence(),
    }
    // Decides under the same lock, so that no other request spends what was drawn for this one.
    accounts.end_draw(&account.name, rate, tokens, now)
}

/// Returns the tokens that a call takes from its account's limit.
fn cost(call: &Call, account: &Account) -> u64 {
    match &call.prompt {
        Some(prompt) => u64::from(prompt.input_tokens) + u64::from(prompt.output_tokens),
        None => u64::from(account.tokens_per_request),
    }
}
