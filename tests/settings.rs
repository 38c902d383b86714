//! Guards settings that are wrong: the binary must name the file, line, key,
//! value and what was expected, exit with an error and start nothing.

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    path::PathBuf,
    process::Command,
    sync::atomic::{
        AtomicU16,
        Ordering, //
    }, //
};

use expect_test::{
    Expect,
    expect, //
};
use tempfile::TempDir;

const FILE_NAME: &str = "host.ini";

/// A settings file in a directory of its own.
struct Fixture {
    directory: TempDir,
    caller_address: SocketAddr,
    text: String,
}

/// What the binary did with a file.
struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// An address that no other test or process is given: the last two bytes count,
/// and the second one comes from the process.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    const PORT: u16 = 18_080;
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = 160 + (std::process::id() % 90) as u8;
    SocketAddr::from((Ipv4Addr::new(127, process, high, low), PORT))
}

impl Fixture {
    /// Settings that are valid, with key files that exist.
    fn new() -> Self {
        let directory = TempDir::new().expect("a directory");
        for key in ["cluster.key", "operator.key"] {
            let path = directory.path().join(key);
            fs::write(path, "a key of thirty-two bytes or more").expect("key written");
        }
        let caller_address = own_address();
        let text = format!(
            "[host]\n\
             name = stred-1\n\
             region = stred\n\
             data_centre = stred-a\n\
             caller_address = {caller_address}\n\
             peer_address = {}\n\
             admin_address = {}\n\
             [platform]\n\
             address = 127.0.0.1:1\n\
             [keys]\n\
             cluster_key_file = {}\n\
             operator_key_file = {}\n\
             [limits]\n\
             drain_limit = 1000ms\n\
             [logs]\n\
             filter = info\n\
             [link.zapad]\n\
             latency = 80ms\n\
             rate = 2000Mbit/s\n",
            own_address(),
            own_address(),
            directory.path().join("cluster.key").display(),
            directory.path().join("operator.key").display(),
        );
        Self {
            directory,
            caller_address,
            text,
        }
    }

    /// The same with one line replaced.
    fn with_line(mut self, old: &str, new: &str) -> Self {
        let line = self.text.lines().find(|line| line.starts_with(old));
        let line = line.expect("the line is in the settings").to_owned();
        self.text = self.text.replacen(&line, new, 1);
        self
    }

    fn path(&self) -> PathBuf {
        self.directory.path().join(FILE_NAME)
    }

    fn run(&self, arguments: &[&str]) -> Run {
        fs::write(self.path(), &self.text).expect("settings written");
        let output = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
            .args(arguments)
            .arg(self.path())
            .output()
            .expect("the binary runs");
        let place = format!("{}/", self.directory.path().display());
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&place, "");
        Run {
            code: output.status.code(),
            stdout: text(&output.stdout),
            stderr: text(&output.stderr),
        }
    }

    /// Both commands must refuse the file with the same message.
    fn refused(&self, expected: Expect) {
        let check = self.run(&["settings", "check"]);
        let serve = self.run(&["serve"]);

        assert_eq!((check.code, serve.code), (Some(1), Some(1)));
        expected.assert_eq(&check.stderr);
        assert_eq!(serve.stderr, check.stderr);
        assert_eq!(check.stdout, "");
        let listener = TcpListener::bind(self.caller_address);
        assert!(listener.is_ok(), "the host still listens");
    }
}

