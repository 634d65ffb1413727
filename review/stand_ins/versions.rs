//! A machine is cut off from the control processes while a server of a new version joins. A stream that
//! began there breaks, and its client takes it up at that machine.

#[path = "lib.rs"]
mod lib;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{BROKEN, CALL_TIMEOUT, Deployment, HEARTBEAT, HELD, Record, ZONES, post, unix_ms};

/// Time until the entries have run for twice the timeout of the route, and a little more.
const SETTLING: Duration = Duration::from_secs(13);
/// Events of a whole stream.
const EVENTS: u64 = 8;
/// Events after which the server of the new version crashes.
const BREAKS_AFTER: u64 = 3;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Length of the cut; the site file has 5.5 s.
const CUT: Duration = Duration::from_millis(5_500);
/// Streams that are begun at most, until one is served by the new version.
const TRIES: u32 = 20;

/// Routes of the configuration.
const ROUTES: &str = r#"{"name":"r","host":"shop.example","path_prefix":"/review/","route_kind":"stream",
"timeout_ms":4000,"target_latency_ms":1200,"priority":0,"service":"llm","max_attempts":2,
"public":false,"sticky":true,"resumable":true,"target_gap_ms":800}"#;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&path));
    let mut machines = lib::small_deployment();
    for machine in machines.iter_mut().filter(|machine| machine.has_disk) {
        let block = machine.ip.strip_suffix(".1").unwrap_or(&machine.ip);
        machine.name = format!("{block}.2");
    }
    let mut deployment = Deployment::prepare(machines, &record);
    let proxy = Proxy::start(&deployment);
    deployment.start_all();
    let old = StreamServer::start("i-old", "v1", &record);
    deployment.configure(ROUTES, &["llm"]);
    old.announce(deployment.controls());
    deployment.wait_ready();
    thread::sleep(SETTLING);

    let alone = deployment.machines.len() - 1;
    let began = Instant::now();
    if lib::has_trouble() {
        proxy.cut(alone);
        record.note(&format!(
            "machine {} is cut off from the machines with a disk",
            deployment.machines[alone].ip
        ));
    }
    thread::sleep(Duration::from_millis(100));
    let new = StreamServer::start("i-new", "v2", &record);
    new.announce(deployment.controls());
    thread::sleep(Duration::from_millis(300));

    let mut broken = None;
    for number in 0..TRIES {
        let events = stream(&deployment, 0, &format!("{number:08x}"), None, &record);
        if events.first().is_some_and(|event| event.1 == "v2") && events.len() < EVENTS as usize {
            broken = Some(events);
            break;
        }
    }
    let Some(mut events) = broken else {
        drop(deployment);
        lib::unable("no stream began at the new version");
    };
    let last = events.last().map_or(0, |event| event.0);
    record.note(&format!(
        "the client takes the stream up, {:?} after the cut",
        began.elapsed()
    ));
    events.extend(stream(&deployment, alone, "ffffffff", Some(last), &record));
    thread::sleep(CUT.saturating_sub(began.elapsed()));
    proxy.heal();
    println!("the client has {events:?}");
    let is_joined = events.iter().any(|event| event.1 != events[0].1);
    match is_joined {
        true => println!("ORDER broken: one stream has events of two versions"),
        false => println!("held: all events are of one version"),
    }
    if is_joined { BROKEN } else { HELD }
}

