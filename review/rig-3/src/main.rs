mod drain;
mod gateway;
mod http;
mod listen;
mod ordinary;
mod parts;
mod proxy;
mod reborn;
mod runner;
mod setup;
mod slashes;
mod store;

use std::{env, fs, path::PathBuf, process::ExitCode};

/// What a case is run with.
pub struct Run {
    /// Whether the disruption happens.
    pub trouble: bool,
    /// The folder for settings and logs.
    pub folder: PathBuf,
    /// What was sent, answered and run.
    pub record: String,
}

impl Run {
    pub fn note(&mut self, line: &str) {
        println!("{line}");
        self.record.push_str(line);
        self.record.push('\n');
    }
}

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    Failed,
}

fn main() -> ExitCode {
    // Callers and runners together need more than the usual soft limit.
    gateway::limit_descriptors(20_000);
    let mut words = env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let record = PathBuf::from(words.next().unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder can be made");
    let mut run = Run {
        trouble,
        folder,
        record: String::new(),
    };
    let outcome = match case.as_str() {
        "drain" => drain::run(&mut run),
        "reborn" => reborn::run(&mut run),
        "listen" => listen::run(&mut run),
        "parts" => parts::run(&mut run),
        "slashes" => slashes::run(&mut run),
        other => {
            eprintln!("no case {other}");
            Outcome::Failed
        }
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::Failed => ("the case could not run", 2),
    };
    run.note(text);
    let _ = fs::write(&record, &run.record);
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&run.folder);
    } else {
        println!("{}", run.folder.display());
    }
    ExitCode::from(code)
}
