//! Stand-ins of servers, an operator and clients, and the processes of a small deployment.
//!
//! Only the standard library is used, so that `review/build.sh` needs nothing but the compiler.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two heartbeats of a server.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time within which a call of a server or the operator has to be answered.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a case runs.
pub const LONGEST_RUN: Duration = Duration::from_secs(110);
/// Zones of a deployment.
pub const ZONES: usize = 3;
/// Exit status of a script whose rule held.
pub const HELD: i32 = 0;
/// Exit status of a script whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a script that could not run.
pub const UNABLE: i32 = 2;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ids of the programs that run.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Signals that a case sends to processes that it started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    Kill = 9,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the file `path`.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {line}");
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message; `None` if the connection ends or fails before its end.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut part = [0; 4_096];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let mut message = Message {
        start: lines.next()?.to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
    let mut rest = bytes.split_off(end);
    let is_chunked = message.header("transfer-encoding").contains("chunked");
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    loop {
        let is_complete = match is_chunked {
            true => rest.ends_with(b"0\r\n\r\n"),
            false => rest.len() >= length,
        };
        if is_complete {
            message.body = rest;
            return Some(message);
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&part[..count]),
        }
    }
}

/// Sends bytes to `to` on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(bytes).ok()?;
    read_message(&mut stream)
}

/// Posts JSON to `to`.
pub fn post(to: SocketAddr, path: &str, body: &str, limit: Duration) -> Option<Message> {
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    exchange(to, request.as_bytes(), limit)
}

/// A server of a service, which runs each request at once.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    sequence: AtomicU64,
    beats: AtomicBool,
    serves: Arc<AtomicBool>,
    /// Time that it works on a request.
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub path: String,
}

impl Server {
    /// Starts a server that listens on `ip` and answers at once.
    pub fn start(id: &str, service: &str, ip: &str, record: &Record) -> Arc<Server> {
        Server::start_with(id, service, ip, Duration::ZERO, record)
    }

