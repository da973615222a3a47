//! Open connections to the store go silent for good while new ones work; later a configuration moves a
//! database to another service. Is every instance's traffic on the new service `configApplyMs`
//! after the store's answer?

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::Caller;
use crate::node::{self, Node};
use crate::record::Record;
use crate::trials::{self, World};

/// `configApplyMs` of the sheet, in seconds.
const CONFIG_APPLY_S: f64 = 3.0;

/// Connections that have carried nothing for this long go silent.
const IDLE: Duration = Duration::from_millis(2_000);

/// Time from the silence to the configuration, longer than `stableWindowMs` (4 s).
const SETTLE: Duration = Duration::from_millis(6_000);

/// Time during which callers ask after the configuration was acknowledged.
const WATCHED: Duration = Duration::from_millis(16_000);

const INSTANCES: [(&str, &str); 6] = [
    ("front-z-a-1", "z-a"),
    ("front-z-a-2", "z-a"),
    ("front-z-b-1", "z-b"),
    ("front-z-b-2", "z-b"),
    ("front-z-c-1", "z-c"),
    ("front-z-c-2", "z-c"),
];

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let services = [
        ("olda", ["i-old1", "i-old2", "i-old3"]),
        ("newb", ["i-new1", "i-new2", "i-new3"]),
    ];
    let world = World::start(record, &services).map_err(|e| e.to_string())?;
    let names = ["olda", "newb"];
    let before = [("huvo", "primary", "olda")];
    world
        .store
        .put("config", "main", trials::config(11, &before, &names));
    let mut nodes = Vec::new();
    for (index, (name, zone)) in INSTANCES.iter().enumerate() {
        let node =
            Node::start(&world.site, name, zone, index as u8 + 1).map_err(|e| e.to_string())?;
        nodes.push(node);
    }
    if !node::wait_ready(&mut nodes, Duration::from_secs(20)) {
        return Err("the instances didn't get ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut callers = Vec::new();
    for node in &nodes {
        let name = format!("caller-at-{}", node.name);
        let mut caller = start(record, &name, node)?;
        let answer = caller.query("READ k1")?;
        if !answer.is_done() {
            return Err(format!("{name} isn't served before the disruption"));
        }
        callers.push((node.name.clone(), node.front, caller));
    }
    if has_trouble {
        let count = world.store.silence_idle(IDLE);
        record.line(&format!(
            "{count} open connections to the store that carried nothing for 2 s go silent for good; \
             the others and new ones work"
        ));
    }
    std::thread::sleep(SETTLE);
    let after = [("huvo", "primary", "newb")];
    record.line("operator: configuration 17 moves huvo from olda to newb");
    world
        .store
        .put("config", "main", trials::config(17, &after, &names));
    let acked = record.now();
    record.line("store: configuration 17 is acknowledged");
    let late = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (name, front, caller) in callers {
        let record = record.clone();
        let late = late.clone();
        tasks.push(std::thread::spawn(move || {
            let mut caller = Some(caller);
            let until = Instant::now() + WATCHED;
            while Instant::now() < until {
                let title = format!("caller-at-{name}");
                let Some(open) = caller.as_mut() else {
                    caller = Caller::start(&record, &title, front, "huvo").ok();
                    std::thread::sleep(Duration::from_millis(250));
                    continue;
                };
                match open.query("READ k1") {
                    Ok(answer) => {
                        let is_late = answer.sent > acked + CONFIG_APPLY_S;
                        let is_old = answer.lines.iter().any(|l| l.starts_with("DONE sig.olda."));
                        if is_late && is_old {
                            late.lock().unwrap().push((
                                name.clone(),
                                answer.id,
                                answer.sent - acked,
                            ));
                        }
                    }
                    Err(_) => caller = None,
                }
                std::thread::sleep(Duration::from_millis(250));
            }
        }));
    }
    for task in tasks {
        let _ = task.join();
    }
    if !nodes.iter_mut().all(Node::is_running) {
        return Err("an instance has ended".to_owned());
    }
    for node in &nodes {
        node.copy_log(&[
            "event=config ",
            "event=store_",
            "event=follow_lost",
            "event=behind",
        ]);
    }
    let late = late.lock().unwrap();
    let runs: Vec<_> = world.services[0].runs.lock().unwrap().clone();
    for (name, id, after) in late.iter() {
        if let Some(run) = runs.iter().find(|r| r.id == *id) {
            record.line(&format!(
                "{id} {}, sent to {name} {after:.3} s after the ack, was run by {}/{} at {:.3}",
                run.text, run.service, run.member, run.at
            ));
        }
    }
    let confirmed = late
        .iter()
        .any(|(_, id, _)| runs.iter().any(|r| r.id == *id));
    drop(world.folder);
    Ok(if confirmed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn start(record: &Record, name: &str, node: &Node) -> Result<Caller, String> {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        match Caller::start(record, name, node.front, "huvo") {
            Ok(caller) => return Ok(caller),
            Err(problem) if Instant::now() >= until => return Err(problem),
            Err(_) => std::thread::sleep(Duration::from_millis(100)),
        }
    }
}
