//! Requests that are forwarded to the leader, or to the group.

use std::time::Duration;

use config::ids::NodeId;
use config::release;
use errors::Step;
use link::Connection;
use wire::{Answer, Body, Failure, Request};

use super::Peers;

/// Timeout of a request that is forwarded to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time added to an operator's wait when a submission is forwarded to the leader.
const SUBMIT_MARGIN: Duration = Duration::from_secs(3);

impl Peers {
    /// Forwards a request to the leader.
    pub(crate) async fn forward(
        &self,
        leader: &NodeId,
        request: Request,
    ) -> Result<Answer, Failure> {
        let connection = self.connection_to(leader);
        let Some(connection) = connection else {
            return Err(Failure::NoLeader);
        };
        let limit = forward_limit(&request.body);
        let request = Request {
            forwarded: true,
            ..request
        };
        let (fetches, held) = match request.body {
            Body::Confirm { version, fetches } => (fetches, version),
            _ => (false, 0),
        };
        match connection.call(request, limit).await {
            Ok(answer) => {
                if let Answer::FreshnessLease(lease) = &answer
                    && fetches
                    && lease.version > held
                    && lease.source.is_none()
                {
                    // A leader that declares nothing, and leaves texts to be fetched.
                    connection.raise_level(release::EDITS);
                }
                Ok(answer)
            }
            Err(error) if error.step() == Step::Route => Err(Failure::NoLeader),
            Err(errors::Error::Invalid(_, _, reason)) => Err(Failure::Refused(reason.into())),
            Err(error) => Err(Failure::Uncertain(error.to_string().into())),
        }
    }

    /// Forwards a request to one member of the group after the other until one of them, or the leader
    /// to which it passes the request on, answers. It is never forwarded to another process that
    /// forwards only.
    pub(crate) async fn forward_to_group(
        &self,
        group: &[NodeId],
        request: Request,
    ) -> Result<Answer, Failure> {
        if request.forwarded {
            return Err(Failure::NoLeader);
        }
        let limit = forward_limit(&request.body);
        // Releases before the declaration don't tell the group, and none of them forwards only.
        let is_member = |connection: &Connection| {
            group.contains(&connection.hello().node) || connection.level() < release::DECLARED
        };
        // Another member may be asked whether or not such a request has taken effect.
        let may_repeat = matches!(
            request.body,
            Body::Replace { .. } | Body::BeginRollout(_) | Body::Query(_) | Body::Confirm { .. }
        );
        let mut connections = self.control_connections();
        connections.retain(|connection| connection.is_open() && is_member(connection));
        let mut failure = Failure::NoLeader;
        for connection in connections {
            match connection.call(request.clone(), limit).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.step() == Step::Route => {}
                Err(errors::Error::Invalid(_, _, reason)) => {
                    return Err(Failure::Refused(reason.into()));
                }
                Err(error) => {
                    failure = Failure::Uncertain(error.to_string().into());
                    if !may_repeat {
                        break;
                    }
                }
            }
        }
        Err(failure)
    }
}

/// Returns the longest wait for the answer to a request that is forwarded.
fn forward_limit(body: &Body) -> Duration {
    match body {
        Body::Submit { wait_ms, .. }
        | Body::Replace { wait_ms, .. }
        | Body::Edit { wait_ms, .. } => Duration::from_millis(*wait_ms) + SUBMIT_MARGIN,
        _ => FORWARD_TIMEOUT,
    }
}
