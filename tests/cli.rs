//! Tests the arguments of the `load` and `measure` commands. Guards against arguments that are accepted
//! but have no effect.

mod common;

use common::{start_upstream, start_upstream_with};
use jacinthhook::cli;
use jacinthhook::exit::Exit;
use jacinthhook::standin_upstream::UpstreamOptions;
use serde_json::Value;

/// Runs a command in a separate thread, since it creates its own runtime. Returns its exit code and output.
async fn run(args: Vec<String>) -> (Exit, String) {
    let command = move || {
        let command_line: Vec<&str> = args.iter().map(String::as_str).collect();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = cli::run(&command_line, &mut out, &mut err);
        out.extend(err);
        (exit, String::from_utf8(out).expect("text"))
    };
    tokio::task::spawn_blocking(command).await.expect("the command does not panic")
}

fn command_line(args: &str) -> Vec<String> {
    std::iter::once("jacinthhook").chain(args.split(' ')).map(str::to_string).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn load_arguments_applied() {
    let (standin, _, _) = start_upstream().await;
    let args = "load /x?tag=t --rate 100 --connections 4 --duration-ms 500 --warmup-ms 0 \
                --method POST --body b --json --at";
    let (exit, text) = run(command_line(&format!("{args} {}", standin.addr()))).await;
    assert_eq!(exit, Exit::Done, "{text}");
    let report: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((&report["ok"], &report["connections"]), (&50.into(), &4.into()));
    assert_eq!(standin.runs()["t"], 50);
}

#[tokio::test(flavor = "multi_thread")]
async fn load_invalid_arguments() {
    let (standin, _, _) = start_upstream_with(UpstreamOptions::new("u", common::any_port())).await;
    for args in ["--rate 0", "--header nonsense", "--connections 0", "--method ???"] {
        let (exit, text) =
            run(command_line(&format!("load /x --at {} {args}", standin.addr()))).await;
        assert_eq!(exit, Exit::Usage, "{args}: {text}");
    }
    assert!(standin.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn measure_invalid_arguments() {
    for args in ["--only share", "--seeds 0", "--threads 0"] {
        let (exit, text) = run(command_line(&format!("measure {args}"))).await;
        assert_eq!(exit, Exit::Usage, "{args}: {text}");
    }
}
