//! The verbs (subcommands) of the command line.

use std::{
    borrow::Cow,
    fs,
    io::{
        self,
        Write, //
    },
    process::ExitCode,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use compio::runtime::Runtime;
use derive_more::{
    Display,
    Error,
    From, //
};
use getopts::{
    Matches,
    Options, //
};
use serde::de::DeserializeOwned;

use super::status;
use crate::{
    rules::{
        self,
        Rules, //
    },
    settings::{
        self,
        GatewaySettings,
        RouterSettings,
        SidecarSettings, //
    },
    shell::{
        self,
        GatewayProcess,
        KeyError,
        Logs,
        RouterProcess,
        SidecarProcess,
        Signals, //
    },
    story, //
};

const USAGE: &str = "\
usage: redwingyard VERB [ARGUMENT ...]

  router --settings FILE [--check]   run a router
  sidecar --settings FILE [--check]  run a sidecar
  gateway [--settings FILE] [--check]
                                     run a router that sends to targets itself
  check RULES                        check a rules file
  diff OLD NEW                       show what a rules file changes
  explain RULES ACCOUNT              show which lines give an account its shares
  explain RULES TARGET               show which lines list a target
  explain RULES HOST/PATH            show which line routes a request
  explain RULES METHOD PATH          show which line makes a request a write
  explain-request ID [LOG ...]       tell what happened to a request
  status ADDRESS                     show the state of a process
  keys NAME ...                      make a development authority and keys
  --help, --version
";

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// The environment variable with the path of a gateway's settings file, used if `--settings` is
/// missing.
const SETTINGS_VARIABLE: &str = "REDWINGYARD_NODE_FILE";

/// The result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command failed, or the answer to its question is negative.
    Failure,
    /// The command line is invalid.
    Usage,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => ExitCode::SUCCESS,
            Exit::Failure => ExitCode::from(1),
            Exit::Usage => ExitCode::from(2),
        }
    }
}

