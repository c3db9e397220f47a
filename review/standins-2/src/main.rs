//! The cases of the second review. `review-case NUMBER RECORD` runs one case, writes its record to the file RECORD,
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.
mod case_10;
mod case_6;
mod case_7;
mod case_8;
mod case_9;
mod customer;
mod ebene;
mod http;
mod platform;
mod record;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case needs of its surroundings.
pub struct Run {
    pub record: Record,
    /// A temporary folder, which is removed at the end.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Whether the rule held, and what was seen.
pub struct Verdict {
    pub held: bool,
    pub seen: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record_path] = arguments.as_slice() else {
        eprintln!("usage: review-case NUMBER RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-case-{case}-{}", std::process::id()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = Run { record: Record::new(), folder: folder.clone(), trouble };
    let record = run.record.clone();
    let verdict =
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string()).and_then(|()| match case.as_str() {
            "6" => case_6::run(run),
            "7" => case_7::run(run),
            "8" => case_8::run(run),
            "9" => case_9::run(run),
            "10" => case_10::run(run),
            _ => Err(format!("no case {case}")),
        });
    let (code, seen) = match verdict {
        Ok(Verdict { held: true, seen }) => (0, format!("the rule held: {seen}")),
        Ok(Verdict { held: false, seen }) => (1, format!("the rule was broken: {seen}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.note(&seen);
    record.write(Path::new(record_path));
    println!("{seen}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(code)
}
