//! Runs one case of the review: `standin CASE FOLDER`. Writes `record.txt` to the folder. Exits with 1 if
//! the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod platform;

use platform::Platform;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let platform = Platform::start();
    let result = cases::run(case, &platform, trouble);
    let (verdict, code) = match result {
        Ok(None) => ("held".to_string(), 0),
        Ok(Some(how)) => (format!("BROKEN: {how}"), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    platform.note(&verdict);
    println!("{case} trouble={} {verdict}", u8::from(trouble));
    let record = platform.state().record.join("\n") + "\n";
    if let Err(e) = std::fs::write(Path::new(folder).join("record.txt"), record) {
        eprintln!("record.txt: {e}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
