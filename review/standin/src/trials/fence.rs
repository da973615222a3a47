//! The promotion service is down for some seconds while a primary crashes. Is every promotion call
//! sent with a token that isn't lower than one that the platform has seen?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::caller::Caller;
use crate::node::{self, Node};
use crate::record::Record;
use crate::trials::{self, World};

/// How long the promotion service is down, from the crash on.
const CALLS_DOWN: Duration = Duration::from_millis(5_000);

/// Time after the crash until the trial ends.
const WATCHED: Duration = Duration::from_millis(14_000);

/// How long the primary is down.
const CRASHED: Duration = Duration::from_millis(7_000);

const INSTANCES: [(&str, &str); 3] = [
    ("front-z-a-1", "z-a"),
    ("front-z-b-1", "z-b"),
    ("front-z-c-1", "z-c"),
];

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let services = [("bookings", ["i-book1", "i-book2", "i-book3"])];
    let world = World::start(record, &services).map_err(|e| e.to_string())?;
    let routes = [("huvo", "primary", "bookings")];
    world
        .store
        .put("config", "main", trials::config(11, &routes, &["bookings"]));
    let mut nodes = Vec::new();
    for (index, (name, zone)) in INSTANCES.iter().enumerate() {
        let node =
            Node::start(&world.site, name, zone, index as u8 + 1).map_err(|e| e.to_string())?;
        nodes.push(node);
        std::thread::sleep(Duration::from_millis(120));
    }
    if !node::wait_ready(&mut nodes, Duration::from_secs(20)) {
        return Err("the instances didn't get ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    // The instances notice by a caller's statements that the primary is gone.
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for node in &nodes {
        let (record, stop, front) = (record.clone(), stop.clone(), node.front);
        let name = format!("caller-at-{}", node.name);
        tasks.push(std::thread::spawn(move || {
            write(&record, &name, front, &stop)
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    if has_trouble {
        record.line("the promotion service is down: it takes calls and doesn't answer or do them");
        world.store.calls_silent.store(true, Ordering::SeqCst);
    }
    let leader = world.services[0].leader().ok_or("no primary")?;
    world.services[0].crash(leader, CRASHED);
    std::thread::sleep(CALLS_DOWN);
    world.store.calls_silent.store(false, Ordering::SeqCst);
    if has_trouble {
        record.line("the promotion service is back");
    }
    std::thread::sleep(WATCHED - CALLS_DOWN);
    stop.store(true, Ordering::SeqCst);
    for task in tasks {
        let _ = task.join();
    }
    if !nodes.iter_mut().all(Node::is_running) {
        return Err("an instance has ended".to_owned());
    }
    for node in &nodes {
        node.copy_log(&[
            "event=duty",
            "event=handover",
            "event=leadership_written",
            "event=promotion",
        ]);
    }
    let calls = world.store.calls.lock().unwrap().clone();
    drop(world.folder);
    if calls.is_empty() {
        return Err("no promotion call came".to_owned());
    }
    let mut highest = 0;
    let mut is_broken = false;
    for call in &calls {
        if call.token < highest {
            record.line(&format!(
                "at {:.3} the platform got token {} of {} for {}/{}, after token {highest}",
                call.at, call.token, call.holder, call.service, call.member
            ));
            is_broken = true;
        }
        highest = highest.max(call.token);
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Writes until `stop`; a session that ends is opened again.
fn write(record: &Record, name: &str, front: std::net::SocketAddr, stop: &AtomicBool) {
    let mut caller = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(100));
        if caller.is_none() {
            caller = Caller::start(record, name, front, "huvo").ok();
        }
        let Some(open) = caller.as_mut() else {
            continue;
        };
        number += 1;
        if open
            .query(&format!("WRITE k{} d{number}", number % 5))
            .is_err()
        {
            caller = None;
        }
    }
}
