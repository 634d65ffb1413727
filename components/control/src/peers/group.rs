//! The members of the group, and who is told of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::ids::NodeId;
use config::settings::Peer;
use state::{Command, Output};
use tokio::time::sleep;
use tracing::info;
use wire::Push;

use super::keep_connection;
use crate::Node;
use crate::replica::Replica;

/// Time between two checks of the group's members.
const GROUP_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Opens connections to control processes that join the group, if they are named by their IP
/// addresses, and notifies the entries of the group's members.
pub(crate) async fn follow_group<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut known_group = Vec::new();
    while !*node.stopped.borrow() {
        sleep(GROUP_POLL_INTERVAL).await;
        let told = node.replica.status().told_group;
        let group = node.group();
        for peer in group.iter().chain(&told).filter_map(|name| node.peer(name)) {
            if node.peers.register_dialer(&peer.node) {
                tokio::spawn(keep_connection(node.clone(), peer));
            }
        }
        if group != known_group {
            info!("control: group members: {}", group.join(", "));
            node.peers.push_to_entries(&Push::Group(group.clone()));
            node.tell_group();
            known_group = group;
        }
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the voters and learners of the group, sorted; those that another process named if this
    /// one belongs to none.
    pub(crate) fn group(&self) -> Vec<NodeId> {
        let status = self.replica.status();
        let mut group = match status.voters.is_empty() {
            false => [status.voters, status.learners].concat(),
            true => status.told_group,
        };
        group.sort_unstable();
        group.dedup();
        group
    }

    /// Tells control processes who is in the group.
    pub(super) fn tell_group(&self) {
        let group = self.group();
        if !group.is_empty() {
            self.peers.push_group(&group);
        }
    }

    /// Returns the addresses of a control process that is named by its IP address.
    fn peer(&self, name: &NodeId) -> Option<Peer> {
        let port = self.settings.peer_port?;
        let address = SocketAddr::new(name.parse().ok()?, port);
        Some(Peer {
            node: name.clone(),
            address,
            operators: address,
        })
    }

    /// Reports whether a connection to a control process has to be kept open.
    pub(super) fn needs_connection(&self, node: &NodeId) -> bool {
        let mut listed = self.settings.peers.iter();
        // One that was removed from the group does not know those that joined later.
        let is_told = self.replica.status().told_group.contains(node);
        listed.any(|other| other.node == *node) || is_told || self.group().contains(node)
    }
}
