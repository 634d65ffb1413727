//! The lifecycle of a stand-in: running, frozen or killed.

use std::future::Future;
use std::sync::Arc;

use tokio::sync::watch;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Running,
    Frozen,
    Killed,
}

/// Controls the tasks of one stand-in; clones control the same tasks.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: Arc<watch::Sender<State>>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            state: Arc::new(watch::Sender::new(State::Running)),
        }
    }
}

impl Lifecycle {
    /// Cancels all tasks, which closes their sockets like those of a killed process.
    pub fn kill(&self) {
        self.state.send_replace(State::Killed);
    }

    /// Suspends all tasks; their sockets stay open.
    pub fn freeze(&self) {
        self.swap(State::Running, State::Frozen);
    }

    /// Resumes suspended tasks.
    pub fn thaw(&self) {
        self.swap(State::Frozen, State::Running);
    }

    /// Reports whether the stand-in was killed.
    pub fn is_killed(&self) -> bool {
        *self.state.borrow() == State::Killed
    }

    /// Waits until the stand-in is not frozen.
    pub async fn wait_until_thawed(&self) {
        let mut state = self.state.subscribe();
        // The wait cannot fail, since `self` holds the sender.
        let _ = state.wait_for(|state| *state != State::Frozen).await;
    }

    /// Waits until the stand-in is killed.
    pub async fn wait_until_killed(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| *state == State::Killed).await;
    }

    /// Spawns a task, which is cancelled when the stand-in is killed.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let lifecycle = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                () = lifecycle.wait_until_killed() => {}
            }
        });
    }

    fn swap(&self, from: State, to: State) {
        self.state.send_if_modified(|state| {
            let matches = *state == from;
            if matches {
                *state = to;
            }
            matches
        });
    }
}