/// Guards against a fixture whose errors come from something else.
#[test]
fn valid_settings_pass() {
    let run = Fixture::new().run(&["settings", "check"]);

    assert_eq!(run.code, Some(0), "{}", run.stderr);
    expect![[r#"
        host.ini: host stred-1 in region stred, settings are valid
    "#]]
    .assert_eq(&run.stdout);
}

/// Guards against a printed file that the same binary refuses.
#[test]
fn shown_settings_are_valid_settings() {
    let mut fixture = Fixture::new();
    let shown = fixture.run(&["settings", "show"]);
    assert_eq!(shown.code, Some(0), "{}", shown.stderr);
    fixture.text = shown.stdout.clone();

    let again = fixture.run(&["settings", "show"]);

    assert_eq!(again.code, Some(0), "{}", again.stderr);
    assert_eq!(again.stdout, shown.stdout);
    assert!(shown.stdout.contains("max_connections=2048"));
}

/// Guards against seconds that are taken as milliseconds.
#[test]
fn a_wrong_unit_is_refused() {
    let fixture = Fixture::new().with_line("drain_limit", "drain_limit = 60s");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:14: key "drain_limit" in [limits] has value "60s": expected a whole number followed by 'ms'
    "#]]);
}

#[test]
fn a_number_without_a_unit_is_refused() {
    let fixture = Fixture::new().with_line("rate", "rate = 2000");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:19: key "rate" in [link.zapad] has value "2000": expected a whole number followed by 'Mbit/s'
    "#]]);
}

/// Guards against a link that divides by zero.
#[test]
fn a_link_without_a_rate_is_refused() {
    let fixture = Fixture::new().with_line("rate", "rate = 0Mbit/s");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:19: key "rate" in [link.zapad] has value "0Mbit/s": expected a rate above 0Mbit/s
    "#]]);
}

#[test]
fn an_address_without_a_port_is_refused() {
    let fixture = Fixture::new().with_line("address", "address = 127.0.0.1");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:9: key "address" in [platform] has value "127.0.0.1": expected an IP address and port such as 127.0.0.1:8080
    "#]]);
}

#[test]
fn an_invalid_name_is_refused() {
    let fixture = Fixture::new().with_line("name", "name = Stred 1");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:2: key "name" in [host] has value "Stred 1": expected 1 to 64 characters of a-z, 0-9, '.', '_' and '-'
    "#]]);
}

/// Guards against a second value that silently wins.
#[test]
fn a_key_that_appears_twice_is_refused() {
    let fixture = Fixture::new().with_line("region", "region = stred\nregion = zapad");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:4: key "region" in [host] has value "zapad": expected each key once
    "#]]);
}

#[test]
fn a_section_that_appears_twice_is_refused() {
    let fixture = Fixture::new().with_line("filter", "filter = info\n[keys]");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:17: section [keys] appears twice: expected each section once
    "#]]);
}

/// Guards against a misspelt key that is ignored.
#[test]
fn an_unknown_key_is_refused() {
    let fixture = Fixture::new().with_line("drain_limit", "drain_limit_ms = 1000ms");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:14: unknown key "drain_limit_ms" in [limits] has value "1000ms": expected one of max_connections, drain_limit
    "#]]);
}

#[test]
fn an_unknown_section_is_refused() {
    let fixture = Fixture::new().with_line("[limits]", "[limit]");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:13: unknown section [limit]: expected one of host, platform, keys, peers, limits, policy, logs, metrics and link.REGION
    "#]]);
}

#[test]
fn a_link_without_a_region_is_refused() {
    let fixture = Fixture::new().with_line("[link.zapad]", "[link.]");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:17: unknown section [link.]: expected a region after the dot
    "#]]);
}

#[test]
fn a_missing_key_is_refused() {
    let fixture = Fixture::new().with_line("data_centre", "");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:1: missing key in [host]: expected "data_centre" with a value
    "#]]);
}

#[test]
fn a_missing_section_is_refused() {
    let fixture = Fixture::new()
        .with_line("[platform]", "")
        .with_line("address", "");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:1: missing section: expected [platform]
    "#]]);
}

/// Guards against a line that is joined to the next one.
#[test]
fn a_line_without_a_separator_is_refused() {
    let fixture = Fixture::new().with_line("region", "region stred");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:3: line has value "region stred": expected [SECTION] or KEY = VALUE
    "#]]);
}

#[test]
fn a_section_without_its_closing_bracket_is_refused() {
    let fixture = Fixture::new().with_line("[limits]", "[limits");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:13: line has value "[limits": expected [SECTION] or KEY = VALUE
    "#]]);
}

#[test]
fn a_key_above_all_sections_is_refused() {
    let mut fixture = Fixture::new();
    fixture.text.insert_str(0, "# Settings.\nname = stred-1\n");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:2: key "name" has value "stred-1": expected a section before the first key
    "#]]);
}

/// Guards against a filter that is found out only after the start.
#[test]
fn an_invalid_log_filter_is_refused() {
    let fixture = Fixture::new().with_line("filter", "filter = info,=[");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:16: key "filter" in [logs] has value "info,=[": expected directives such as info or warn,cardamombridge::peer=debug
    "#]]);
}

/// Guards against a host that can take no connection at all.
#[test]
fn a_limit_of_no_connections_is_refused() {
    let fixture = Fixture::new().with_line("drain_limit", "max_connections = 0");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:14: key "max_connections" in [limits] has value "0": expected a number from 1
    "#]]);
}

#[test]
fn two_listeners_on_one_address_are_refused() {
    let fixture = Fixture::new()
        .with_line("caller_address", "caller_address = 127.0.0.1:8080")
        .with_line("admin_address", "admin_address = 127.0.0.1:8080");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:7: key "admin_address" in [host] has value "127.0.0.1:8080": expected an address that no other key has
    "#]]);
}

/// Guards against a host that tells others an address that means themselves.
#[test]
fn a_peer_address_that_others_cannot_reach_is_refused() {
    let fixture = Fixture::new().with_line("peer_address", "peer_address = 0.0.0.0:7400");
    fixture.refused(expect![[r#"
        cardamombridge: host.ini:6: key "peer_address" in [host] has value "0.0.0.0:7400": expected an address that others can reach, or advertised_peer_address as well
    "#]]);
}

#[test]
fn a_missing_file_is_named() {
    let fixture = Fixture::new();
    let run = fixture.run(&["settings", "check"]);
    assert_eq!(run.code, Some(0));

    let output = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
        .args(["settings", "check", "no-such-file.ini"])
        .output()
        .expect("the binary runs");

    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("no-such-file.ini"), "{text}");
}

/// Guards against a host that serves with a key that anyone can guess.
#[test]
fn a_key_that_is_too_short_ends_the_start() {
    let fixture = Fixture::new();
    fs::write(fixture.directory.path().join("cluster.key"), "short").expect("key written");

    let run = fixture.run(&["serve"]);

    assert_eq!(run.code, Some(1));
    expect![[r#"
        cardamombridge: cluster.key: the key has 5 bytes, expected at least 32
    "#]]
    .assert_eq(&run.stderr);
    assert!(TcpListener::bind(fixture.caller_address).is_ok());
}
