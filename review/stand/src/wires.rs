//! Paths that can be cut silently: packets and connections that pass are held back or dropped.

use std::{
    collections::BTreeMap,
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    thread,
    time::Duration,
};

use cardamombridge::{
    gateway::hosts::HOST_PREFIX,
    standin::metadata_store::{
        MetadataStore,
        StoreView, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Whether paths are cut.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    /// Cuts the paths, or heals them.
    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    fn wait_healed(&self) {
        while self.is_set() {
            thread::sleep(LOOK_INTERVAL);
        }
    }
}

/// Where packets of a relay go; none until it is known.
type Target = Arc<Mutex<Option<SocketAddr>>>;

/// Paths of the hosts of a region, of which one can be cut off from the store and the others.
pub struct Paths {
    apart: &'static str,
    near: SocketAddr,
    far: SocketAddr,
    /// Serves the store to the hosts that are not cut off, as long as it lives.
    _view: StoreView,
}

impl Paths {
    /// Lays the paths of `hosts`; `cut` cuts off the host `apart`.
    ///
    /// That host is reached, and reaches the others, through relays of packets, and the store
    /// through a proxy. The other hosts reach each other and the store without them.
    pub fn new(
        store: &MetadataStore,
        hosts: &[&'static str],
        apart: &'static str,
        cut: &Cut,
    ) -> Self {
        let relays: BTreeMap<&str, (SocketAddr, Target)> = hosts
            .iter()
            .map(|name| (*name, relay_packets(cut)))
            .collect();
        let known = Arc::new(Mutex::new(BTreeMap::<String, Value>::new()));
        let written = Arc::clone(&known);
        store.set_rewrite(move |key, value| {
            let name = key.strip_prefix(HOST_PREFIX)?;
            let mut item: Value = serde_json::from_slice(value).ok()?;
            let (address, target) = relays.get(name)?;
            let real: SocketAddr = item["peer_address"].as_str()?.parse().ok()?;
            *target.lock().expect("no relay panics") = Some(real);
            let mut written = written.lock().expect("no writer panics");
            written.insert(name.to_owned(), item.clone());
            item["peer_address"] = json!(address.to_string());
            Some(item.to_string().into_bytes())
        });
        let view = store.view(move |key, _| {
            let name = key.strip_prefix(HOST_PREFIX)?;
            let known = known.lock().expect("no writer panics");
            let item = known.get(name).filter(|_| name != apart)?;
            Some(item.to_string().into_bytes())
        });
        let view = view.expect("the view starts");
        Self {
            apart,
            near: view.address(),
            far: proxy_connections(cut, store.address()),
            _view: view,
        }
    }

    /// Returns where a host reaches the store.
    pub fn store_of(&self, host: &str) -> SocketAddr {
        match host == self.apart {
            true => self.far,
            false => self.near,
        }
    }
}

/// Starts a relay of packets; those that come during a cut are dropped.
fn relay_packets(cut: &Cut) -> (SocketAddr, Target) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("an address");
    let target = Target::default();
    let (cut, to) = (cut.clone(), Arc::clone(&target));
    thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while let Ok((count, _)) = socket.recv_from(&mut buffer) {
            let to = *to.lock().expect("no relay panics");
            if let Some(to) = to.filter(|_| !cut.is_set()) {
                // A lost packet is made good by the next one.
                let _ = socket.send_to(&buffer[..count], to);
            }
        }
    });
    (address, target)
}

/// Starts a proxy of connections; during a cut they hang.
fn proxy_connections(cut: &Cut, to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let cut = cut.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || {
                cut.wait_healed();
                let Ok(far) = TcpStream::connect(to) else {
                    return;
                };
                let copies = (near.try_clone(), far.try_clone());
                let (Ok(near_copy), Ok(far_copy)) = copies else {
                    return;
                };
                let back = cut.clone();
                thread::spawn(move || copy(far_copy, near_copy, &back));
                copy(near, far, &cut);
            });
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        cut.wait_healed();
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            // The other end may have closed it.
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
