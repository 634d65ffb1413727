//! Issues orders as the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::Step;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use state::order::{Action, Order};
use state::{Change, Command, Output};
use tracing::{info, warn};

use super::exchange::{Call, exchange};
use crate::Node;
use crate::replica::Replica;

/// Timeout of connecting for an order, and of the request after that.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time added to the wait after a take-over, for clocks that run at different rates.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(250);

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The receiver accepted it, with this answer.
    Accepted(Value),
    /// The receiver refused it, with this HTTP status and answer.
    Refused(u16, Value),
    /// It was not sent, for this reason.
    Unsent(String),
    /// It may have been accepted; the receiver's state has to be read back. The text is the cause.
    Unknown(String),
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the current term if this process may issue orders in it: it is the leader, and has
    /// been for longer than the lease of an earlier leader and the timeouts of that leader's last
    /// order.
    pub fn order_term(&self) -> Option<u64> {
        let wait = self.settings.leader_lease + 2 * CALL_TIMEOUT + CLOCK_DRIFT_MARGIN;
        let leadership = self.leadership_since();
        let term = self.replica.status().term;
        let waited = leadership.is_some_and(|(led, since)| led == term && since.elapsed() >= wait);
        (waited && self.leads()).then_some(term)
    }

    /// Issues an order: records it in the replicated log, sends it if this process is still the
    /// leader, and returns the outcome.
    pub async fn issue(self: &Arc<Self>, order: Order) -> Outcome {
        let Some(term) = self.order_term() else {
            return Outcome::Unsent(
                "this process has not been the leader for long enough".to_owned(),
            );
        };
        let reason = order.reason.clone();
        let fence = match self.commit(Change::Order(order.clone())).await {
            Ok(Output::Fence(fence)) => fence,
            Ok(output) => return Outcome::Unsent(format!("the log answered {output:?}")),
            Err(failure) => return Outcome::Unsent(format!("not recorded: {failure:?}")),
        };
        if let Action::Drain { instance } = &order.action {
            // It is not sent: every control process notifies its entries once the record is
            // applied.
            info!(
                order = fence,
                "orders: order {fence}: drain of instance \"{instance}\" recorded (reason: {reason})"
            );
            return Outcome::Accepted(Value::Null);
        }
        let Some((peer, call)) = self.encode_call(&order.action, fence) else {
            return Outcome::Unsent("no address of the cloud API is set".to_owned());
        };
        let outcome = self.send(term, &call).await;
        match &outcome {
            Outcome::Accepted(_) => info!(
                order = fence,
                "orders: order {fence} to {peer} (reason: {reason}) was accepted"
            ),
            outcome => warn!(
                order = fence,
                "orders: order {fence} to {peer} (reason: {reason}): {outcome:?}"
            ),
        }
        outcome
    }

    async fn send(self: &Arc<Self>, term: u64, call: &Call) -> Outcome {
        let node = self.clone();
        let may_write = move || node.leads() && node.replica.status().term == term;
        match exchange(call, may_write).await {
            Ok((status, answer)) if status.is_success() => Outcome::Accepted(answer),
            Ok((status, answer)) => Outcome::Refused(status.as_u16(), answer),
            Err(error) if error.step() == Step::Connect => Outcome::Unsent(error.to_string()),
            Err(error) => Outcome::Unknown(error.to_string()),
        }
    }

    fn encode_call(&self, action: &Action, fence: u64) -> Option<(String, Call)> {
        let cloud = |method, path: String, body| {
            let address = self.settings.cloud?;
            Some(("the cloud".to_owned(), call(address, method, path, body)))
        };
        match action {
            Action::Engine {
                upstream,
                address,
                set,
            } => {
                let body = json!({ "fence": fence, "order": set });
                let path = "/v1/orders".to_owned();
                let call = call(*address, Method::POST, path, Some(body));
                Some((format!("engine \"{upstream}\""), call))
            }
            Action::Start {
                token,
                service,
                data_centre,
                class,
            } => {
                let body = json!({
                    "token": token,
                    "service": service,
                    "data_centre": data_centre,
                    "class": class,
                });
                cloud(Method::POST, "/v1/instances".to_owned(), Some(body))
            }
            Action::Drain { .. } => None,
            Action::Stop { instance } => {
                cloud(Method::DELETE, format!("/v1/instances/{instance}"), None)
            }
        }
    }

    /// Reads a JSON document of an engine or of the cloud API.
    pub(super) async fn fetch(&self, address: SocketAddr, path: String) -> errors::Result<Value> {
        let call = call(address, Method::GET, path, None);
        match exchange(&call, || true).await? {
            (StatusCode::OK, answer) => Ok(answer),
            (status, _) => Err(errors::Error::Protocol(
                Step::Receive,
                errors::Peer::Address(address),
                format!("GET {} answered {status}", call.path),
            )),
        }
    }
}

fn call(address: SocketAddr, method: Method, path: String, body: Option<Value>) -> Call {
    Call {
        address,
        method,
        path,
        headers: Vec::new(),
        body,
        timeout: CALL_TIMEOUT,
    }
}
