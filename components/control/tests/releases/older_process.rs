//! A control process that reads only what those of release ec35ac2 could: it ends a connection on an
//! unknown request, and its replica can't apply an unknown command.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ciborium::Value;
use config::ids::UpstreamId;
use config::keys::Secret;
use config::settings::Peer;
use consensus::Message as ReplicaMessage;
use control::replica::{ConsensusReplica, Settings, StateMachine};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};
use wire::{Answer, Body, Delta, Envelope, Failure, Frame, FreshnessLease, Push, Role};

use crate::raw::{Raw, Side};

/// Changes of the state that the release knows.
pub(crate) const KNOWN_CHANGES: [&str; 13] = [
    "Submit", "Replace", "Claim", "Settle", "Join", "Lost", "Use", "Order", "Take", "Close",
    "Reported", "Spend", "Tick",
];
/// Requests that the release knows.
pub(crate) const KNOWN_REQUESTS: [&str; 12] = [
    "Confirm",
    "Leave",
    "Claim",
    "Settle",
    "Draw",
    "Submit",
    "Replace",
    "Report",
    "Balance",
    "RecordOrigin",
    "FindOrigin",
    "Query",
];
/// Requests that release 03db03f knows as well.
const REQUESTS_SINCE_03DB03F: [&str; 3] = ["DrawPermits", "FetchText", "Edit"];
/// Time without other frames after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before a connection is opened again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

/// What arrived that the release can't read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unreadable(Arc<Mutex<Vec<String>>>);

impl Unreadable {
    fn record(&self, what: String) {
        let mut unreadable = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        unreadable.push(what);
    }

    pub(crate) fn list(&self) -> Vec<String> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// The state of the release's replica: the version of the newest text that it applied.
struct OlderState {
    version: Arc<Mutex<u64>>,
    unreadable: Unreadable,
}

impl StateMachine for OlderState {
    type Command = Value;
    type Output = ();

    fn apply(&mut self, _position: consensus::Position, command: Value) {
        let change = field(&command, "change").cloned().unwrap_or(Value::Null);
        let name = variant(&change);
        if !KNOWN_CHANGES.contains(&name.as_str()) {
            self.unreadable.record(format!("log entry {name}"));
            return;
        }
        let replaced = field(&change, "Replace").and_then(|text| field(text, "version"));
        if let Some(version) = replaced.and_then(Value::as_integer) {
            let version = u64::try_from(version).expect("a version is not negative");
            *self.version.lock().unwrap_or_else(PoisonError::into_inner) = version;
        }
    }

    fn snapshot(&self) -> errors::Result<Vec<u8>> {
        Ok(Vec::new())
    }

    fn restore(&mut self, _bytes: &[u8]) -> errors::Result<()> {
        Ok(())
    }
}

/// Returns the name of an enum's variant.
fn variant(value: &Value) -> String {
    let name = match value {
        Value::Map(fields) => fields.first().map(|(name, _)| name),
        other => Some(other),
    };
    let name = name.and_then(Value::as_text).unwrap_or("nothing");
    name.to_owned()
}

fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let fields = value.as_map()?.iter();
    let mut named = fields.filter(|(field, _)| field.as_text() == Some(name));
    named.next().map(|(_, value)| value)
}

/// A process of the older release.
pub(crate) struct OlderProcess {
    node: config::ids::NodeId,
    secret: Secret,
    /// Text that it grants leases for as the leader, with its version.
    text: (u64, String),
    /// Whether it leaves the text to be fetched, as releases since 03db03f do.
    leaves_texts: bool,
    replica: Option<ConsensusReplica<OlderState>>,
    outgoing: tokio::sync::broadcast::Sender<ReplicaMessage>,
    version: Arc<Mutex<u64>>,
    connections: Mutex<usize>,
    /// Upstreams whose changes it was sent.
    changed: Mutex<Vec<UpstreamId>>,
    pub(crate) unreadable: Unreadable,
}

impl OlderProcess {
    /// Starts a process without a log that grants leases as a leader.
    pub(crate) async fn start_leader(
        node: &str,
        secret: &str,
        text: (u64, String),
        leaves_texts: bool,
    ) -> (Arc<OlderProcess>, SocketAddr) {
        let process = Arc::new(OlderProcess {
            leaves_texts,
            ..OlderProcess::new(node, secret, text)
        });
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("loopback can be listened on");
        let address = listener.local_addr().expect("the listener has an address");
        tokio::spawn(process.clone().listen(listener));
        (process, address)
    }

    /// Starts a process that joins the group of `peers` as a spare.
    pub(crate) fn start_spare(
        node: &str,
        secret: &str,
        listener: TcpListener,
        peers: &[Peer],
        folder: &Path,
        consensus: consensus::Settings,
    ) -> Arc<OlderProcess> {
        let (messages, mut sent) = mpsc::channel(1_024);
        let mut process = OlderProcess::new(node, secret, (0, String::new()));
        let settings = Settings {
            node: node.into(),
            folder: folder.to_owned(),
            consensus: consensus::Settings {
                peers: peers.iter().map(|peer| peer.node.clone()).collect(),
                spare: true,
                ..consensus
            },
            ..Settings::default()
        };
        let state = OlderState {
            version: process.version.clone(),
            unreadable: process.unreadable.clone(),
        };
        let (replica, _failure) =
            ConsensusReplica::start(settings, state, messages).expect("the folder can be used");
        process.replica = Some(replica);
        let process = Arc::new(process);
        let outgoing = process.outgoing.clone();
        tokio::spawn(async move {
            while let Some(message) = sent.recv().await {
                let _ = outgoing.send(message);
            }
        });
        tokio::spawn(process.clone().listen(listener));
        for peer in peers.iter().filter(|peer| peer.node != node) {
            tokio::spawn(process.clone().keep_connection(peer.address));
        }
        process
    }

