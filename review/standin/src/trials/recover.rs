//! A final fault: right after a configuration was acknowledged all instances are killed, and the
//! primary crashes. The promotion service is down meanwhile, and back some seconds later. Are
//! callers served again `recoveryS` after the instances are back?

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::caller::Caller;
use crate::node::{self, Node};
use crate::record::Record;
use crate::trials::{self, World};

/// `recoveryS` of the sheet.
const RECOVERY_S: f64 = 12.0;

/// How long the instances are down.
const KILLED: Duration = Duration::from_millis(1_000);

/// How long the promotion service is down, from the final fault on.
const CALLS_DOWN: Duration = Duration::from_millis(4_000);

/// Time after the instances are back until the trial ends.
const WATCHED: Duration = Duration::from_millis(22_000);

/// How long the primary is down.
const CRASHED: Duration = Duration::from_millis(7_000);

const INSTANCES: [(&str, &str); 3] = [
    ("front-z-a-1", "z-a"),
    ("front-z-b-1", "z-b"),
    ("front-z-c-1", "z-c"),
];

/// Requests of the callers: time of sending, and whether it was served.
pub type Log = Arc<Mutex<Vec<(f64, bool)>>>;

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
    std::thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let log: Log = Arc::default();
    let mut tasks = Vec::new();
    for node in &nodes {
        let (record, stop, log, front) = (
            record.clone(),
            stop.clone(),
            log.clone(),
            Mutex::new(node.front),
        );
        let name = format!("caller-at-{}", node.name);
        tasks.push(std::thread::spawn(move || {
            call(&record, &name, &front, &stop, &log)
        }));
    }
    std::thread::sleep(Duration::from_secs(5));
    record.line("operator: configuration 17");
    let mut changed = trials::config(17, &routes, &["bookings"]);
    if let crate::json::Json::Object(fields) = &mut changed {
        let limits = crate::json::object(&[("txIdleMs", crate::json::number(4000))]);
        fields.insert("limits".to_owned(), limits);
    }
    world.store.put("config", "main", changed);
    record.line("store: configuration 17 is acknowledged");
    let fault_at = record.now();
    if has_trouble {
        record.line("the promotion service is down: it refuses each call with 503");
        world.store.calls_refused.store(true, Ordering::SeqCst);
    }
    for node in &nodes {
        node.signal("KILL");
    }
    let leader = world.services[0].leader().ok_or("no primary")?;
    world.services[0].crash(leader, CRASHED);
    std::thread::sleep(KILLED);
    for node in &mut nodes {
        let _ = node.is_running();
        node.run().map_err(|e| e.to_string())?;
    }
    let back_at = record.now();
    std::thread::sleep(CALLS_DOWN - KILLED);
    world.store.calls_refused.store(false, Ordering::SeqCst);
    if has_trouble {
        record.line("the promotion service is back");
    }
    std::thread::sleep(WATCHED - (CALLS_DOWN - KILLED));
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
    let log = log.lock().unwrap();
    let before = share(record, &log, "before the final fault", 0.0, fault_at);
    let after_recovery = back_at + RECOVERY_S;
    let after = share(
        record,
        &log,
        "sent later than recoveryS after the instances were back",
        after_recovery,
        f64::MAX,
    );
    drop(world.folder);
    if before < 0.25 {
        return Err("callers weren't served before the final fault".to_owned());
    }
    Ok(if after < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Share of the requests sent in a span that were served.
pub fn share(record: &Record, log: &[(f64, bool)], title: &str, from: f64, to: f64) -> f64 {
    let sent: Vec<_> = log
        .iter()
        .filter(|(at, _)| *at >= from && *at < to)
        .collect();
    let served = sent.iter().filter(|(_, is_served)| *is_served).count();
    record.line(&format!(
        "{title}: {served} of {} requests were served",
        sent.len()
    ));
    served as f64 / sent.len().max(1) as f64
}

/// Writes and reads by turns until `stop`; a session that ends is opened again.
pub fn call(record: &Record, name: &str, front: &Mutex<SocketAddr>, stop: &AtomicBool, log: &Log) {
    let mut caller = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(200));
        number += 1;
        let sent = record.now();
        if caller.is_none() {
            let address = *front.lock().unwrap();
            caller = Caller::start(record, name, address, "huvo").ok();
        }
        let Some(open) = caller.as_mut() else {
            log.lock().unwrap().push((sent, false));
            continue;
        };
        let text = match number % 2 {
            0 => format!("WRITE k{} d{number}", number % 5),
            _ => format!("READ k{}", number % 5),
        };
        let answer = open.query(&text);
        let is_served = answer.as_ref().is_ok_and(|a| a.is_done());
        log.lock().unwrap().push((sent, is_served));
        if answer.is_err() {
            caller = None;
        }
    }
}