/// Requests a stream, and returns the numbers of its events with the versions that made them.
fn stream(
    deployment: &Deployment,
    machine: usize,
    id: &str,
    last: Option<u64>,
    record: &Record,
) -> Vec<(u64, String)> {
    let to = deployment.front(machine);
    let last = last.map_or(String::new(), |last| format!("Last-Event-Id: {last}\r\n"));
    let request = format!(
        "POST /review/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n{last}\
         Deadline-Ms: 4000\r\nAuthorization: Bearer key-of-north\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&to, CALL_TIMEOUT) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read_to_end(&mut bytes);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.lines().next().unwrap_or("no answer").to_owned();
    let mut events = Vec::new();
    for event in text.split("id: ").skip(1) {
        let mut lines = event.lines();
        let number = lines.next().and_then(|line| line.trim().parse().ok());
        let version = lines.next().and_then(|line| line.strip_prefix("data: "));
        if let (Some(number), Some(version)) = (number, version) {
            events.push((number, version.trim().to_owned()));
        }
    }
    record.note(&format!(
        "client at {to}: {id} {last:?} is answered {status:?}, {events:?}"
    ));
    events
}

/// A server of streams.
struct StreamServer {
    id: String,
    version: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    is_down: AtomicBool,
}

impl StreamServer {
    fn start(id: &str, version: &str, record: &Record) -> Arc<StreamServer> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let server = Arc::new(StreamServer {
            id: id.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
        });
        let (accepting, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_down.load(Ordering::SeqCst) {
                    return;
                }
                let (server, record) = (accepting.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &record));
            }
        });
        server
    }

    fn announce(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.is_down.load(Ordering::SeqCst) {
                let sequence = server.sequence.fetch_add(1, Ordering::SeqCst) + 1;
                let body = format!(
                    "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"{}\",\
                     \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
                     \"models\":[],\"sequence\":{sequence},\"born\":{}}}",
                    server.address, server.version, server.born
                );
                let path = format!("/Instances.Heartbeat/{}", server.id);
                post(controls[0], &path, &body, CALL_TIMEOUT);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Some(request) = lib::read_message(&mut stream) else {
            return;
        };
        let attempt = request.header("attempt-id").to_owned();
        let first: u64 = request.header("last-event-id").parse().unwrap_or(0) + 1;
        record.note(&format!(
            "server {} ({}) runs {attempt} from event {first} on",
            self.id, self.version
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let _ = stream.write_all(head.as_bytes());
        for number in first..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if self.version == "v2" && number > BREAKS_AFTER {
                self.is_down.store(true, Ordering::SeqCst);
                record.note(&format!("server {} crashes", self.id));
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let event = format!("id: {number}\ndata: {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// A proxy before the control processes, at the addresses by which other processes know them.
struct Proxy {
    /// Machines by the name of each of their processes.
    processes: HashMap<String, usize>,
    /// Machine that is cut off.
    alone: Mutex<Option<usize>>,
}

impl Proxy {
    fn start(deployment: &Deployment) -> Arc<Proxy> {
        let mut processes = HashMap::new();
        for (index, machine) in deployment.machines.iter().enumerate() {
            processes.insert(machine.name.clone(), index);
            processes.insert(format!("edge-{}", machine.name), index);
        }
        let proxy = Arc::new(Proxy {
            processes,
            alone: Mutex::new(None),
        });
        let port = deployment.peer_port();
        for machine in &deployment.machines[..ZONES] {
            let listener = TcpListener::bind((machine.name.as_str(), port)).expect("a free port");
            let to = SocketAddr::new(machine.ip.parse().unwrap(), port);
            let proxy = proxy.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let proxy = proxy.clone();
                    thread::spawn(move || proxy.serve(stream, to));
                }
            });
        }
        proxy
    }

    /// Cuts a machine off. Nothing tells either side.
    fn cut(&self, machine: usize) {
        *self.alone.lock().unwrap() = Some(machine);
    }

    fn heal(&self) {
        *self.alone.lock().unwrap() = None;
    }

    fn serve(self: &Arc<Self>, dialer: TcpStream, to: SocketAddr) {
        let Ok(acceptor) = TcpStream::connect(to) else {
            return;
        };
        let from = Arc::new(Mutex::new(None));
        let pairs = [
            (dialer.try_clone(), acceptor.try_clone(), true),
            (Ok(acceptor), Ok(dialer), false),
        ];
        for (read, write, is_dialer) in pairs {
            let (Ok(read), Ok(write)) = (read, write) else {
                return;
            };
            let (proxy, from) = (self.clone(), from.clone());
            thread::spawn(move || proxy.pass(read, write, is_dialer, &from));
        }
    }

    /// Passes bytes on in one direction. Those of the machine that is cut off are lost, and with them
    /// the connection.
    fn pass(
        &self,
        mut read: TcpStream,
        mut write: TcpStream,
        is_dialer: bool,
        from: &Mutex<Option<usize>>,
    ) {
        let _ = write.set_nodelay(true);
        let mut part = [0; 16_384];
        let mut begun = Vec::new();
        let mut is_lost = false;
        while let Ok(count @ 1..) = read.read(&mut part) {
            if is_dialer && from.lock().unwrap().is_none() {
                begun.extend_from_slice(&part[..count]);
                *from.lock().unwrap() = self.dialer(&begun);
            }
            let from = *from.lock().unwrap();
            is_lost |= from.is_some() && from == *self.alone.lock().unwrap();
            if !is_lost && write.write_all(&part[..count]).is_err() {
                break;
            }
        }
        let _ = write.shutdown(Shutdown::Both);
        let _ = read.shutdown(Shutdown::Both);
    }

    /// Returns the machine that opened a connection, which names itself in its first frame after the
    /// upgrade to a WebSocket.
    fn dialer(&self, begun: &[u8]) -> Option<usize> {
        let end = begun.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
        let frame = &begun[end..];
        let (at, length) = match frame.get(1)? & 0x7f {
            126 => (
                4,
                usize::from(u16::from_be_bytes([*frame.get(2)?, *frame.get(3)?])),
            ),
            length => (2, usize::from(length)),
        };
        let mask = frame.get(at..at + 4)?;
        let payload = frame.get(at + 4..at + 4 + length)?;
        let plain: Vec<u8> = payload
            .iter()
            .enumerate()
            .map(|(index, byte)| byte ^ mask[index % 4])
            .collect();
        let text = String::from_utf8_lossy(&plain);
        let mut names: Vec<&String> = self.processes.keys().collect();
        names.sort_by_key(|name| std::cmp::Reverse(name.len()));
        let name = names
            .into_iter()
            .find(|name| text.contains(name.as_str()))?;
        self.processes.get(name).copied()
    }
}
