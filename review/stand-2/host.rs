//! Gateway processes, started with the run command and the template of the deploy file.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http::Wire;

unsafe extern "C" {
    safe fn kill(process: i32, signal: i32) -> i32;
    fn getrlimit(resource: i32, limit: *mut [u64; 2]) -> i32;
    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
    fn sched_getaffinity(thread: i32, bytes: usize, cores: *mut Cores) -> i32;
    fn sched_setaffinity(thread: i32, bytes: usize, cores: *const Cores) -> i32;
}

/// Returns how many descriptors this process may open.
pub fn descriptors() -> usize {
    let mut limit = [0_u64; 2];
    // The call gets a valid pointer to the two numbers of the limit.
    unsafe { getrlimit(DESCRIPTORS, &mut limit) };
    limit[0] as usize
}

/// One bit for each core.
type Cores = [u64; 16];

/// Lets the calling thread, and what it starts, run on one of its cores only, as the machines of
/// the small sites have one; returns what it could use before.
fn use_one_core(number: usize) -> Cores {
    let mut before: Cores = [0; 16];
    let bytes = std::mem::size_of::<Cores>();
    // Both calls get a valid pointer to a set of cores of that size.
    unsafe {
        sched_getaffinity(0, bytes, &mut before);
        let usable: Vec<usize> = (0..1_024)
            .filter(|core| before[core / 64] >> (core % 64) & 1 == 1)
            .collect();
        if !usable.is_empty() {
            let core = usable[number % usable.len()];
            let mut one: Cores = [0; 16];
            one[core / 64] = 1 << (core % 64);
            sched_setaffinity(0, bytes, &one);
        }
    }
    before
}

fn use_cores(cores: &Cores) {
    // The call gets a valid pointer to a set of cores of that size.
    unsafe {
        sched_setaffinity(0, std::mem::size_of::<Cores>(), cores);
    }
}

/// Resource number of the most descriptors on Linux.
const DESCRIPTORS: i32 = 7;

/// Lets this process open as many descriptors as it may without more rights.
pub fn allow_descriptors() {
    let mut limit = [0_u64; 2];
    // Both calls get a valid pointer to the two numbers of the limit.
    unsafe {
        if getrlimit(DESCRIPTORS, &mut limit) == 0 {
            limit[0] = limit[1];
            setrlimit(DESCRIPTORS, &limit);
        }
    }
}

/// Processes that this one has started and not seen the end of.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this process, and all that it has started, if it still runs after `limit`.
pub fn end_all_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("could not run: the run took too long");
        for process in STARTED.lock().expect("the processes").iter() {
            kill(*process as i32, SIGKILL);
        }
        std::process::exit(2);
    });
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Loopback addresses of one run, apart from those of others.
pub struct Net {
    high: u8,
    low: u8,
}

impl Net {
    pub fn new() -> Self {
        let start = std::process::id();
        for offset in 0..2_000 {
            let number = start.wrapping_mul(7).wrapping_add(offset);
            let (high, low) = ((number / 250 % 200 + 20) as u8, (number % 250 + 1) as u8);
            let address = SocketAddr::from(([127, high, low, 1], 9464));
            if TcpListener::bind(address).is_ok() {
                return Self { high, low };
            }
        }
        panic!("no free loopback addresses");
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.high, self.low, number)
    }

    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(number), port))
    }
}

/// Bounds of the small sites that the template uses.
pub struct Options {
    pub memory_mb: u64,
    pub grace_s: u64,
    pub min_ttl_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            grace_s: 8,
            min_ttl_ms: 1_000,
        }
    }
}

pub struct Host {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
}

impl Host {
    /// Starts a host on the machine `number`, in the region and zone of that name.
    pub fn start(
        net: &Net,
        number: u8,
        zone: &str,
        region: &str,
        store: SocketAddr,
        folder: &Path,
        options: &Options,
    ) -> Self {
        let name = format!("edge-{zone}-{number}");
        let ip = net.ip(number).to_string();
        let seeds = [1, 2, 3].map(|seed| net.address(seed, 8144).to_string());
        let template = fs::read_to_string("deploy/settings.ini").expect("the template");
        let zones = "ba-palermo = buenos-aires\ncba-centro = cordoba\nmza-godoy = mendoza\n";
        let begin = template.find("{{#zones}}").expect("the zones");
        let end = template.find("{{/zones}}").expect("the zones") + "{{/zones}}".len();
        let text = format!("{}{zones}{}", &template[..begin], &template[end..]);
        let values = [
            ("node", name.clone()),
            ("region", region.into()),
            ("zone", zone.into()),
            ("limits.cpu_share", "0.25".into()),
            ("limits.ram_mb", options.memory_mb.to_string()),
            ("listen.front", format!("{ip}:8149")),
            ("listen.ready", format!("{ip}:8141")),
            ("listen.directory", format!("{ip}:8143")),
            ("ip", ip.clone()),
            ("port_range.0", "7380".into()),
            ("seeds", seeds.join(",")),
            ("infra.addr", store.to_string()),
            ("infra.min_ttl_ms", options.min_ttl_ms.to_string()),
            ("bounds.grace_s", options.grace_s.to_string()),
            ("bounds.cold_factor", "1.5".into()),
            ("bounds.cold_slack", "3".into()),
            ("bounds.retry_ratio", "0.2".into()),
            ("bounds.retry_slack", "58".into()),
            ("bounds.retry_window_s", "10".into()),
        ];
        let text = values.iter().fold(text, |text, (field, value)| {
            text.replace(&format!("{{{{{field}}}}}"), value)
        });
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the settings");
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.expect("the run command").trim_matches('"').to_owned();
        let mut words = run.split(' ');
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).expect("the log");
        let cores = use_one_core(usize::from(number));
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CARDAMOMBRIDGE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("the log"))
            .stderr(output)
            .spawn()
            .expect("the gateway starts");
        use_cores(&cores);
        STARTED.lock().expect("the processes").push(child.id());
        Self {
            child,
            name,
            front: net.address(number, 8149),
            ready: net.address(number, 8141),
            directory: net.address(number, 8143),
        }
    }

    pub fn signal(&self, signal: i32) {
        kill(self.child.id() as i32, signal);
    }

    fn forget(&self) {
        let id = self.child.id();
        STARTED
            .lock()
            .expect("the processes")
            .retain(|other| *other != id);
    }

    /// Returns how the process has ended; none if it runs.
    pub fn end(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        self.forget();
        Some(status.to_string())
    }

    /// Asks the readiness check once; true if it answers 200 within `limit`.
    pub fn is_ready(&self, limit: Duration) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, limit) else {
            return false;
        };
        let mut wire = Wire::new(stream);
        wire.set_limit(limit);
        let question =
            b"GET /cardamombridge/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let is_sent = wire.write(question).is_ok();
        is_sent && matches!(wire.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready(Duration::from_millis(500)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.forget();
    }
}
