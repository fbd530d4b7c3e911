//! Runs one case: `fleet CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment it leaves out the disruption.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod worker;
mod world;

use std::thread;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: fleet CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(117));
        eprintln!("out of time");
        cases::kill_all();
        std::process::exit(2);
    });
    std::process::exit(cases::run(case, folder, trouble));
}
