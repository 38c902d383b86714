//! Guards the operators' interface and its commands, driven through the binary.

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    process::Command,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU16,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use cardamombridge::{
    admin::{
        Admin,
        HostStatus,
        OperatorKey,
        RegionState,
        Status,
        TargetStatus, //
    },
    burn::{
        Burn,
        BurnReport,
        Delivery,
        Promise, //
    },
    consul::KeyValue,
    plan::PlanRules,
    rollout,
    standin::platform::PlatformStandin,
    types::{
        Incarnation,
        Millis,
        Revision, //
    }, //
};
use expect_test::expect;
use tempfile::TempDir;

const KEY: &str = "operator-secret";

/// A host with an operators' interface on top of a stand-in.
struct Fixture {
    standin: PlatformStandin,
    kv: KeyValue,
    address: SocketAddr,
    directory: TempDir,
    regions: Arc<Mutex<Vec<RegionState>>>,
}

/// What one run of the binary printed.
#[derive(Debug)]
struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn region(name: &str, revision: Option<u64>) -> RegionState {
    RegionState {
        region: name.parse().expect("region"),
        lowest_revision: revision.map(Revision),
    }
}

fn status() -> Status {
    Status {
        host: "gw-1".parse().expect("host"),
        incarnation: Incarnation(1),
        region: "stred".parse().expect("region"),
        revision: Revision(3),
        is_ready: true,
        is_leaving: false,
        open_requests: 5,
        platform_ago_ms: Some(Millis(120)),
        regions: vec![region("stred", Some(3)), region("zapad", None)],
        hosts: vec![HostStatus {
            host: "gw-2".parse().expect("host"),
            region: "stred".parse().expect("region"),
            revision: Revision(3),
            is_leaving: true,
            heard_ago_ms: Millis(200),
        }],
        targets: vec![TargetStatus {
            target: "model/stain-advice".parse().expect("target"),
            region: "stred".parse().expect("region"),
            live: 6,
            leaving: 1,
            slots: 48,
            busy: 17,
        }],
    }
}

fn burn() -> BurnReport {
    let mut burn = Burn::new("gw-1".parse().expect("host"));
    let caller = "drevoton".parse().expect("caller");
    let promise = Promise {
        first_token_ms: None,
        whole_ms: Millis(1_000),
        objective_permille: 990,
    };
    for number in 0..1_000 {
        let late = number % 100 == 0 || number < 5;
        let delivery = Delivery {
            first_token_ms: None,
            whole_ms: Some(Millis(if late { 2_000 } else { 500 })),
        };
        burn.record(Millis(3_600_000), &caller, &promise, &delivery);
    }
    burn.report(Millis(3_600_000))
}

/// An address that no other test or process is given: a free port that was bound
/// and given back was sometimes taken before the interface bound it again.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    const PORT: u16 = 18_081;
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = 160 + (std::process::id() % 90) as u8;
    SocketAddr::from((Ipv4Addr::new(127, process, high, low), PORT))
}

impl Fixture {
    fn new() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let standin = PlatformStandin::start(any).expect("the stand-in starts");
        let kv = KeyValue::new(standin.address());
        let address = own_address();
        let regions = Arc::new(Mutex::new(Vec::new()));
        let known = Arc::clone(&regions);
        let admin = Admin {
            operator_key: OperatorKey::new(KEY.as_bytes()),
            kv: kv.clone(),
            rules: PlanRules::default(),
            in_force_wait: Duration::from_millis(300),
            in_force: Arc::new(Default::default),
            accepted: Arc::new(|_| ()),
            regions: Arc::new(move || known.lock().expect("no panic").clone()),
            status: Arc::new(|| Some(status())),
            burn: Arc::new(burn),
        };
        admin.serve(address).expect("the interface starts");
        let directory = tempfile::tempdir().expect("a directory");
        let fixture = Self {
            standin,
            kv,
            address,
            directory,
            regions,
        };
        fixture.write("operator.key", &format!("{KEY}\n"));
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.directory.path().join(name), text).expect("write");
    }

    fn run(&self, arguments: &[&str]) -> Run {
        self.run_with_key(arguments, "operator.key")
    }

    fn run_with_key(&self, arguments: &[&str], key_file: &str) -> Run {
        let output = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
            .current_dir(self.directory.path())
            .args(arguments)
            .args(["--admin", &self.address.to_string()])
            .args(["--key-file", key_file])
            .output()
            .expect("the binary runs");
        Run {
            code: output.status.code(),
            stdout: String::from_utf8(output.stdout).expect("UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("UTF-8"),
        }
    }
}

fn model(version: &str) -> String {
    format!(
        "[model/m]\nversion = {version}\nprefill_micros_per_ktok = 1u\n\
         decode_micros_per_ktok = 2u\n"
    )
}