    fn new(node: &str, secret: &str, text: (u64, String)) -> OlderProcess {
        OlderProcess {
            node: node.into(),
            secret: Secret::new(secret),
            text,
            leaves_texts: false,
            replica: None,
            outgoing: tokio::sync::broadcast::channel(1_024).0,
            version: Arc::default(),
            connections: Mutex::default(),
            changed: Mutex::default(),
            unreadable: Unreadable::default(),
        }
    }

    /// Returns the version of the newest text that the replica applied.
    pub(crate) fn version(&self) -> u64 {
        *self.version.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many connections were opened so far.
    pub(crate) fn connections(&self) -> usize {
        *self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether it was sent a change of an upstream.
    pub(crate) fn knows(&self, upstream: &str) -> bool {
        let changed = self.changed.lock().unwrap_or_else(PoisonError::into_inner);
        changed.iter().any(|known| known == upstream)
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let process = self.clone();
            tokio::spawn(async move {
                if let Ok(socket) = accept_async(stream).await {
                    process.serve(socket, Side::Acceptor).await;
                }
            });
        }
    }

    async fn keep_connection(self: Arc<Self>, address: SocketAddr) {
        loop {
            if let Ok(stream) = TcpStream::connect(address).await
                && let Ok((socket, _)) = client_async("ws://chervilloft/link", stream).await
            {
                self.serve(socket, Side::Dialer).await;
            }
            sleep(REDIAL_DELAY).await;
        }
    }

    /// Serves a connection until the other end closes it, or sends what can't be read.
    async fn serve(&self, socket: WebSocketStream<TcpStream>, side: Side) -> Option<()> {
        let mut raw = Raw::open(socket, side, &self.node, Role::Control, &self.secret).await?;
        *self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += 1;
        let mut outgoing = self.outgoing.subscribe();
        loop {
            let frame = tokio::select! {
                bytes = raw.receive() => {
                    let envelope = self.read(&bytes?)?;
                    match self.answer(envelope.2) {
                        Some(frame) => frame,
                        None => continue,
                    }
                }
                message = timeout(HEARTBEAT_INTERVAL, outgoing.recv()) => match message {
                    Ok(Ok(message)) if message.to != raw.other.node => continue,
                    Ok(Ok(message)) => {
                        let mut bytes = Vec::new();
                        ciborium::into_writer(&message, &mut bytes).expect("it can be encoded");
                        Frame::Push(Push::Log {
                            from: self.node.clone(),
                            message: bytes.into(),
                        })
                    }
                    _ => Frame::Heartbeat,
                }
            };
            raw.send(frame).await?;
        }
    }

    /// Reads a frame as the release does; `None` for one that it can't read.
    fn read(&self, bytes: &[u8]) -> Option<Envelope> {
        let value: Value = ciborium::from_reader(bytes).expect("frames are CBOR");
        let frame = value.as_array().and_then(|envelope| envelope.get(2))?;
        let request = field(frame, "c").and_then(|call| call.as_array()?.get(1).cloned());
        if let Some(request) = request {
            let name = field(&request, "body").map(variant).unwrap_or_default();
            let is_known = KNOWN_REQUESTS.contains(&name.as_str())
                || self.leaves_texts && REQUESTS_SINCE_03DB03F.contains(&name.as_str());
            if !is_known {
                self.unreadable.record(format!("request {name}"));
                return None;
            }
        }
        wire::decode(bytes).ok()
    }

    fn answer(&self, frame: Frame) -> Option<Frame> {
        match frame {
            Frame::Call(id, request) => {
                let (version, text) = &self.text;
                let answer = match request.body {
                    Body::Confirm { version: held, .. } if *version > 0 => {
                        Ok(Answer::FreshnessLease(FreshnessLease {
                            version: *version,
                            lease_ms: 3_000,
                            source: (held < *version && !self.leaves_texts).then(|| text.clone()),
                            leader: self.node.clone(),
                        }))
                    }
                    Body::FetchText(range) => {
                        let mut archive = patch::Archive::default();
                        archive.add(*version, &text.as_str().into());
                        let part = archive.part(range).expect("the range is valid");
                        Ok(Answer::TextPart(part.expect("the text is kept")))
                    }
                    Body::FindOrigin(_) => Ok(Answer::Origin(None)),
                    _ => Err(Failure::NoLeader),
                };
                Some(Frame::Answer(id, answer))
            }
            Frame::Push(Push::Upstreams(deltas)) => {
                let mut changed = self.changed.lock().unwrap_or_else(PoisonError::into_inner);
                changed.extend(deltas.into_iter().map(|delta| match delta {
                    Delta::Full(full) => full.announcement.upstream,
                    Delta::Renewal(renewal) => renewal.1,
                    Delta::Leave(upstream, _) => upstream,
                }));
                None
            }
            Frame::Push(Push::Log { message, .. }) => {
                let message = ciborium::from_reader(message.as_ref());
                if let (Some(replica), Ok(message)) = (&self.replica, message) {
                    replica.receive(message);
                }
                None
            }
            _ => None,
        }
    }
}
