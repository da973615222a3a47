//! The command-line tool against real instances: changes, conflicts, and faults of the
//! platform and of instances.

use cardamomhold_cli::commands;
use cardamomhold_cli::failure;
use cardamomhold_cli::flags;
use cardamomhold_tests::cluster;

async fn run(
    cluster: &cluster::Cluster,
    index: usize,
    command: &str,
) -> Result<String, failure::Failure> {
    let address = cluster.instances[index].addresses.peer.to_string();
    let mut arguments = vec!["--address".into(), address.into()];
    arguments.extend(command.split_whitespace().map(Into::into));
    let flags = flags::Cardamomhold::from_vec(arguments).expect("flags");
    commands::run(&flags).await
}

/// Repeats a command until its output contains `text`.
async fn await_text(cluster: &cluster::Cluster, index: usize, command: &str, text: &str) {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        if run(cluster, index, command)
            .await
            .is_ok_and(|output| output.contains(text))
        {
            return;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{command}: no {text}"
        );
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_all_instances() {
    let cluster = cluster::Cluster::start().await;
    let diff = run(&cluster, 0, "diff rank bulk --field queue=70").await;
    assert_eq!(diff.expect("diff"), "~ queue: 1000 -> 70\n");
    let set = run(&cluster, 0, "--author ann set rank bulk --field queue=70").await;
    let set = set.expect("set");
    assert!(set.starts_with("~ queue: 1000 -> 70\n"), "{set}");
    for index in 0..3 {
        await_text(&cluster, index, "get rank bulk", "\"queue\": 70").await;
    }
    await_text(&cluster, 2, "get rank bulk", "by ann").await;
    let same = run(&cluster, 1, "diff rank bulk --field queue=70").await;
    assert_eq!(same.expect("diff"), "no difference\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn losing_update_gets_conflict() {
    let cluster = cluster::Cluster::start().await;
    run(&cluster, 0, "set read-kind audit --field staleness_ms=100")
        .await
        .expect("set");
    await_text(&cluster, 1, "get read-kind audit", "100").await;
    let output = run(&cluster, 1, "--json get read-kind audit")
        .await
        .expect("get");
    let output: serde_json::Value = serde_json::from_str(&output).expect("json");
    let command = |author: &str, value: u32| {
        format!(
            "--author {author} set read-kind audit --field staleness_ms={value} --version {}",
            output["version"]
        )
    };
    let (ann, bo) = (command("ann", 200), command("bo", 300));
    let racing = tokio::join!(run(&cluster, 0, &ann), run(&cluster, 1, &bo));
    let (won, lost) = match racing {
        (Ok(_), Err(failure)) => ("200", failure),
        (Err(failure), Ok(_)) => ("300", failure),
        other => panic!("one wins: {other:?}"),
    };
    assert_eq!(lost.exit_code(), failure::EXIT_CONFLICT);
    let failure::Failure::Conflict(conflict) = &lost else {
        panic!("{lost}");
    };
    assert_eq!(conflict.lines[0].before.as_deref(), Some(won));
    assert!(lost.to_string().contains("--version"), "{lost}");
    for index in 0..3 {
        await_text(&cluster, index, "get read-kind audit", won).await;
    }
    let late = run(&cluster, 2, &command("cy", 400))
        .await
        .expect_err("too late");
    assert_eq!(late.exit_code(), failure::EXIT_CONFLICT, "{late}");
}

#[tokio::test(flavor = "multi_thread")]
async fn history_keeps_last_changes() {
    let cluster = cluster::Cluster::start().await;
    for value in 1..=12 {
        let command = format!("--author op{value} set caller kalkbok --field weight={value}");
        run(&cluster, 0, &command).await.expect("set");
    }
    let output = run(&cluster, 0, "--json history caller kalkbok").await;
    let output: serde_json::Value = serde_json::from_str(&output.expect("history")).expect("json");
    let entries = output.as_array().expect("list");
    let weights: Vec<u64> = entries
        .iter()
        .map(|e| e["content"]["weight"].as_u64().expect("weight"))
        .collect();
    assert_eq!(weights, [12, 11, 10, 9, 8, 7, 6, 5, 4]);
    assert_eq!(entries[1]["author"], "op11");
    assert!(entries[0]["version"].as_u64() > entries[1]["version"].as_u64());
    assert!(entries[1]["changed_ms"].as_u64() > Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_value_names_field() {
    let cluster = cluster::Cluster::start().await;
    for (command, expected) in [
        ("set rank bulk --field share_percent=90", "share_percent"),
        (
            "set stop-rule --field idle_ms=1",
            "idle_ms: use a number from 100",
        ),
        ("set rank bulk --field colour=red", "colour"),
        ("set group bookings --field slots=0", "slots"),
        (
            "set leadership bookings --field term=9",
            "order a switchover",
        ),
    ] {
        let refused = run(&cluster, 0, command).await.expect_err(command);
        assert_eq!(refused.exit_code(), failure::EXIT_USAGE, "{refused}");
        assert!(refused.to_string().contains(expected), "{refused}");
    }
    let missing = run(&cluster, 0, "get read-kind nothing")
        .await
        .expect_err("missing");
    assert_eq!(missing.exit_code(), failure::EXIT_USAGE, "{missing}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_and_undrain() {
    let cluster = cluster::Cluster::start().await;
    run(&cluster, 1, "drain bookings bookings-b")
        .await
        .expect("drain");
    await_text(&cluster, 2, "status", "draining").await;
    run(&cluster, 1, "undrain bookings bookings-b")
        .await
        .expect("undrain");
    await_text(&cluster, 2, "get group bookings", "\"draining\": false").await;
    run(&cluster, 0, "status --wait").await.expect("settles");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_waits_for_switchover() {
    let cluster = cluster::Cluster::start().await;
    for member in ["bookings-b", "bookings-c", "bookings-a"] {
        run(&cluster, 0, &format!("switchover bookings {member}"))
            .await
            .expect("ordered");
        let output = run(&cluster, 0, "--json status --wait")
            .await
            .expect("settles");
        let output: serde_json::Value = serde_json::from_str(&output).expect("json");
        assert_eq!(output["groups"][0]["primary"], member, "{output}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn removed_object_can_be_recreated() {
    let cluster = cluster::Cluster::start().await;
    run(&cluster, 0, "set read-kind audit --field staleness_ms=100")
        .await
        .expect("set");
    run(&cluster, 0, "remove read-kind audit")
        .await
        .expect("remove");
    await_text(&cluster, 1, "get read-kind audit", "removed").await;
    run(&cluster, 1, "set read-kind audit --field staleness_ms=200")
        .await
        .expect("set again");
    await_text(&cluster, 2, "get read-kind audit", "200").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_recovered() {
    let cluster = cluster::Cluster::start().await;
    cluster.platform.lose_answers(1);
    let set = run(&cluster, 0, "set read-kind audit --field staleness_ms=100").await;
    assert!(set.expect("took effect").contains("accepted"));
    cluster.platform.lose_answers(1);
    let removed = run(&cluster, 0, "remove read-kind audit").await;
    assert!(removed.expect("took effect").contains("removed"));
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_leaves_change_undecided() {
    let cluster = cluster::Cluster::start().await;
    cluster.platform.set_down(true);
    let undecided = run(&cluster, 0, "set read-kind audit --field staleness_ms=100").await;
    let undecided = undecided.expect_err("undecided");
    assert_eq!(
        undecided.exit_code(),
        failure::EXIT_UNDECIDED,
        "{undecided}"
    );
    assert!(undecided.to_string().contains("history"), "{undecided}");
    run(&cluster, 0, "status")
        .await
        .expect("status works in an outage");
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_instance_is_reported() {
    let mut cluster = cluster::Cluster::start().await;
    cluster.instances[0].kill();
    let failed = run(&cluster, 0, "status").await.expect_err("gone");
    assert_eq!(failed.exit_code(), failure::EXIT_UNREACHABLE);
    assert!(failed.to_string().contains("--address"), "{failed}");
}
