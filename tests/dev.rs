//! Runs `dev` as a process. Guards against printed example calls that do not work, and against a
//! log that is not written to standard error or keeps the process from exiting.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};

/// A process that is killed on drop.
struct Dev(Child);

impl Drop for Dev {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Splits a printed command like a shell that only knows single quotes.
fn shell_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    for (i, part) in line.trim().split('\'').enumerate() {
        let mut pieces = if i % 2 == 0 { part.split(' ').collect() } else { vec![part] };
        let first = pieces.remove(0);
        words.last_mut().expect("a word").push_str(first);
        words.extend(pieces.iter().map(|piece| piece.to_string()));
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Sends a printed `curl` call and returns the status and body of the response.
async fn curl(words: &[String]) -> (u16, String) {
    let value = |flag: &str| words.windows(2).find(|pair| pair[0] == flag).map(|pair| &pair[1]);
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let url = words.last().expect("a URL");
    let mut request = match value("-d") {
        Some(body) => http.post(url).body(body.clone()),
        None => http.get(url),
    };
    if let Some((name, value)) = value("-H").and_then(|header| header.split_once(": ")) {
        request = request.header(name, value);
    }
    let answer = request.send().await.expect("a response");
    (answer.status().as_u16(), answer.text().await.expect("UTF-8 text"))
}

#[tokio::test(flavor = "multi_thread")]
async fn dev_example_calls_succeed() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhook"));
    command.args(["dev", "--http-addr", "127.0.0.1:0"]);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut dev = Dev(command.spawn().expect("a process"));
    let out = BufReader::new(dev.0.stdout.take().expect("piped standard output"));
    // Keep the pipe open, because the process prints its last line at the end.
    let mut out = out.lines().map(|line| line.expect("UTF-8 text"));
    let lines = out.by_ref().take_while(|line| !line.starts_with("Stop with"));
    let lines: Vec<String> = lines.collect();
    let commands: Vec<Vec<String>> =
        lines.iter().filter(|line| line.starts_with("  ")).map(|line| shell_words(line)).collect();
    assert_eq!(commands.len(), 9, "{lines:#?}");
    for words in &commands {
        if words[0] == "curl" {
            let (status, body) = curl(words).await;
            assert!((200..300).contains(&status), "{words:?}: {status} {body}");
        } else {
            let output = Command::new(&words[0]).args(&words[1..]).output().expect("a process");
            assert_eq!(output.status.code(), Some(0), "{words:?}: {output:?}");
        }
    }
    kill_process(Pid::from_child(&dev.0), Signal::TERM).expect("a running process");
    assert_eq!(dev.0.wait().expect("an exit status").code(), Some(0));
    assert_eq!(out.last().as_deref(), Some("stopped"));
    let mut log = String::new();
    dev.0
        .stderr
        .take()
        .expect("piped standard error")
        .read_to_string(&mut log)
        .expect("UTF-8 text");
    assert!(log.contains("event: 404") && log.contains("zone: dev-b"), "{log}");
}
