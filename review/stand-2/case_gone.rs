//! Clients leave while their replica is silent for a moment, which then turns work away.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Run, Verdict, client,
    host::{Host, Options},
    replica::{self, SEAL},
    store::Store,
};

/// Slots and queue of a replica of the small sites, and its work.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(30);
/// Silence of a sound replica.
const SILENCE: Duration = Duration::from_millis(1_300);
const REQUESTS: usize = 150;
/// Time between two requests.
const BETWEEN: Duration = Duration::from_millis(1);
/// Time after which clients leave: half the objective.
const LEAVE: Duration = Duration::from_millis(250);

pub fn run(run: &Run) -> Verdict {
    let (net, record) = (&run.net, &run.record);
    let store = Store::start(net.address(200, 0));
    let route = replica::route("/order/", "mutating", "desk", 8_000, 500, 1);
    store.put(
        "op/config",
        &replica::configuration(7, &[route], &["desk"], ""),
    );
    let places = [("ba-palermo", "buenos-aires"), ("cba-centro", "cordoba")];
    let is_silent = Arc::new(AtomicBool::new(false));
    // Times at which requests reached a replica, by attempt.
    let reached: Arc<Mutex<HashMap<String, Vec<(u64, String)>>>> = Arc::default();
    let started = Arc::new(AtomicUsize::new(0));
    for (number, (zone, _)) in places.iter().enumerate() {
        let id = format!("desk-{number}");
        let (record, name, reached) = (record.clone(), id.clone(), Arc::clone(&reached));
        let (is_silent, held, started) = (
            Arc::clone(&is_silent),
            AtomicUsize::new(0),
            Arc::clone(&started),
        );
        let running = Mutex::new(0_usize);
        let address = replica::start(&id, net.address(210, 0), move |arrived| {
            // A silent replica has not read what waits in its sockets.
            while number == 0 && is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            let attempt = arrived.attempt();
            let at_ms = record.now_ms();
            reached
                .lock()
                .expect("the times")
                .entry(attempt.clone())
                .or_default()
                .push((at_ms, name.clone()));
            if held.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
                held.fetch_sub(1, Ordering::SeqCst);
                record.line(&format!("{name} is full, has not run {attempt}"));
                return arrived.answer(503, "X-Not-Run: 1\r\nX-Server-Load: 6,24,6\r\n", b"");
            }
            loop {
                let mut running = running.lock().expect("the count");
                if *running < SLOTS {
                    *running += 1;
                    break;
                }
                drop(running);
                thread::sleep(Duration::from_millis(2));
            }
            record.line(&format!("{name} runs {attempt}"));
            started.fetch_add(1, Ordering::SeqCst);
            thread::sleep(WORK);
            *running.lock().expect("the count") -= 1;
            held.fetch_sub(1, Ordering::SeqCst);
            arrived.answer(200, &format!("{SEAL}X-Server-Load: 1,0,6\r\n"), b"booked")
        });
        let (key, value) = replica::item(&id, "desk", address, zone, SLOTS as u32);
        store.put(&key, &value);
    }
    // Three machines where the silent replica is, and one in another region.
    let machines = [places[0], places[0], places[0], places[1]];
    let hosts = machines.iter().zip(1..).map(|((zone, region), number)| {
        let options = Options::default();
        Host::start(
            net,
            number,
            zone,
            region,
            store.address,
            &run.folder,
            &options,
        )
    });
    let hosts: Vec<Host> = hosts.collect();
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CouldNotRun("a host did not become ready".into());
    }
    // The machines are in touch, and traffic has run for some seconds.
    let fronts: Vec<_> = hosts[..3].iter().map(|host| host.front).collect();
    for number in 0..240 {
        let front = fronts[number % fronts.len()];
        let seen = client::call(
            front,
            "POST",
            "/order/2f",
            &format!("w{number:04}"),
            8_000,
            "",
            b"{}",
        );
        if !seen.is_served() {
            return Verdict::CouldNotRun(format!("not served before: {}", seen.text()));
        }
        thread::sleep(Duration::from_millis(40));
    }
    if run.has_trouble {
        record.line("desk-0 falls silent");
        is_silent.store(true, Ordering::SeqCst);
        let (is_silent, record) = (Arc::clone(&is_silent), record.clone());
        thread::spawn(move || {
            thread::sleep(SILENCE);
            record.line("desk-0 goes on");
            is_silent.store(false, Ordering::SeqCst);
        });
    }
    let calls = (0..REQUESTS).map(|number| {
        thread::sleep(BETWEEN);
        let (record, front) = (record.clone(), fronts[number % fronts.len()]);
        thread::spawn(move || {
            let attempt = format!("g{number:04}");
            let Ok(mut wire) = client::open(front) else {
                return (attempt, None);
            };
            let request = client::head("POST", "/order/2f", &attempt, 8_000, "", 2);
            let _ = wire.write(request.as_bytes());
            let _ = wire.write(b"{}");
            record.line(&format!("client sends {attempt}"));
            wire.set_limit(LEAVE);
            let seen = client::read(&mut wire, |_| {});
            let is_left = matches!(&seen, client::Seen::Nothing(_));
            drop(wire);
            let left_ms = record.now_ms();
            match is_left {
                true => record.line(&format!("client of {attempt} leaves")),
                false => record.line(&format!("client got for {attempt}: {}", seen.text())),
            }
            (attempt, is_left.then_some(left_ms))
        })
    });
    let calls: Vec<_> = calls.collect();
    let calls: Vec<(String, Option<u64>)> = calls
        .into_iter()
        .map(|call| call.join().expect("a client"))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let reached = reached.lock().expect("the times");
    let mut late = 0;
    for (attempt, left_ms) in &calls {
        let Some(left_ms) = left_ms else {
            continue;
        };
        // What a replica had in its sockets while it was silent had reached it in time.
        let later = reached
            .get(attempt)
            .map(|all| &all[1..])
            .unwrap_or_default();
        for (at_ms, name) in later.iter().filter(|(at_ms, _)| *at_ms > left_ms + 500) {
            record.line(&format!(
                "{attempt} reached {name} {} ms after its client had left",
                at_ms - left_ms
            ));
            late += 1;
        }
    }
    record.line(&format!(
        "requests that reached a replica over half a second later: {late}"
    ));
    match late > 5 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
