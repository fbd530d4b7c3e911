//! Tasks that must not end silently after a panic.

use crate::event::{Event, Log};
use futures::FutureExt;
use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause before a task starts again after a panic.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a task and starts it again each time it panics.
pub async fn restart_on_panic<F>(log: Log, task: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()>,
{
    // No state is shared but that behind locks, which a panic releases.
    while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
        let fields = [("task", task.into()), ("error", panic_text(&*panic).into())];
        log.event(Event::TaskPanicked, &fields);
        sleep(RESTART_DELAY).await;
    }
}

/// Waits until a task panics. Returns the text of the panic, or `None` if all tasks ended without.
pub async fn first_panic<T: 'static>(tasks: &mut JoinSet<T>) -> Option<String> {
    while let Some(result) = tasks.join_next().await {
        if let Err(error) = result
            && let Ok(panic) = error.try_into_panic()
        {
            return Some(panic_text(&*panic).to_string());
        }
    }
    None
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    match (panic.downcast_ref::<&str>(), panic.downcast_ref::<String>()) {
        (Some(text), _) => text,
        (None, Some(text)) => text,
        (None, None) => "unknown",
    }
}