    /// Starts a server that works on each request for the time `work`.
    pub fn start_with(
        id: &str,
        service: &str,
        ip: &str,
        work: Duration,
        record: &Record,
    ) -> Arc<Server> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            serves: Arc::new(AtomicBool::new(true)),
            work,
            runs: Arc::default(),
        });
        let (accepting, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (accepting.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &record));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_message(&mut stream) {
            if !self.serves.load(Ordering::SeqCst) {
                return;
            }
            let attempt = request.header("attempt-id").to_owned();
            let expected = request.header("expect-instance");
            let is_other = !expected.is_empty() && expected != self.id;
            let (status, mark, body) = match is_other {
                true => ("421 Misdirected Request", "Not-Executed: 1", String::new()),
                false => (
                    "200 OK",
                    "Server-Seal: s",
                    format!("{} {attempt}", self.service),
                ),
            };
            if !is_other {
                let run = Run {
                    at: Instant::now(),
                    request: attempt.clone(),
                    path: request.path().to_owned(),
                };
                record.note(&format!(
                    "server {} ({}) runs {attempt} {}",
                    self.id, self.service, run.path
                ));
                self.runs.lock().unwrap().push(run);
                thread::sleep(self.work);
            }
            let answer = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{mark}\r\nInstance-Id: {}\r\n\
                 Instance-Load: 1,0,6\r\nKeep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the requests that ran here.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the body of its next heartbeat.
    pub fn heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    /// Sends heartbeats from now on, to one of `controls` until a call there fails, then to the next.
    pub fn announce(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let server = self.clone();
        thread::spawn(move || {
            let mut turn = 0;
            while server.beats.load(Ordering::SeqCst) {
                let body = server.heartbeat("ready");
                let path = format!("/Instances.Heartbeat/{}", server.id);
                for _ in 0..controls.len() {
                    let to = controls[turn % controls.len()];
                    let answer = post(to, &path, &body, CALL_TIMEOUT);
                    if answer.is_some_and(|answer| answer.status() / 100 == 2) {
                        break;
                    }
                    turn += 1;
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Sends no further heartbeat.
    pub fn stop_heartbeats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// Deregisters at `control`, and reports whether that acknowledged it.
    pub fn deregister(&self, control: SocketAddr) -> bool {
        self.stop_heartbeats();
        let path = format!("/Instances.Deregister/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let answer = post(control, &path, &body, CALL_TIMEOUT);
        answer.is_some_and(|answer| answer.status() / 100 == 2)
    }

    /// Ends: requests get no answer from now on.
    pub fn end(&self) {
        self.stop_heartbeats();
        self.serves.store(false, Ordering::SeqCst);
    }
}

/// A machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Address on which its programs listen.
    pub ip: String,
    /// Address at which other processes know it: its own, or that of a proxy before it.
    pub name: String,
    pub zone: String,
    pub has_disk: bool,
}

/// A running program.
struct Process {
    name: String,
    child: Child,
}

/// The processes of a deployment. All of them end when it is dropped.
pub struct Deployment {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    ports: [u16; 6],
    processes: Vec<Process>,
    record: Record,
}

const FRONT: usize = 0;
const READY: usize = 1;
const CONTROL: usize = 2;
const PEER: usize = 3;
const FORWARDING: usize = 4;
const METRICS: usize = 5;

impl Deployment {
    /// Starts the programs of all machines with the commands of the deploy file.
    pub fn start(machines: Vec<Machine>, record: &Record) -> Deployment {
        let mut deployment = Deployment::prepare(machines, record);
        deployment.start_all();
        deployment
    }

    /// Chooses the ports of a deployment, and starts no program.
    pub fn prepare(machines: Vec<Machine>, record: &Record) -> Deployment {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Deployment {
            folder,
            ports: free_ports(&machines),
            machines,
            processes: Vec::new(),
            record: record.clone(),
        }
    }

    /// Starts the programs of all machines for the first time.
    pub fn start_all(&mut self) {
        for index in 0..self.machines.len() {
            self.start_machine(index, true);
        }
        thread::spawn(|| {
            thread::sleep(LONGEST_RUN);
            unable("it takes too long");
        });
    }

    /// Returns the port at which control processes take connections of other processes.
    pub fn peer_port(&self) -> u16 {
        self.ports[PEER]
    }

    fn address(&self, machine: usize, port: usize) -> SocketAddr {
        let ip = self.machines[machine].ip.parse().unwrap();
        SocketAddr::new(ip, self.ports[port])
    }

    /// Returns the address of a machine's entry for clients.
    pub fn front(&self, machine: usize) -> SocketAddr {
        self.address(machine, FRONT)
    }

    /// Returns the address of a machine's control process.
    pub fn control(&self, machine: usize) -> SocketAddr {
        self.address(machine, CONTROL)
    }

    /// Returns the addresses of all control processes.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let machines = 0..self.machines.len();
        machines.map(|machine| self.control(machine)).collect()
    }

    /// Starts the programs of a machine; `bootstrap` at the first start of the deployment.
    pub fn start_machine(&mut self, index: usize, bootstrap: bool) {
        let Machine {
            ip,
            name,
            zone,
            has_disk,
        } = self.machines[index].clone();
        let seeds = self.machines.iter().filter(|machine| machine.has_disk);
        let port = self.ports[CONTROL];
        let seeds: Vec<String> = seeds
            .take(3)
            .map(|machine| format!("\"{}:{port}\"", machine.name))
            .collect();
        let seeds = seeds.join(", ");
        let keys = "deploy/keys.toml";
        let [_, _, _, peer, ..] = self.ports;
        let data = self.folder.join(format!("data-{ip}"));
        let data = match has_disk {
            true => format!("data-folder = \"{}\"\n", data.display()),
            false => String::new(),
        };
        let forwards = if has_disk {
            ""
        } else {
            "forwards-only = true\n"
        };
        let text = format!(
            "node = \"{name}\"\ndata-centre = \"{zone}\"\naddress = \"{ip}\"\n{data}\
             keys-file = \"{keys}\"\ninterface = \"platform\"\nseeds = [{seeds}]\n\n\
             [control]\nlisten = \"{}\"\npeer-port = {peer}\nfounds = {bootstrap}\n{forwards}\
             heartbeat = \"100ms\"\nelection-timeout = \"400ms\"\nrepair-after = \"2s\"\n\
             voters = 5\nannouncement-lease = \"6s\"\nlimit-window = \"8s\"\n\n\
             [control.usage]\nwindow = \"5s\"\ndue = \"10s\"\nlease = \"3000ms\"\n\n\
             [log]\nformat = \"json\"\n",
            self.control(index)
        );
        self.spawn("control", &ip, &text);
        let text = format!(
            "node = \"edge-{name}\"\ndata-centre = \"{zone}\"\naddress = \"{ip}\"\n\
             keys-file = \"{keys}\"\ninterface = \"platform\"\nmetrics = \"{}\"\n\
             seeds = [{seeds}]\n\n[entry]\nlisten = \"{}\"\nready = \"{}\"\nforwarding = \"{}\"\n\
             max-connections = 2500\nbalancer-lag = \"2500ms\"\ndrain-timeout = \"8s\"\n\n\
             [entry.retries]\nratio = 0.2\nwindow = \"10s\"\nslack = 58\n\n\
             [control]\npeer-port = {peer}\n\n[control.usage]\nwindow = \"5s\"\n\n\
             [log]\nformat = \"json\"\n",
            self.address(index, METRICS),
            self.front(index),
            self.address(index, READY),
            self.address(index, FORWARDING),
        );
        self.spawn("entry", &ip, &text);
    }

    fn spawn(&mut self, role: &str, ip: &str, settings: &str) {
        let name = format!("{role}-{ip}");
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log");
        let child = Command::new("target/release/chervilloft")
            .args([role, "--settings"])
            .arg(&path)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            unable("target/release/chervilloft can't be started");
        };
        self.record.note(&format!("{name} starts"));
        RUNNING.lock().unwrap().push(child.id() as i32);
        self.processes.push(Process { name, child });
    }

    /// Sends a signal to the programs of a machine.
    pub fn signal_machine(&mut self, index: usize, signal: Signal) {
        for role in ["control", "entry"] {
            self.signal(role, index, signal);
        }
    }

    /// Sends a signal to one program.
    pub fn signal(&mut self, role: &str, index: usize, signal: Signal) {
        let name = format!("{role}-{}", self.machines[index].ip);
        let mut found = self.processes.iter_mut().filter(|p| p.name == name);
        let Some(process) = found.next() else { return };
        // SAFETY: the id is that of a child that was not waited for.
        unsafe { kill(process.child.id() as i32, signal as i32) };
        self.record
            .note(&format!("{name} gets the signal {signal:?}"));
        if signal == Signal::Kill {
            let _ = process.child.wait();
            let id = process.child.id() as i32;
            RUNNING.lock().unwrap().retain(|running| *running != id);
            self.processes.retain(|process| process.name != name);
        }
    }

    /// Returns the names of programs that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                ended.push(format!("{} {status}", process.name));
            }
        }
        ended
    }

    /// Sends a configuration with routes and plain services until it is acknowledged.
    pub fn configure(&self, routes: &str, services: &[&str]) {
        let body = configuration(routes, services);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            for control in self.controls() {
                let answer = post(control, "/Configuration.Replace", &body, CALL_TIMEOUT * 3);
                if answer.is_some_and(|answer| answer.status() == 200) {
                    self.record
                        .note(&format!("{control} acknowledges the configuration"));
                    return;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        unable("no configuration was acknowledged");
    }

    /// Waits until the entry of each machine says that it is ready.
    pub fn wait_ready(&self) {
        let began = Instant::now();
        for machine in 0..self.machines.len() {
            let ready = self.address(machine, READY);
            let probe =
                format!("GET /readiness HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
            loop {
                let answer = exchange(ready, probe.as_bytes(), CALL_TIMEOUT);
                if answer.is_some_and(|answer| answer.status() == 200) {
                    break;
                }
                if began.elapsed() > Duration::from_secs(20) {
                    unable("an entry does not get ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.note("all entries are ready");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        RUNNING.lock().unwrap().clear();
        match std::env::var_os("KEEP") {
            Some(_) => println!("kept: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns a configuration with one tenant, whose key is `key-of-north`.
fn configuration(routes: &str, services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let services = services.collect::<Vec<_>>().join(",");
    let rest = r#""limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"north",
"api_keys":["key-of-north"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":0,
"burst":0}]}"#;
    format!("{{\"version\":1,\"routes\":[{routes}],\"services\":[{services}],{rest}")
}

/// Returns ports that are free on all machines.
fn free_ports(machines: &[Machine]) -> [u16; 6] {
    let mut ports = Vec::new();
    let mut kept = Vec::new();
    while ports.len() < 6 {
        let first = TcpListener::bind((machines[0].ip.as_str(), 0)).expect("a free port");
        let port = first.local_addr().unwrap().port();
        let names = machines.iter().filter(|machine| machine.name != machine.ip);
        let others = machines[1..].iter().map(|machine| &machine.ip);
        let others = others.chain(names.map(|machine| &machine.name));
        let others: Result<Vec<_>, _> = others
            .map(|ip| TcpListener::bind((ip.as_str(), port)))
            .collect();
        if let Ok(others) = others {
            ports.push(port);
            kept.push(others);
        }
        kept.push(vec![first]);
    }
    ports.try_into().unwrap()
}

/// Ends the case, because it can't run, and all programs that it started.
pub fn unable(reason: &str) -> ! {
    println!("the case can't run: {reason}");
    for id in RUNNING.lock().unwrap().iter() {
        // SAFETY: the id is that of a child that was not waited for.
        unsafe { kill(*id, Signal::Kill as i32) };
    }
    std::process::exit(UNABLE);
}

/// Reports whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns a small deployment: in each of three zones a machine with a disk and one without. All of them
/// run both roles of the deploy file.
pub fn small_deployment() -> Vec<Machine> {
    // A range of its own for each run, so that runs beside each other don't meet.
    let block = std::process::id() % 200 + 20;
    let machine = |index: usize| {
        let ip = format!("127.{block}.{}.1", index + 1);
        Machine {
            name: ip.clone(),
            ip,
            zone: format!("z{}", index % ZONES + 1),
            has_disk: index < ZONES,
        }
    };
    (0..2 * ZONES).map(machine).collect()
}
