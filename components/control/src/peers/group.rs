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
        let group = node.group();
        if group == known_group {
            continue;
        }
        info!("control: group members: {}", group.join(", "));
        node.peers.push_to_entries(&Push::Group(group.clone()));
        node.tell_group();
        for peer in group.iter().filter_map(|name| node.peer(name)) {
            if node.peers.register_dialer(&peer.node) {
                tokio::spawn(keep_connection(node.clone(), peer));
            }
        }
        known_group = group;
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the voters and learners of the group, sorted, or those that another process named.
    pub(crate) fn group(&self) -> Vec<NodeId> {
        let status = self.replica.status();
        let mut group = [status.voters, status.learners, status.told_group].concat();
        group.sort_unstable();
        group.dedup();
        group
    }

    /// Tells control processes outside the group who is in it. A process that forwards only tells all,
    /// as it may be the only one that a member without its disk is told of.
    pub(super) fn tell_group(&self) {
        let group = self.group();
        if !group.is_empty() {
            let all = self.replica.forwards_only();
            self.peers.push_group(&group, all);
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
        listed.any(|other| other.node == *node) || self.group().contains(node)
    }
}
