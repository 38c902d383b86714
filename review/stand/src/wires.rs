//! Paths that can be cut silently: packets and connections that pass are held back or dropped.

use std::{
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
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// Starts a relay of packets; those that come during a cut are dropped.
pub fn relay_packets(cut: &Cut) -> (SocketAddr, Target) {
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
pub fn proxy_connections(cut: &Cut, to: SocketAddr) -> SocketAddr {
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
