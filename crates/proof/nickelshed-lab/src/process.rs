//! One sender's machine over a day: its process is started, told, ended in the middle of something, and started again.
use crate::lie::Lie;
use crate::stands::sender_address;
use crate::state_folder::StateFolder;
use crate::world::World;
use nickelshed::{serve, ConfigSource, EnvironmentVariables, Operator, Signals};
use nickelshed_host::Host;
use nickelshed_journal::Storage;
use nickelshed_judge::{Us, What};
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

/// Where a sender keeps who is out.
const OUTAGES: &str = "outages";
/// From a kill to the next start.
const TO_START: Duration = Duration::from_millis(600);

/// What a sender's process is told from outside.
#[derive(Clone, Copy, Debug)]
pub enum Control {
    Terminate,
    Kill,
    Pause(Duration),
    Hangup,
}

/// A sender's process, as the day's troubles reach it.
pub struct Process {
    pub control: mpsc::UnboundedSender<Control>,
    pub told: Rc<RefCell<EnvironmentVariables>>,
    pub up: Rc<Cell<bool>>,
}

/// One sender's machine over the whole day: its process is started, told, killed and started again.
pub async fn machine(
    world: Rc<World>,
    sender: usize,
    told: Rc<RefCell<EnvironmentVariables>>,
    up: Rc<Cell<bool>>,
    mut control: mpsc::UnboundedReceiver<Control>,
) {
    let mut disk = Disk::new();
    let life = world.lives[sender].clone();
    loop {
        disk.restart();
        life.start();
        match world.lie {
            Some(Lie::ForgetsJournal) => disk = Disk::new(),
            // It may not be there yet.
            Some(Lie::ForgetsOutages) => _ = disk.remove(OUTAGES),
            _ => {}
        }
        let (end, ended) = oneshot::channel::<()>();
        let (hangup, hangups) = mpsc::channel(1);
        let end = Cell::new(Some(end));
        let signals = Signals {
            shutdown: Box::pin(async move {
                if ended.await.is_err() {
                    std::future::pending::<()>().await;
                }
            }),
            reloads: hangups,
        };
        know(&told, world.known(sender));
        let host = world.net.host(Some(life.clone()));
        let host = if world.lie == Some(Lie::LeavesCallsOpen) { host.leaking() } else { host };
        let (form, folder) = (
            ConfigSource::InMemory(Operator::default(), told.clone()),
            StateFolder::new(disk.clone(), life.clone()),
        );
        let mut process: Pin<Box<dyn Future<Output = Result<(), String>>>> = Box::pin(async move {
            // Dropped with the process, and all its tasks with it.
            let tasks = LocalSet::new();
            tasks.run_until(serve(&form, host, signals, |_| folder)).await
        });
        let health = spawn_local(healthy(world.clone(), sender, up.clone()));
        let result = loop {
            if life.is_killed() {
                world.note(What::Going { sender });
                break None;
            }
            if let Some(until) = life.blocked_until() {
                // Not even a kill reaches a process in the middle of an operation on its disk.
                let time = until.saturating_duration_since(Instant::now()).as_micros() as Us;
                world.note(What::Stopped { sender, time });
                sleep_until(until).await;
            }
            tokio::select! {
                biased;
                () = life.killed_or_blocked() => {}
                told = control.recv() => match told {
                    None => return,
                    Some(Control::Terminate) => {
                        world.note(What::Going { sender });
                        up.set(false);
                        if let Some(end) = end.take() {
                            let _ = end.send(());
                        }
                    }
                    Some(Control::Kill) => {
                        world.note(What::Going { sender });
                        break None;
                    }
                    // Nothing of it is polled meanwhile.
                    Some(Control::Pause(time)) => {
                        world.note(What::Stopped { sender, time: time.as_micros() as Us });
                        sleep(time).await;
                    }
                    Some(Control::Hangup) => _ = hangup.try_send(()),
                },
                // What one in the middle of its end says counts for nothing.
                result = &mut process, if !life.is_killed() => {
                    if !life.is_killed() {
                        break Some(result);
                    }
                }
            }
        };
        drop(process);
        world.note(What::Ended { sender });
        health.abort();
        up.set(false);
        if let Some(Err(error)) = &result {
            world
                .crashes
                .borrow_mut()
                .push(format!("sender {sender} at {} ms: {error}", world.now() / 1_000));
            world.note(What::Going { sender });
        }
        if result.is_some() && end.take().is_none() {
            // It has ended as it was told; its machine kills what is left, and starts it again.
            while !matches!(control.recv().await, Some(Control::Kill) | None) {}
        }
        sleep(TO_START).await;
    }
}

/// Writes the list that a process knows at its start into its configuration.
fn know(told: &RefCell<EnvironmentVariables>, known: Value) {
    let config = &mut told.borrow_mut().config;
    let mut value: Value = serde_json::from_str(config).expect("a configuration is JSON");
    value["known"] = known;
    *config = value.to_string();
}

/// Notes when a sender may be used.
async fn healthy(world: Rc<World>, sender: usize, up: Rc<Cell<bool>>) {
    let host = world.net.host(None);
    loop {
        if let Ok(stream) = host.connect(sender_address(sender)).await {
            let mut link = crate::http::Link::new(stream);
            link.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if link.read().await.is_some_and(|a| a.status() == 200) {
                up.set(true);
                return world.note(What::Up { sender });
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}