/// Guards against a confirmation that hides a region it did not reach, and
/// against a conflict that looks like success.
#[test]
fn a_plan_is_confirmed_region_by_region_and_a_conflict_exits_with_2() {
    let fixture = Fixture::new();
    *fixture.regions.lock().expect("no panic") = vec![
        region("stred", Some(1)),
        region("zapad", Some(0)),
        region("sever", None),
    ];
    fixture.write("one.ini", &model("1"));
    fixture.write("two.ini", &model("2"));

    let one = fixture.run(&["intent", "plan", "one.ini", "--out", "one.plan"]);
    let two = fixture.run(&["intent", "plan", "two.ini", "--out", "two.plan"]);
    let confirmed = fixture.run(&["intent", "confirm", "one.plan"]);
    let conflict = fixture.run(&["intent", "confirm", "two.plan"]);
    let repeated = fixture.run(&["intent", "confirm", "one.plan", "--json"]);
    let history = fixture.run(&["intent", "history"]);

    assert_eq!((one.code, two.code), (Some(0), Some(0)), "{one:?} {two:?}");
    assert!(one.stdout.contains("add model/m\n  version: (none) -> 1\n"));
    assert_eq!(confirmed.code, Some(0), "{confirmed:?}");
    let lines: Vec<&str> = confirmed.stdout.lines().collect();
    assert_eq!(lines[0], "accepted as revision 1");
    assert_eq!(lines[1], "  sever: not reachable");
    assert!(
        lines[2].starts_with("  stred: in force after "),
        "{lines:?}"
    );
    assert_eq!(lines[3], "  zapad: not in force yet, still at revision 0");
    assert_eq!(conflict.code, Some(2), "{conflict:?}");
    assert!(conflict.stderr.contains("model/m was changed by "));
    assert!(conflict.stderr.contains("at revision 1"));
    let repeated: serde_json::Value = serde_json::from_str(&repeated.stdout).expect("JSON");
    assert_eq!(repeated["accepted"]["is_repeat"], true);
    assert!(history.stdout.starts_with("revision 1, change "));
    assert!(history.stdout.ends_with("\n  set model/m\n"));
    let intents = rollout::load(&fixture.kv).expect("load");
    assert_eq!(intents.revision, Revision(1));
}

/// Guards against changes without the key, and against a key that is printed.
#[test]
fn a_wrong_key_is_refused_and_never_shown() {
    let fixture = Fixture::new();
    fixture.write("wrong.key", "wrong-secret");
    fixture.write("one.ini", &model("1"));
    let commands: [&[&str]; 3] = [&["status"], &["intent", "plan", "one.ini"], &["burn"]];

    let runs = commands.map(|command| fixture.run_with_key(command, "wrong.key"));

    for run in runs {
        assert_eq!(run.code, Some(1), "{run:?}");
        assert!(run.stdout.is_empty());
        assert_eq!(
            run.stderr,
            "cardamombridge: operator key is missing or wrong\n"
        );
    }
    let key = OperatorKey::new(KEY.as_bytes());
    assert_eq!(format!("{key:?}"), "OperatorKey");
}

/// Guards against exit codes that a script cannot tell apart.
#[test]
fn refusals_exit_with_2_and_all_other_errors_with_1() {
    let fixture = Fixture::new();
    fixture.write("refused.ini", "[model/none]\nremove = true\n");
    fixture.write("bad.ini", "[model/m]\nversion = 1\ncolour = red\n");
    fixture.write("one.ini", &model("1"));

    let refused = fixture.run(&["intent", "plan", "refused.ini"]);
    let bad = fixture.run(&["intent", "plan", "bad.ini"]);
    let usage = fixture.run(&["intent", "plan"]);
    let missing = fixture.run(&["intent", "confirm", "none.plan"]);
    fixture.standin.set_down(true);
    let outage = fixture.run(&["intent", "plan", "one.ini"]);

    assert_eq!(refused.code, Some(2), "{refused:?}");
    let errors = [&bad, &usage, &missing, &outage];
    assert!(errors.iter().all(|run| run.code == Some(1)), "{errors:?}");
    assert!(
        bad.stderr
            .contains("bad.ini:3: unknown key \"colour\" in [model/m] has value \"red\"")
    );
    assert!(outage.stderr.contains("no response from the platform"));
}

/// Guards against status and burn that leave out what operators look for.
#[test]
fn status_and_burn_are_printed_as_text() {
    let fixture = Fixture::new();

    let status = fixture.run(&["status"]);
    let burn = fixture.run(&["burn"]);

    expect![[r#"
        host gw-1 in stred: ready
        revision 3
        requests in progress: 5
        key-value service: responded 120ms ago
        regions:
          stred: revision 3
          zapad: not reachable
        hosts:
          gw-2 in stred: revision 3, heard 200ms ago, leaving
        endpoints:
          model/stain-advice in stred: 6 live, 1 leaving, 17 of 48 slots busy
        caller               objective      burn 5m   burn 1h   burn 6h   burn 3d    budget   requests   p50 ms   p99 ms  alert
        drevoton             whole answer      1.40      1.40      1.40      1.40    -40.0%       1000      511     2047  ticket
        drevoton             served            0.00      0.00      0.00      0.00    100.0%       1000        -        -  -
        hosts: 1
    "#]]
    .assert_eq(&(status.stdout + &burn.stdout));
}

/// Guards against completions that know no commands.
#[test]
fn completions_name_the_commands() {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
        .args(["completions", "bash"])
        .output()
        .expect("the binary runs");

    let script = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(output.status.success());
    assert!(
        ["intent", "confirm", "--key-file"]
            .iter()
            .all(|word| script.contains(word))
    );
}