#[derive(Debug, Display, Error, From)]
enum VerbError {
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    #[display("{_0}: {_1}")]
    #[from(skip)]
    File(String, std::io::Error),
    #[display("{}", prefix_errors(_0, _1))]
    #[from(skip)]
    Rules(String, rules::Errors),
    #[display("{_0}: {_1}")]
    #[from(skip)]
    Settings(String, settings::Error),
    #[display("{_0}")]
    Start(shell::StartError),
    #[display("{_0}")]
    Keys(KeyError),
    #[display("{_0}")]
    Status(status::StatusError),
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    #[from(skip)]
    Negative(#[error(not(source))] String),
}

/// Returns the errors of a rules file, each on a line that begins with the file's path.
fn prefix_errors(path: &str, errs: &rules::Errors) -> String {
    let lines = errs.0.iter().map(|err| format!("{path}: {err}"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Runs the verb and the arguments in `args`, which doesn't contain the program's name.
///
/// ```
/// use redwingyard::cli::{Exit, main};
/// assert_eq!(main(&["--version".to_owned()]), Exit::Success);
/// assert_eq!(main(&["fly".to_owned()]), Exit::Usage);
/// ```
pub fn main(args: &[String]) -> Exit {
    match run(args) {
        Ok(()) => Exit::Success,
        Err(VerbError::Usage(detail)) => {
            eprintln!("redwingyard: {detail}; see redwingyard --help");
            Exit::Usage
        }
        Err(err) => {
            for line in err.to_string().lines() {
                eprintln!("redwingyard: {line}");
            }
            Exit::Failure
        }
    }
}

fn run(args: &[String]) -> Result<(), VerbError> {
    let Some((verb, rest)) = args.split_first() else {
        return Err(VerbError::Usage("no verb".to_owned()));
    };
    match verb.as_str() {
        "--help" | "-h" => print!("{USAGE}"),
        "--version" => println!("redwingyard {}", env!("CARGO_PKG_VERSION")),
        "router" => return run_router(rest),
        "sidecar" => return run_sidecar(rest),
        "gateway" => return run_gateway(rest),
        "check" => return check(rest),
        "diff" => return diff(rest),
        "explain" => return explain(rest),
        "explain-request" => return explain_request(rest),
        "status" => print!(
            "{}",
            status::fetch(single_argument(rest, "status ADDRESS")?)?
        ),
        "keys" => return keys(rest),
        other => return Err(VerbError::Usage(format!("unknown verb {other:?}"))),
    }
    Ok(())
}

fn single_argument<'a>(args: &'a [String], usage: &str) -> Result<&'a str, VerbError> {
    match args {
        [only] => Ok(only),
        _ => Err(VerbError::Usage(format!("expected \"{usage}\""))),
    }
}

fn read(path: &str) -> Result<String, VerbError> {
    fs::read_to_string(path).map_err(|err| VerbError::File(path.to_owned(), err))
}

fn read_rules(path: &str) -> Result<Rules, VerbError> {
    rules::from_str(&read(path)?).map_err(|errs| VerbError::Rules(path.to_owned(), errs))
}

fn read_settings<T: DeserializeOwned + settings::Check>(path: &str) -> Result<T, VerbError> {
    settings::from_str(&read(path)?).map_err(|err| VerbError::Settings(path.to_owned(), err))
}

/// Parses the options of a role, and `--check`, which every role accepts.
fn parse_role_options(mut options: Options, args: &[String]) -> Result<Matches, VerbError> {
    options.optflag("", "check", "only check the settings");
    let matches = options
        .parse(args)
        .map_err(|err| VerbError::Usage(err.to_string()))?;
    if let Some(extra) = matches.free.first() {
        return Err(VerbError::Usage(format!("unexpected argument {extra:?}")));
    }
    Ok(matches)
}

/// Reads the settings file of the required option `--settings`.
///
/// Returns them with the path, and whether they are only to be checked.
fn required_settings<T: DeserializeOwned + settings::Check>(
    args: &[String],
) -> Result<(T, String, bool), VerbError> {
    let mut options = Options::new();
    options.reqopt("", "settings", "the settings file", "FILE");
    let matches = parse_role_options(options, args)?;
    let path = matches.opt_str("settings").unwrap_or_default();
    let settings = read_settings(&path)?;
    Ok((settings, path, matches.opt_present("check")))
}

fn run_router(args: &[String]) -> Result<(), VerbError> {
    let (settings, path, check) = required_settings::<RouterSettings>(args)?;
    if check {
        return Ok(());
    }
    run_role(async {
        let mut stops = StopSignals::new()?;
        compio::runtime::spawn(report_reloads(
            Signals::new(SIGHUP)?,
            path,
            settings.clone(),
        ))
        .detach();
        let process = RouterProcess::start(settings).await?;
        stops.receive().await?;
        drain_result(process.drain().await)
    })
}

fn run_sidecar(args: &[String]) -> Result<(), VerbError> {
    let (settings, path, check) = required_settings::<SidecarSettings>(args)?;
    if check {
        return Ok(());
    }
    run_role(async {
        let mut stops = StopSignals::new()?;
        compio::runtime::spawn(report_reloads(
            Signals::new(SIGHUP)?,
            path,
            settings.clone(),
        ))
        .detach();
        let process = SidecarProcess::start(settings).await?;
        stops.receive().await?;
        drain_result(process.drain().await)
    })
}

fn run_gateway(args: &[String]) -> Result<(), VerbError> {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings file", "FILE");
    let matches = parse_role_options(options, args)?;
    let option = matches.opt_str("settings");
    let Some(path) = option.or_else(|| std::env::var(SETTINGS_VARIABLE).ok()) else {
        let detail = format!("neither --settings nor {SETTINGS_VARIABLE} names the settings");
        return Err(VerbError::Usage(detail));
    };
    let settings: GatewaySettings = read_settings(&path)?;
    if matches.opt_present("check") {
        return Ok(());
    }
    run_role(async {
        let mut stops = StopSignals::new()?;
        compio::runtime::spawn(report_reloads(
            Signals::new(SIGHUP)?,
            path,
            settings.clone(),
        ))
        .detach();
        let process = GatewayProcess::start(settings).await?;
        stops.receive().await?;
        drain_result(process.drain().await)
    })
}

/// Reads and checks the settings file again whenever the process receives SIGHUP.
///
/// A process keeps its settings until it restarts, so a change is only logged.
async fn report_reloads<T: DeserializeOwned + settings::Check + PartialEq>(
    mut hangups: Signals,
    path: String,
    current: T,
) {
    while hangups.receive().await.is_ok() {
        match read_settings::<T>(&path) {
            Ok(new) if new == current => log::info!("event=reload changed=false"),
            Ok(_) => log::warn!("event=reload changed=true in_force=at-restart"),
            Err(err) => log::error!("event=reload-failed error=\"{err}\""),
        }
    }
}

/// Starts logging to a buffer that [`run_role`] writes out; `RUST_LOG` sets the filter.
fn start_logs() -> Logs {
    let logs = Logs::default();
    let filter = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(filter)
        .target(env_logger::Target::Pipe(Box::new(logs.clone())))
        .format(|buffer, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let millis = since_epoch.unwrap_or_default().as_millis();
            let level = record.level().as_str().to_lowercase();
            let message = record.args().to_string();
            let message = one_line(&message);
            writeln!(buffer, "time_ms={millis} level={level} {message}")
        })
        .init();
    shell::log_panics();
    logs
}

/// Escapes the control characters of a log line, so that a name with a line end can't look like
/// another line.
fn one_line(text: &str) -> Cow<'_, str> {
    match text.contains(char::is_control) {
        false => text.into(),
        true => {
            let escape = |c: char| match c.is_control() {
                true => c.escape_default().to_string(),
                false => c.to_string(),
            };
            text.chars().map(escape).collect()
        }
    }
}

