//! Stand-ins and cases of the review: `standin-3 CASE RECORD`. Ends with 1 if a rule was broken, with 0 if it held
//! and with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        println!("usage: standin-3 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "cancel" => cases::cancel_answered_410(path, trouble),
        "crashes" => cases::job_given_up(path, trouble),
        "lasting" => cases::lasting_tasks_one_by_one(path, trouble),
        "isolated" => cases::suspect_without_worker(path, trouble),
        "bystander" => cases::job_beside_suspects(path, trouble),
        "gang" => cases::gang_above_limit(path, trouble),
        _ => {
            println!("no such case");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(verdict.is_broken));
}
