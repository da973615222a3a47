//! Each instance is replaced by a new one at another address, one after the other. Later comes a
//! final fault: right after a configuration was acknowledged all instances are killed, and the
//! primary is lost for good. Are callers served again `recoveryS` after the instances are back?

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::node::{self, Node};
use crate::record::Record;
use crate::trials::recover::{self, Log};
use crate::trials::{self, World};

/// `recoveryS` of the sheet.
const RECOVERY_S: f64 = 12.0;

/// How long the instances are down.
const KILLED: Duration = Duration::from_millis(1_000);

/// The primary is lost for good: it doesn't come back in the trial.
const CRASHED: Duration = Duration::from_secs(3_600);

/// `graceS` of the sheet, after which an instance that got SIGTERM is gone.
const GRACE: Duration = Duration::from_millis(6_000);

/// Time from the last replacement to the final fault, longer than `stableWindowMs` (4 s).
const SETTLE: Duration = Duration::from_millis(5_000);

/// Time after the instances are back until the trial ends.
const WATCHED: Duration = Duration::from_millis(24_000);

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let services = [("bookings", ["i-book1", "i-book2", "i-book3"])];
    let world = World::start(record, &services).map_err(|e| e.to_string())?;
    let routes = [("huvo", "primary", "bookings")];
    world
        .store
        .put("config", "main", trials::config(11, &routes, &["bookings"]));
    let mut nodes = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let name = format!("front-{zone}-1");
        let node = Node::start(&world.site, &name, zone, index as u8 + 1);
        nodes.push(node.map_err(|e| e.to_string())?);
        std::thread::sleep(Duration::from_millis(120));
    }
    if !node::wait_ready(&mut nodes, Duration::from_secs(20)) {
        return Err("the instances didn't get ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let log = Log::default();
    let mut fronts: Vec<Arc<Mutex<SocketAddr>>> = Vec::new();
    let mut tasks = Vec::new();
    for (node, zone) in nodes.iter().zip(ZONES) {
        let front = Arc::new(Mutex::new(node.front));
        fronts.push(front.clone());
        let (record, stop, log) = (record.clone(), stop.clone(), log.clone());
        let name = format!("caller-in-{zone}");
        tasks.push(std::thread::spawn(move || {
            recover::call(&record, &name, &front, &stop, &log);
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    for (index, zone) in ZONES.iter().enumerate() {
        if !has_trouble {
            std::thread::sleep(GRACE);
            continue;
        }
        let name = format!("front-{zone}-2");
        let node = Node::start(&world.site, &name, zone, index as u8 + 4);
        let mut new = vec![node.map_err(|e| e.to_string())?];
        if !node::wait_ready(&mut new, Duration::from_secs(10)) {
            return Err(format!("{name} didn't get ready"));
        }
        let new = new.pop().ok_or("no instance")?;
        *fronts[index].lock().unwrap() = new.front;
        let old = std::mem::replace(&mut nodes[index], new);
        old.signal("TERM");
        std::thread::sleep(GRACE);
        record.line(&format!("{} is gone for good", old.name));
    }
    std::thread::sleep(SETTLE);
    record.line("operator: configuration 17");
    let mut changed = trials::config(17, &routes, &["bookings"]);
    if let crate::json::Json::Object(fields) = &mut changed {
        let limits = crate::json::object(&[("txIdleMs", crate::json::number(4000))]);
        fields.insert("limits".to_owned(), limits);
    }
    world.store.put("config", "main", changed);
    record.line("store: configuration 17 is acknowledged");
    let fault_at = record.now();
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
    std::thread::sleep(WATCHED);
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
            "event=instances",
        ]);
    }
    let log = log.lock().unwrap();
    let before = recover::share(record, &log, "before the final fault", 0.0, fault_at);
    let title = "sent later than recoveryS after the instances were back";
    let after = recover::share(record, &log, title, back_at + RECOVERY_S, f64::MAX);
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