/// Runs a role until it ends, and writes out its log lines while it runs and at its end.
fn run_role(role: impl Future<Output = Result<(), VerbError>>) -> Result<(), VerbError> {
    shell::fix_allocator();
    let logs = start_logs();
    let result = Runtime::new()?.block_on(async {
        compio::runtime::spawn(logs.clone().run()).detach();
        role.await
    });
    logs.finish();
    result
}

/// The signals that stop a process gracefully. While the value exists, a repeated signal changes
/// nothing.
struct StopSignals {
    term: Signals,
    int: Signals,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            term: Signals::new(SIGTERM)?,
            int: Signals::new(SIGINT)?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn receive(&mut self) -> io::Result<()> {
        let term = std::pin::pin!(self.term.receive());
        let int = std::pin::pin!(self.int.receive());
        let first = futures_util::future::select(term, int).await;
        first.factor_first().0
    }
}

/// Returns an error if a process stopped before all of its requests had ended.
fn drain_result(drained: bool) -> Result<(), VerbError> {
    match drained {
        true => Ok(()),
        false => Err(VerbError::Negative(
            "stopped before every request ended".to_owned(),
        )),
    }
}

fn check(args: &[String]) -> Result<(), VerbError> {
    let rules = read_rules(single_argument(args, "check RULES")?)?;
    let count = rules.entries().len();
    println!("generation {}: {count} rules are valid", rules.generation());
    Ok(())
}

fn diff(args: &[String]) -> Result<(), VerbError> {
    let [old, new] = args else {
        return Err(VerbError::Usage("expected \"diff OLD NEW\"".to_owned()));
    };
    let (old, new) = (read_rules(old)?, read_rules(new)?);
    for change in rules::diff(&old, &new) {
        println!("{change}");
    }
    if new.generation() > old.generation() {
        println!(
            "generation {} would be accepted after {}",
            new.generation(),
            old.generation()
        );
        return Ok(());
    }
    Err(VerbError::Negative(format!(
        "generation {} would be refused: it must be greater than {}",
        new.generation(),
        old.generation()
    )))
}

fn explain(args: &[String]) -> Result<(), VerbError> {
    let lines = match args {
        [path, name] => {
            let rules = read_rules(path)?;
            let mut lines = rules::explain_account(&rules, name);
            lines.extend(rules::explain_target(&rules, name));
            if let Some(slash) = name.find('/') {
                lines.extend(rules::explain_route(&rules, &name[..slash], &name[slash..]));
            }
            if lines.is_empty() {
                let detail = format!("no line names an account or target {name:?}");
                return Err(VerbError::Negative(detail));
            }
            lines
        }
        [path, method, request_path] => {
            let rules = read_rules(path)?;
            vec![rules::explain_request(&rules, method, request_path)]
        }
        _ => {
            let usage = "expected \"explain RULES ACCOUNT|TARGET|METHOD PATH\"";
            return Err(VerbError::Usage(usage.to_owned()));
        }
    };
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

fn explain_request(args: &[String]) -> Result<(), VerbError> {
    let Some((id, paths)) = args.split_first() else {
        let usage = "expected \"explain-request ID [LOG ...]\"";
        return Err(VerbError::Usage(usage.to_owned()));
    };
    let mut logs = Vec::new();
    for path in paths {
        logs.push((path.as_str(), read(path)?));
    }
    if logs.is_empty() {
        logs.push(("-", io::read_to_string(io::stdin())?));
    }
    let texts = logs.iter().map(|(path, text)| (*path, text.as_str()));
    match story::explain(id, texts) {
        Some(text) => print!("{text}"),
        None => {
            return Err(VerbError::Negative(format!(
                "no line names the request {id:?}"
            )));
        }
    }
    Ok(())
}

fn keys(args: &[String]) -> Result<(), VerbError> {
    if args.is_empty() {
        return Err(VerbError::Usage("expected \"keys NAME ...\"".to_owned()));
    }
    let names: Vec<_> = args.iter().map(String::as_str).collect();
    let keys = shell::generate_keys(&names)?;
    let by_name: std::collections::BTreeMap<_, _> = names.into_iter().zip(keys).collect();
    let text = serde_json::to_string_pretty(&by_name).expect("the keys serialize as JSON");
    println!("{text}");
    Ok(())
}
