//! Gateway hosts as processes, started with the command of the deploy file.

use std::{
    env,
    fs::{
        self,
        File, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::Path,
    process::{
        Child,
        Command,
        ExitStatus, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use nix::{
    sys::signal::{
        Signal,
        kill, //
    },
    unistd::Pid, //
};

use crate::call::Call;

/// Time in which a host has to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Further starts of a host that ends at once.
const START_TRIES: usize = 4;
/// Time in which a host whose ports are taken has ended.
const START_PAUSE: Duration = Duration::from_millis(200);
/// Time between SIGTERM and SIGKILL, as in the small sites.
pub const GRACE_S: u64 = 8;

/// A host that runs.
pub struct Host {
    child: Child,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
}

/// Returns loopback addresses with free ports.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"))
        .collect()
}

impl Host {
    /// Starts a host of a region of three, whose data centre is the region's name with `-a`; again
    /// if it ends at once because another process has taken one of its ports.
    pub fn start(directory: &Path, store: SocketAddr, name: &str, region: &str) -> Self {
        let mut host = Self::start_once(directory, store, name, region);
        for _ in 0..START_TRIES {
            thread::sleep(START_PAUSE);
            if host.ended().is_none() {
                break;
            }
            host = Self::start_once(directory, store, name, region);
        }
        host
    }

    fn start_once(directory: &Path, store: SocketAddr, name: &str, region: &str) -> Self {
        let ports = free_addresses(5);
        let text = format!(
            "[host]\nname = {name}\nregion = {region}\ndata_centre = {region}-a\ncapacity = 0.25\n\
             caller_address = {}\nready_address = {}\ndirectory_address = {}\n\
             peer_address = {}\nmetrics_address = {}\n\
             [store]\naddress = {store}\nmin_lease_ms = 1000\n\
             [data_centres]\nnorth-a = north\nsouth-a = south\nwest-a = west\n\
             [limits]\nshutdown_s = {GRACE_S}\ncold_factor = 1.5\ncold_slack = 3\n\
             retry_ratio = 0.2\nretry_slack = 56\nretry_window_s = 10\n\
             [logs]\nfilter = info\n",
            ports[0], ports[1], ports[2], ports[3], ports[4],
        );
        let settings = directory.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("settings can be written");
        let log = directory.join(format!("{name}.log"));
        let output = File::create(&log).expect("a log file");
        let program = env::var("GATEWAY").expect("GATEWAY names the program of the deploy file");
        let child = Command::new(program)
            .arg("gateway")
            .arg(&settings)
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .spawn()
            .expect("the host starts");
        Self {
            child,
            caller_address: ports[0],
            ready_address: ports[1],
        }
    }

    /// Returns whether the readiness check succeeds within a second.
    pub fn is_ready(&self) -> bool {
        let answer =
            Call::get("/cardamombridge/readyz").send(self.ready_address, Duration::from_secs(1));
        answer.status == Some(200)
    }

    /// Waits until the host is ready; false if it isn't in time.
    pub fn wait_ready(&self) -> bool {
        wait_until(READY_LIMIT, || self.is_ready())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // The process may have ended by itself.
        let _ = kill(pid, signal);
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the status can be read")
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds; false if it doesn't in time.
pub fn wait_until<F>(limit: Duration, mut holds: F) -> bool
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
