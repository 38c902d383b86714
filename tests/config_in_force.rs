//! Promise `config_in_force`: an accepted configuration is in force in every
//! region within seconds and never reverts.

mod testenv;

use std::{
    collections::BTreeMap,
    env,
    fs,
    net::SocketAddr,
    process::Command,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    consul::{
        CasOutcome,
        KeyValue, //
    },
    rollout::{
        self,
        HEAD_KEY, //
    },
    standin::testbed::{
        MODEL,
        Testbed,
        TestbedOptions, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use testenv::{
    TestEnv,
    entry_hosts,
    revision_at,
    wait_for, //
};

/// Target for a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);
const KNOWN: Duration = Duration::from_secs(5);
/// How long a revision is watched after something could have reverted it.
const WATCHED: Duration = Duration::from_secs(2);
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Faults of the randomised test, one at a time or in pairs.
const FAULT_ROUNDS: usize = 5;
const FAULT_PAUSE: Duration = Duration::from_millis(800);
const SEED_VARIABLE: &str = "CONFIG_IN_FORCE_SEED";

/// What one run of the command line printed.
#[derive(Debug)]
struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs an intent command against the first host of a region.
fn intent(env: &TestEnv, region: &str, arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
        .current_dir(env.dir.path())
        .arg("intent")
        .args(arguments)
        .args(["--admin", &env.host(region).admin_address.to_string()])
        .args(["--key-file", "operator.key"])
        .output()
        .expect("the binary must run");
    Run {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// Plans a price of a model; every price is another change.
fn plan(env: &TestEnv, region: &str, name: &str, model: &str, price: u64) -> String {
    let text = format!(
        "[model/{model}]\nversion = 1\nprefill_micros_per_ktok = {price}u\n\
         decode_micros_per_ktok = 800u\n"
    );
    let file = format!("{name}.ini");
    let out = format!("{name}.plan");
    fs::write(env.dir.path().join(&file), text).expect("the intent file can be written");
    let planned = intent(env, region, &["plan", &file, "--out", &out]);
    assert_eq!(planned.code, Some(0), "{planned:?}");
    out
}

fn confirm(env: &TestEnv, region: &str, plan: &str) -> Run {
    intent(env, region, &["confirm", plan])
}

/// The revision that a confirmation reports.
fn accepted_revision(run: &Run) -> u64 {
    assert_eq!(run.code, Some(0), "{run:?}");
    let first = run.stdout.lines().next().unwrap_or_default();
    let number = first.split_whitespace().find_map(|word| word.parse().ok());
    number.unwrap_or_else(|| panic!("no revision in {run:?}"))
}

fn start(hosts_per_region: usize) -> TestEnv {
    let options = TestbedOptions::new().with_hosts_per_region(hosts_per_region);
    let env = TestEnv::start(&options);
    for host in &env.hosts {
        wait_for(KNOWN, "entry hosts of all regions", || {
            entry_hosts(host.address).len() >= env.hosts.len()
        });
    }
    env
}

fn wait_in_force(env: &TestEnv, revision: u64, since: Instant) {
    for host in &env.hosts {
        let left = IN_FORCE.saturating_sub(since.elapsed());
        wait_for(
            left,
            &format!("{revision} in force at {}", host.name),
            || revision_at(host.address) >= revision,
        );
    }
}

fn assert_never_below(env: &TestEnv, revision: u64) {
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        for host in &env.hosts {
            let shown = revision_at(host.address);
            assert!(shown >= revision, "{} shows {shown}", host.name);
        }
        thread::sleep(WATCH_INTERVAL);
    }
}

/// Guards against a change that is accepted but not in force in time.
#[test]
fn a_confirmed_change_is_in_force_at_every_host() {
    let env = start(2);
    let plan = plan(&env, "zapad", "price", MODEL, 300);

    let started = Instant::now();
    let confirmed = confirm(&env, "zapad", &plan);

    wait_in_force(&env, accepted_revision(&confirmed), started);
}

/// Guards against a host that takes an older head for the newest one, also when
/// it restarts.
#[test]
fn an_older_head_of_the_platform_reverts_nothing() {
    let mut env = start(2);
    let kv = KeyValue::new(env.testbed.platform.address());
    let older = kv.read(HEAD_KEY).expect("the head can be read");
    let older = older.value.expect("a head was written");
    let planned = plan(&env, "stred", "price", MODEL, 300);
    let revision = accepted_revision(&confirm(&env, "stred", &planned));
    wait_in_force(&env, revision, Instant::now());

    let newer = kv.read(HEAD_KEY).expect("the head can be read");
    let restored = kv.compare_and_swap(HEAD_KEY, newer.modify_index, older);
    assert!(matches!(restored, Ok(CasOutcome::Written)), "{restored:?}");

    assert_never_below(&env, revision);
    let host = env.host_mut("zapad");
    host.kill();
    host.start();
    host.wait_ready();
    wait_in_force(&env, revision, Instant::now());
    assert_never_below(&env, revision);
}

/// Guards against a change of one operator that silently replaces another's.
#[test]
fn of_racing_changes_of_one_object_one_wins_and_the_loser_sees_why() {
    let env = start(1);
    let first = plan(&env, "stred", "first", MODEL, 300);
    let second = plan(&env, "zapad", "second", MODEL, 400);
    let other = plan(&env, "sever", "other", "framing", 500);

    let runs = thread::scope(|scope| {
        let racing = [("stred", &first), ("zapad", &second), ("sever", &other)];
        let racing = racing.map(|(region, plan)| scope.spawn(|| confirm(&env, region, plan)));
        racing.map(|run| run.join().expect("a command must not panic"))
    });

    assert_eq!(runs[2].code, Some(0), "another object: {:?}", runs[2]);
    let mut codes = [runs[0].code, runs[1].code];
    codes.sort();
    assert_eq!(codes, [Some(0), Some(2)], "{runs:?}");
    let loser = runs[..2].iter().find(|run| run.code == Some(2));
    let reason = &loser.expect("one loses").stderr;
    assert!(reason.contains(&format!("model/{MODEL}")), "{reason}");
}

/// Guards against a lost answer that is reported as a failure or written twice.
#[test]
fn a_lost_answer_to_the_write_is_settled() {
    let env = start(1);
    let planned = plan(&env, "stred", "price", MODEL, 300);
    let before = revision_at(env.host("stred").address);
    env.testbed.platform.lose_write_answers(1);

    let confirmed = confirm(&env, "stred", &planned);

    assert_eq!(accepted_revision(&confirmed), before + 1);
    wait_in_force(&env, before + 1, Instant::now());
}

/// Guards against a region that misses a change because it cannot reach the
/// region of the store.
#[test]
fn a_region_cut_off_from_the_store_hears_through_the_third_one() {
    let mut env = start(1);
    env.testbed.set_platform_cut("zapad", true);
    env.testbed.set_cut_between("zapad", "stred", true);
    let planned = plan(&env, "stred", "price", MODEL, 300);

    let started = Instant::now();
    let confirmed = confirm(&env, "stred", &planned);

    wait_in_force(&env, accepted_revision(&confirmed), started);
}

/// Guards against a confirmation that hides a region which keeps the old
/// configuration.
#[test]
fn a_confirmation_names_a_region_that_cannot_be_reached() {
    let mut env = start(1);
    env.testbed.set_platform_cut("zapad", true);
    for other in ["stred", "sever"] {
        env.testbed.set_cut_between("zapad", other, true);
    }
    let planned = plan(&env, "stred", "price", MODEL, 300);

    let confirmed = confirm(&env, "stred", &planned);

    accepted_revision(&confirmed);
    let line_of = |region: &str| {
        let mut lines = confirmed.stdout.lines();
        let line = lines.find(|line| line.contains(region));
        line.unwrap_or_else(|| panic!("{region} is missing: {confirmed:?}"))
    };
    assert!(line_of("zapad").contains("not reachable"), "{confirmed:?}");
    for region in ["stred", "sever"] {
        assert!(line_of(region).contains("in force"), "{confirmed:?}");
    }
}

/// Guards against a host that takes over the older revision of a peer.
#[test]
fn a_peer_with_an_older_revision_reverts_nothing() {
    let mut env = start(1);
    env.testbed.set_platform_cut("zapad", true);
    for other in ["stred", "sever"] {
        env.testbed.set_cut_between("zapad", other, true);
    }
    let planned = plan(&env, "stred", "price", MODEL, 300);
    let revision = accepted_revision(&confirm(&env, "stred", &planned));
    assert!(revision_at(env.host("zapad").address) < revision);

    // The platform stays out of reach, so that the older revision stays longer.
    for other in ["stred", "sever"] {
        env.testbed.set_cut_between("zapad", other, false);
    }

    wait_in_force(&env, revision, Instant::now());
    assert_never_below(&env, revision);
}

/// Follows each host's revision, run by run, until told to stop.
fn follow(addresses: &[(String, SocketAddr)], runs: &[Arc<AtomicUsize>], is_over: &AtomicBool) {
    let mut highest: BTreeMap<(String, usize), u64> = BTreeMap::new();
    while !is_over.load(Ordering::Acquire) {
        for ((name, address), run) in addresses.iter().zip(runs) {
            let before = run.load(Ordering::Acquire);
            let shown = revision_at(*address);
            // A poll that spans a restart belongs to neither run.
            if shown == 0 || run.load(Ordering::Acquire) != before {
                continue;
            }
            let known = highest.entry((name.clone(), before)).or_default();
            assert!(shown >= *known, "{name} went from {known} to {shown}");
            *known = shown;
        }
        thread::sleep(WATCH_INTERVAL);
    }
}

fn seed() -> u64 {
    let given = env::var(SEED_VARIABLE).ok();
    let given = given.and_then(|text| text.parse().ok());
    given.unwrap_or_else(|| rand::rng().random())
}

/// Guards against combinations of faults under which a revision goes down or
/// hosts stay apart.
#[test]
fn revisions_only_rise_and_agree_after_random_faults() {
    let seed = seed();
    eprintln!("seed: {SEED_VARIABLE}={seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let regions = ["stred", "zapad", "sever"];
    let mut env = start(2);
    let addresses: Vec<_> = env
        .hosts
        .iter()
        .map(|h| (h.name.clone(), h.address))
        .collect();
    let runs: Vec<_> = env.hosts.iter().map(|_| Arc::default()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let follower = {
        let (runs, is_over) = (runs.clone(), Arc::clone(&is_over));
        thread::spawn(move || follow(&addresses, &runs, &is_over))
    };

    for round in 0..FAULT_ROUNDS {
        for _ in 0..2 {
            match rng.random_range(0..4) {
                0 => env.testbed.platform.set_down(true),
                1 => {
                    let region = regions[rng.random_range(0..regions.len())];
                    env.testbed.set_platform_cut(region, true);
                }
                2 => {
                    let left = rng.random_range(0..regions.len());
                    let right = (left + 1) % regions.len();
                    env.testbed
                        .set_cut_between(regions[left], regions[right], true);
                }
                _ => {
                    let index = rng.random_range(0..env.hosts.len());
                    env.hosts[index].kill();
                    runs[index].fetch_add(1, Ordering::AcqRel);
                    env.hosts[index].start();
                }
            }
        }
        // The change is refused while the platform is down, which is fine here.
        let changed = Testbed::intent_text(&TestbedOptions::new())
            .replace("permille = 950", &format!("permille = {}", 900 + round));
        if let Err(error) = env.testbed.accept(&changed) {
            eprintln!("round {round}: {error}");
        }
        thread::sleep(FAULT_PAUSE);
        env.testbed.platform.set_down(false);
        for (index, region) in regions.iter().enumerate() {
            env.testbed.set_platform_cut(region, false);
            let right = regions[(index + 1) % regions.len()];
            env.testbed.set_cut_between(region, right, false);
        }
    }
    let ended = Instant::now();
    let kv = KeyValue::new(env.testbed.platform.address());
    let newest = rollout::load(&kv).expect("the store is back").revision.0;

    wait_in_force(&env, newest, ended);

    is_over.store(true, Ordering::Release);
    follower.join().expect("no revision may go down");
    for host in &env.hosts {
        assert_eq!(revision_at(host.address), newest, "{}", host.name);
    }
}
