//! Runs one sender's machine: starts its process, delivers signals, stops the process at injected kill
//! points, and restarts it.
use crate::fake_servers::sender_address;
use crate::mutation::Mutation;
use crate::simulation::Simulation;
use crate::state_folder::StateFolder;
use nickelshed::{serve, ConfigSource, EnvironmentVariables, Operator, Signals};
use nickelshed_host::Host;
use nickelshed_journal::Storage;
use nickelshed_judge::{EventKind, Us};
use nickelshed_testkit::Disk;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// File in which a sender persists the outages of its destinations.
const OUTAGES_FILE: &str = "outages";
/// Time from the end of a process to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// What happens to a sender's process from outside: signals and pauses.
#[derive(Clone, Copy, Debug)]
pub enum ProcessControl {
    Terminate,
    Kill,
    Pause(Duration),
    Hangup,
}

/// Handle through which injected faults reach a sender's process.
pub struct ProcessHandle {
    pub control: mpsc::UnboundedSender<ProcessControl>,
    /// The environment and configuration of the next start or reload.
    pub environment: Rc<RefCell<EnvironmentVariables>>,
    /// Whether the current process has answered a health check.
    pub is_ready: Rc<Cell<bool>>,
}

/// Runs one sender's machine for the whole run: starts its process, delivers signals, and restarts it
/// whenever it ends.
pub async fn run_machine(
    sim: Rc<Simulation>,
    sender: usize,
    environment: Rc<RefCell<EnvironmentVariables>>,
    is_ready: Rc<Cell<bool>>,
    mut control: mpsc::UnboundedReceiver<ProcessControl>,
) {
    let mut disk = Disk::new();
    let process_state = sim.process_states[sender].clone();
    loop {
        disk.restart_process();
        process_state.start();
        match sim.mutation {
            Some(Mutation::ForgetsJournal) => disk = Disk::new(),
            // The file may not exist yet.
            Some(Mutation::ForgetsOutages) => _ = disk.remove(OUTAGES_FILE),
            _ => {}
        }
        let (shutdown, shutdown_requested) = oneshot::channel::<()>();
        let (reload, reload_requests) = mpsc::channel(1);
        let shutdown = Cell::new(Some(shutdown));
        let signals = Signals {
            shutdown: Box::pin(async move {
                if shutdown_requested.await.is_err() {
                    std::future::pending::<()>().await;
                }
            }),
            reloads: reload_requests,
        };
        write_known_list(&environment, sim.known_list(sender));
        let host = sim.network.host(Some(process_state.clone()));
        let host =
            if sim.mutation == Some(Mutation::LeavesCallsOpen) { host.leaking_connections() } else { host };
        let (config_source, folder) = (
            ConfigSource::InMemory(Operator::default(), environment.clone()),
            StateFolder::new(disk.clone(), process_state.clone()),
        );
        let mut process: Pin<Box<dyn Future<Output = Result<(), String>>>> = Box::pin(async move {
            // The task set is dropped with the process, which ends all tasks of the process.
            let tasks = LocalSet::new();
            tasks.run_until(serve(&config_source, host, signals, |_| folder)).await
        });
        let readiness_check = spawn_local(wait_until_ready(sim.clone(), sender, is_ready.clone()));
        let result = loop {
            if process_state.is_killed() {
                sim.record(EventKind::Going { sender });
                break None;
            }
            if let Some(until) = process_state.blocked_until() {
                // A process that is blocked in a disk operation cannot even be killed.
                let stall_duration = until.saturating_duration_since(Instant::now()).as_micros() as Us;
                sim.record(EventKind::Stopped { sender, duration: stall_duration });
                sleep_until(until).await;
            }
            tokio::select! {
                biased;
                () = process_state.killed_or_blocked() => {}
                signal = control.recv() => match signal {
                    None => return,
                    Some(ProcessControl::Terminate) => {
                        sim.record(EventKind::Going { sender });
                        is_ready.set(false);
                        if let Some(shutdown) = shutdown.take() {
                            let _ = shutdown.send(());
                        }
                    }
                    Some(ProcessControl::Kill) => {
                        sim.record(EventKind::Going { sender });
                        break None;
                    }
                    // Nothing of the process is polled during the pause.
                    Some(ProcessControl::Pause(pause_duration)) => {
                        sim.record(EventKind::Stopped { sender, duration: pause_duration.as_micros() as Us });
                        sleep(pause_duration).await;
                    }
                    Some(ProcessControl::Hangup) => _ = reload.try_send(()),
                },
                // The result of a process that reaches an injected kill point does not count: the process was
                // killed before it could return.
                result = &mut process, if !process_state.is_killed() => {
                    if !process_state.is_killed() {
                        break Some(result);
                    }
                }
            }
        };
        drop(process);
        sim.record(EventKind::Ended { sender });
        readiness_check.abort();
        is_ready.set(false);
        if let Some(Err(error)) = &result {
            sim.crashes.borrow_mut().push(format!("sender {sender} at {} ms: {error}", sim.now() / 1_000));
            sim.record(EventKind::Going { sender });
        }
        if result.is_some() && shutdown.take().is_none() {
            // The process has exited after SIGTERM. The machine waits for the SIGKILL that follows, then
            // restarts it.
            while !matches!(control.recv().await, Some(ProcessControl::Kill) | None) {}
        }
        sleep(RESTART_DELAY).await;
    }
}

/// Writes the endpoint list with which a process starts into its configuration.
fn write_known_list(environment: &RefCell<EnvironmentVariables>, known: Value) {
    let config = &mut environment.borrow_mut().config;
    let mut value: Value = serde_json::from_str(config).expect("a configuration is JSON");
    value["known"] = known;
    *config = value.to_string();
}

/// Polls a sender's health check until it succeeds, then records that the sender is ready.
async fn wait_until_ready(sim: Rc<Simulation>, sender: usize, is_ready: Rc<Cell<bool>>) {
    let host = sim.network.host(None);
    loop {
        if let Ok(stream) = host.connect(sender_address(sender)).await {
            let mut connection = crate::http::HttpConnection::new(stream);
            connection.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if connection.read().await.is_some_and(|answer| answer.status() == 200) {
                is_ready.set(true);
                return sim.record(EventKind::Up { sender });
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}
