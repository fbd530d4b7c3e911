//! Text of what happens in a sequence.

use super::messages::{Answer, Message, Order};
use super::world::Event;
use jacinthhook::batch::owner::OwnerEvent;
use jacinthhook::platform::worker_client::PollAnswer;

fn describe_message(message: &Message) -> String {
    let Message { process, worker, incarnation, sent_to, verified, sent_at, .. } = message;
    let order = match &message.order {
        Order::Verify { fence } => format!("verify fence {fence:x}"),
        Order::Start { start, lease, attempt, .. } => format!(
            "start {} run {} fence {:x} lease {lease:?} attempt {attempt}",
            start.task, start.run, start.fence
        ),
        Order::Stop { stop, fence } => {
            format!("stop {} run {} fence {fence:x}", stop.task, stop.run)
        }
        Order::Poll(poll) => format!(
            "poll fence {:x} lease {:?} acknowledged {} wait {:?}",
            poll.fence, poll.lease, poll.acknowledged, poll.wait
        ),
    };
    let late = if incarnation.is_some() { " late" } else { "" };
    let unanswered = if message.answered { "" } else { " unanswered" };
    format!(
        "process {process} to {worker}: {order}, sent at {sent_at:?} to {sent_to} as for {verified}{late}{unanswered}"
    )
}

/// Describes an event; `None` for those that happen all the time.
pub fn describe(event: &Event) -> Option<String> {
    Some(match event {
        Event::Arrive(message) => format!("arrives: {}", describe_message(message)),
        Event::Answer(message, answer) => {
            let answer = match answer {
                Answer::Poll(Ok(PollAnswer { report, .. })) => {
                    let running = report.running.iter().map(|r| format!("{} {}", r.name, r.run));
                    let ends = report.finished.iter().filter_map(|f| {
                        Some(format!("{} {} {} {:?}", f.index, f.task.as_ref()?, f.run, f.outcome))
                    });
                    let (running, ends): (Vec<_>, Vec<_>) = (running.collect(), ends.collect());
                    format!("incarnation {} {running:?} {ends:?}", report.incarnation)
                }
                Answer::Poll(Err(error)) => format!("{error:?}"),
                Answer::Start(outcome, _) => format!("{outcome:?}"),
                Answer::Stop(accepted) => format!("accepted {accepted}"),
            };
            format!("answer {answer}: {}", describe_message(message))
        }
        Event::WorkerUp(_)
        | Event::Silence(..)
        | Event::Register(..)
        | Event::Unregister(_)
        | Event::TakeOver
        | Event::Fence(_)
        | Event::Load(..) => format!("{event:?}"),
        _ => return None,
    })
}

/// Describes a decision of an owner.
pub fn describe_owner(event: &OwnerEvent) -> String {
    match event {
        OwnerEvent::TaskPlaced { task, run, worker, .. } => {
            format!("places {task} run {run} on {worker}")
        }
        OwnerEvent::RunEnded { task, run, worker, outcome } => {
            format!("ended {task} run {run} on {worker}: {outcome:?}")
        }
        OwnerEvent::RunLost { task, run, worker, reason } => {
            format!("lost {task} run {run} on {worker}: {reason}")
        }
        other => format!("{other:?}"),
    }
}
