//! Guards the pages and the examples against what the binary no longer does.

use std::{
    collections::BTreeSet,
    fs,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::Command, //
};

use cardamombridge::{
    cli::Cli,
    consul::KeyValue,
    intent::{
        Intents,
        Object,
        ObjectName, //
    },
    intent_file,
    metrics::{
        Kind,
        Metric,
        Unit, //
    },
    plan::{
        Plan,
        PlanRules, //
    },
    rollout::{
        self,
        Acceptor, //
    },
    standin::platform::PlatformStandin,
    types::{
        Millis,
        Revision, //
    }, //
};
use clap::CommandFactory;

const CUSTOMERS: [(&str, [&str; 3]); 2] = [
    ("drevoton", ["stred", "zapad", "sever"]),
    ("consorcio", ["buenos-aires", "cordoba", "mendoza"]),
];
const METRICS_START: &str = "<!-- metrics: generated, see tests/documentation.rs -->\n";
const METRICS_END: &str = "<!-- metrics: end -->\n";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

fn ini_files(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("a directory");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .filter(|path| path.extension().is_some_and(|kind| kind == "ini"))
        .collect()
}

/// Guards against an example that a host would refuse.
#[test]
fn all_example_settings_are_valid() {
    for (customer, _) in CUSTOMERS {
        let files = ini_files(&root().join("examples").join(customer));
        let settings: Vec<_> = files
            .iter()
            .filter(|path| !path.ends_with("intents.ini"))
            .collect();
        assert!(settings.len() >= 8, "{customer}: {}", settings.len());
        for path in settings {
            let output = Command::new(env!("CARGO_BIN_EXE_cardamombridge"))
                .args(["settings", "check"])
                .arg(path)
                .output()
                .expect("the binary runs");
            let errors = String::from_utf8_lossy(&output.stderr);
            assert!(output.status.success(), "{}: {errors}", path.display());
        }
    }
}

/// Guards against example intents that are refused, smaller than the design's
/// size, or too large to be accepted in one change.
#[test]
fn example_intents_are_accepted_at_the_size_of_the_design() {
    for (customer, regions) in CUSTOMERS {
        let name = format!("examples/{customer}/intents.ini");
        let wanted = intent_file::parse(&name, &read(&name)).expect("a valid intent file");
        let rules = PlanRules {
            regions: regions
                .iter()
                .map(|region| region.parse().expect("a region"))
                .collect(),
        };

        let plan = Plan::new(&Intents::new(), wanted, &rules).expect("not refused");

        let count = |is_counted: fn(&ObjectName) -> bool| {
            let names = plan.changes.iter().map(|change| &change.name);
            names.filter(|name| is_counted(name)).count()
        };
        assert_eq!(count(|name| matches!(name, ObjectName::Caller(_))), 740);
        assert_eq!(count(|name| matches!(name, ObjectName::Model(_))), 5);
        let bound = plan.changes.iter().filter(|change| match &change.after {
            Some(Object::Caller(caller)) => caller.regions.len() == 1,
            _ => false,
        });
        let bound_permille = bound.count() * 1_000 / 740;
        assert!((175..=185).contains(&bound_permille), "{bound_permille}");

        let standin = PlatformStandin::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        let kv = KeyValue::new(standin.expect("stand-in starts").address());
        let acceptor = Acceptor::new(kv.clone()).with_rules(rules);
        let accepted = acceptor.accept(&plan, Revision(0), Millis(1));
        assert_eq!(accepted.expect("accepted").revision, Revision(1));
        let objects = rollout::load(&kv).expect("readable").objects.len();
        assert_eq!(objects, plan.changes.len());
    }
}

/// Guards against an intent file in a page that does not parse.
#[test]
fn intent_files_in_the_pages_plan_without_refusal() {
    let mut found = 0;
    for page in ["README.md", "docs/OPERATIONS.md"] {
        for block in blocks(&read(page), "ini") {
            if !block.contains("[caller/") {
                continue;
            }
            found += 1;
            let wanted = intent_file::parse(page, &block).expect("a valid intent file");
            let plan = Plan::new(&Intents::new(), wanted, &PlanRules::default());
            assert!(plan.is_ok(), "{page}: {plan:?}");
        }
    }
    assert!(found > 0, "no page shows an intent file");
}

/// Guards against settings in a page that a host would refuse.
#[test]
fn settings_in_the_pages_are_valid() {
    let mut found = 0;
    for block in blocks(&read("docs/OPERATIONS.md"), "ini") {
        if !block.contains("[host]") {
            continue;
        }
        found += 1;
        let path = Path::new("docs/OPERATIONS.md");
        let config = cardamombridge::config::Config::parse(path, &block);
        assert!(config.is_ok(), "{config:?}");
    }
    assert!(found > 0, "the page shows no settings");
}

/// The fenced blocks of a page with one language.
fn blocks(page: &str, language: &str) -> Vec<String> {
    let start = format!("```{language}\n");
    page.split(&start)
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .map(str::to_owned)
        .collect()
}

