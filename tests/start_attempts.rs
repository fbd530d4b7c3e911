//! When calls to workers are sent again early, without a network.

use jacinthhook::instance::start_attempts::{CallRepeats, StartSettings};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_millis(600);

/// One start every ms for `seconds`, of which each `lost_of`-th gets no answer to its first attempt, while the others take
/// `answer_time`. Returns the starts and the early repeats of the last second, and the state.
fn play(lost_of: u32, answer_time: Duration, seconds: u32) -> (u32, u32, CallRepeats) {
    let mut calls = CallRepeats::new(StartSettings::default());
    let (mut sent, mut repeated) = (0, 0);
    for ms in 0..seconds * 1_000 {
        let now = MS * ms;
        calls.record_call(now);
        let is_lost = ms % lost_of == 0;
        let overdue_after = calls.overdue_after(0, TIMEOUT);
        let is_overdue = overdue_after.is_some_and(|after| is_lost || answer_time > after);
        let is_repeated = is_overdue && calls.try_repeat(now);
        if is_lost && is_repeated && answer_time < TIMEOUT {
            calls.record_lost(now);
        }
        if !is_lost && answer_time < TIMEOUT {
            calls.record_answer(answer_time);
        }
        if ms >= (seconds - 1) * 1_000 {
            sent += 1;
            repeated += u32::from(is_repeated);
        }
    }
    (sent, repeated, calls)
}

/// The load: a share of the starts gets no answer, the others are answered in 5 ms. Each of these is repeated.
#[test]
fn overdue_after_share_lost() {
    let (_, repeated, mut calls) = play(20, MS * 5, 5);
    assert_eq!(repeated, 50);
    assert_eq!(calls.overdue_after(0, TIMEOUT), Some(MS * 100));
    assert_eq!(calls.overdue_after(1, TIMEOUT), Some(MS * 200), "the next one is later");
    assert_eq!(calls.overdue_after(2, TIMEOUT), None, "then the timeout decides");
    assert!(calls.loses_answers(MS * 5_000));
    assert!(!calls.loses_answers(MS * 8_000), "an old loss says nothing");
}

/// The load: all answers are slow. Guards against repeats that add to it.
#[test]
fn overdue_after_all_slow() {
    let (_, repeated, mut calls) = play(u32::MAX, MS * 300, 3);
    assert_eq!((repeated, calls.overdue_after(0, TIMEOUT)), (0, None));
    assert!(!calls.loses_answers(MS * 3_000));
    let (_, repeated, calls) = play(u32::MAX, MS * 60, 3);
    assert_eq!((repeated, calls.overdue_after(0, TIMEOUT)), (0, Some(MS * 240)));
}

/// The load: nothing is answered at all, as after a cut of the owner's link. Guards against twice the load.
#[test]
fn try_repeat_nothing_answered() {
    let (sent, repeated, mut calls) = play(1, TIMEOUT, 5);
    assert!(repeated <= 8, "{repeated} of {sent}");
    assert!(!calls.loses_answers(MS * 5_000), "silence is no loss of answers");
}

/// The load: a few starts on an idle fleet, all to one silent worker.
#[test]
fn try_repeat_few_calls() {
    let mut calls = CallRepeats::new(StartSettings::default());
    let repeated = (0..30).filter(|_| calls.try_repeat(MS * 100)).count();
    assert_eq!(repeated, 8);
    assert!(calls.try_repeat(MS * 2_100), "two windows later");
}

#[test]
fn overdue_after_disabled() {
    let settings = StartSettings { enabled: false, ..StartSettings::default() };
    assert_eq!(CallRepeats::new(settings).overdue_after(0, TIMEOUT), None);
}

#[test]
fn loses_answers_disabled() {
    let settings = StartSettings { enabled: false, ..StartSettings::default() };
    let mut repeats = CallRepeats::new(settings);
    let now = Duration::from_secs(5);
    (0..100).for_each(|_| repeats.record_call(now));
    (0..3).for_each(|_| repeats.record_lost(now));
    assert!(!repeats.loses_answers(now));
}