fn metrics_table() -> String {
    let mut table = String::from("| name | kind | unit |\n|---|---|---|\n");
    for metric in Metric::ALL {
        let kind = match metric.kind() {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Timer => "timer",
        };
        let unit = match metric.unit() {
            Unit::One => "number",
            Unit::Bytes => "bytes",
            Unit::Millis => "milliseconds",
            Unit::Tokens => "tokens",
            Unit::CostMicros => "millionths of the currency unit",
        };
        let name = metric.name();
        table.push_str(&format!("| `cardamombridge.{name}` | {kind} | {unit} |\n"));
    }
    table
}

/// Guards against a metric that operators do not find in the page. To generate
/// the list again, run this test with `UPDATE_EXPECT=1`.
#[test]
fn the_list_of_metrics_is_current() {
    let path = "docs/OPERATIONS.md";
    let page = read(path);
    let (before, rest) = page.split_once(METRICS_START).expect("start of the list");
    let (shown, after) = rest.split_once(METRICS_END).expect("end of the list");
    if std::env::var_os("UPDATE_EXPECT").is_some() {
        let table = metrics_table();
        let text = format!("{before}{METRICS_START}{table}{METRICS_END}{after}");
        fs::write(root().join(path), text).expect("page written");
        return;
    }

    assert_eq!(shown, metrics_table());
}

/// Long options and, at each place, the names of the commands below.
fn known_options(command: &clap::Command, options: &mut BTreeSet<String>) {
    let arguments = command.get_arguments();
    options.extend(arguments.filter_map(|one| one.get_long().map(str::to_owned)));
    for below in command.get_subcommands() {
        known_options(below, options);
    }
}

fn is_option(word: &str) -> bool {
    let name = word.strip_prefix("--").unwrap_or_default();
    name.starts_with(|first: char| first.is_ascii_alphabetic())
}

/// Words of a command line without quotes and separators.
fn words(text: &str) -> impl Iterator<Item = &str> {
    let is_part = |c: char| c.is_ascii_alphanumeric() || "-_/.:=".contains(c);
    text.split(move |c| !is_part(c)).filter(|w| !w.is_empty())
}

/// Names of all commands that have none below, such as `intent plan`.
fn leaf_commands(command: &clap::Command, above: &str, leaves: &mut BTreeSet<String>) {
    for below in command.get_subcommands() {
        let name = format!("{above} {}", below.get_name());
        if below.has_subcommands() {
            leaf_commands(below, &name, leaves);
        } else {
            leaves.insert(name);
        }
    }
}

/// Guards against an option or a command in a page that does not exist, and
/// against a command that no page shows.
#[test]
fn options_and_commands_in_the_pages_exist() {
    let cli = Cli::command();
    let mut options = BTreeSet::from(["help".to_owned(), "version".to_owned()]);
    known_options(&cli, &mut options);
    // Options of cargo, which build and start the binary.
    let of_cargo = ["release", "locked", "all", "all-targets", "test", "check"];
    let mut unshown = BTreeSet::new();
    leaf_commands(&cli, cli.get_name(), &mut unshown);
    for page in ["README.md", "docs/OPERATIONS.md"] {
        let text = read(page).replace("\\\n", " ");
        for word in words(&text).filter(|word| is_option(word)) {
            let name = word.trim_start_matches('-').split('=').next();
            let name = name.unwrap_or_default().trim_end_matches(['.', ':', '/']);
            let is_known = options.contains(name) || of_cargo.contains(&name);
            assert!(is_known, "{page}: --{name} does not exist");
        }
        let mut is_code = false;
        for line in text.lines() {
            if line.trim().starts_with("```") {
                is_code = !is_code;
            } else if is_code && let Some(line) = check_command(&cli, page, line) {
                unshown.retain(|command| !line.starts_with(command.as_str()));
            }
        }
    }
    assert!(unshown.is_empty(), "no page shows {unshown:?}");
}

/// Parses one command line as the binary would, if the line has one.
fn check_command(cli: &clap::Command, page: &str, line: &str) -> Option<String> {
    let line = line.trim().trim_start_matches("$ ");
    let line = line.replace("cargo run --release -- ", "cardamombridge ");
    // Messages of the binary start with its name and a colon.
    if !line.starts_with("cardamombridge ") {
        return None;
    }
    let parsed = cli.clone().try_get_matches_from(line.split_whitespace());
    let is_help = |error: &clap::Error| error.kind() == clap::error::ErrorKind::DisplayHelp;
    let is_valid = parsed.as_ref().err().is_none_or(is_help);
    assert!(is_valid, "{page}: {line:?}: {parsed:?}");
    Some(line)
}

/// Guards against links between the pages that lead nowhere.
#[test]
fn links_between_the_pages_lead_to_files() {
    let pages = [
        "README.md",
        "CONTRIBUTING.md",
        "CHANGELOG.md",
        "docs/OPERATIONS.md",
        "docs/CAPACITY.md",
        "docs/glossary.md",
        "docs/measurements.md",
        "docs/unproved.md",
    ];
    let mut found = 0;
    for page in pages {
        let text = read(page);
        let targets = text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next());
        for target in targets {
            let file = target.split('#').next().unwrap_or_default();
            if file.is_empty() || file.contains("://") {
                continue;
            }
            found += 1;
            let path = root().join(page).with_file_name("").join(file);
            assert!(path.exists(), "{page}: {file} does not exist");
        }
    }
    assert!(found > 10, "only {found} links were found");
}
