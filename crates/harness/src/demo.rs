//! The demo: a small fleet for each example, real requests, and what came back.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use anyhow::{Context as _, ensure};
use serde_json::{Value, json};

use crate::{
    client,
    fleet::{Fleet, wait_until},
};

/// Instances of each demo fleet.
const INSTANCES: usize = 2;
/// Limit on a withdrawal coming into force.
const WITHDRAWN: Duration = Duration::from_secs(5);

/// What the demo does with one example.
struct Example {
    name: &'static str,
    model: &'static str,
    model_key: &'static str,
    plain_key: &'static str,
    lookup: &'static str,
    charge: &'static str,
    small_key: &'static str,
    withdrawn: (&'static str, &'static str),
}

const EXAMPLES: [Example; 2] = [
    Example {
        name: "board",
        model: "assessor-1",
        model_key: "field-assessors-key.demo-yek-srossessa-dleif",
        plain_key: "registry-desk-key.demo-yek-ksed-yrtsiger",
        lookup: "/registry/licences/1204",
        charge: "/registry/licences",
        small_key: "visitors-key.demo-yek-srotisiv",
        withdrawn: ("garage-key", "garage-key.demo-yek-egarag"),
    },
    Example {
        name: "association",
        model: "assistant-1",
        model_key: "member-staff-key.demo-yek-ffats-rebmem",
        plain_key: "wash-bays-key.demo-yek-syab-hsaw",
        lookup: "/billing/plans/77",
        charge: "/billing/charges",
        small_key: "trial-members-key.demo-yek-srebmem-lairt",
        withdrawn: ("old-terminal-key", "old-terminal-key.demo-yek-lanimret-dlo"),
    },
];

/// Runs the demo for every example; with `stay`, goes on serving the last one.
///
/// # Errors
///
/// Something was not as it should be.
pub fn run(examples: &Path, stay: bool) -> anyhow::Result<()> {
    for example in &EXAMPLES {
        let fleet = run_example(examples, example)
            .with_context(|| format!("the example {}", example.name))?;
        if stay && example.name == "association" {
            serve(&fleet, example);
        }
    }
    println!("\nAll was as it should be.");
    Ok(())
}

fn run_example(examples: &Path, example: &Example) -> anyhow::Result<Fleet> {
    println!("\n== {} ==", example.name);
    println!("starting a platform, the endpoints and {INSTANCES} instances; applying the objects");
    let dir: PathBuf = examples.join(example.name);
    let fleet = Fleet::spawn(&dir, INSTANCES)?;
    let doors: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.frontend()).collect();
    println!("objects in force at {doors:?}");
    streamed(example, &doors)?;
    lookup(example, &doors)?;
    charge_twice(example, &doors, &fleet)?;
    over_rate(example, &doors)?;
    withdrawn(example, &doors, &fleet)?;
    reports(&fleet)?;
    Ok(fleet)
}

fn streamed(example: &Example, doors: &[SocketAddr]) -> anyhow::Result<()> {
    println!("\n-- a streamed completion of 24 tokens");
    let prompt = "Summarise the logbook. ".repeat(100);
    let stream = client::stream(doors[0], example.model_key, example.model, &prompt, 24)?;
    println!("status {}, request {}", stream.status, stream.request_id);
    println!("text: {}", stream.tokens.concat());
    ensure!(stream.status == 200 && stream.done, "the stream did not end whole");
    ensure!(stream.tokens.len() == 24, "{} tokens in place of 24", stream.tokens.len());
    let mut seen = stream.tokens.clone();
    seen.dedup();
    ensure!(seen.len() == 24, "a token came twice");
    Ok(())
}

fn lookup(example: &Example, doors: &[SocketAddr]) -> anyhow::Result<()> {
    println!("\n-- an idempotent lookup");
    let answer = client::plain(doors[1], "GET", example.lookup, example.plain_key, None, "")?;
    show(&answer);
    ensure!(answer.status == 200, "the lookup was not answered");
    let headers = answer.body["headers"].to_string();
    let secret = example.plain_key.split_once('.').map_or("", |it| it.1);
    ensure!(!headers.contains(secret), "the endpoint saw the key");
    Ok(())
}

fn charge_twice(example: &Example, doors: &[SocketAddr], fleet: &Fleet) -> anyhow::Result<()> {
    println!("\n-- a non-idempotent request, sent twice with one idempotency key");
    let body = json!({ "subscriber": 9, "bay": 3 }).to_string();
    let runs_before: usize = fleet.plains.values().map(|it| it.runs().len()).sum();
    let send = |door| {
        client::plain(door, "POST", example.charge, example.plain_key, Some("visit-311"), &body)
    };
    let first = send(doors[0])?;
    show(&first);
    let mut second = send(doors[1])?;
    if second.kind() == "in_progress" {
        thread::sleep(Duration::from_millis(200));
        second = send(doors[1])?;
    }
    show(&second);
    let runs: usize = fleet.plains.values().map(|it| it.runs().len()).sum();
    println!("it ran {} time(s)", runs - runs_before);
    ensure!(runs - runs_before == 1, "it ran {} times", runs - runs_before);
    ensure!(first.status == 200 && second.status == 200, "one was not answered");
    ensure!(second.replayed && first.body == second.body, "the answers differ");
    Ok(())
}

fn over_rate(example: &Example, doors: &[SocketAddr]) -> anyhow::Result<()> {
    println!("\n-- a small team over its rate");
    let mut last = None;
    for _ in 0..20 {
        let answer = client::plain(doors[0], "GET", example.lookup, example.small_key, None, "")?;
        if answer.status == 429 {
            last = Some(answer);
            break;
        }
    }
    let answer = last.context("nothing was refused")?;
    show(&answer);
    ensure!(answer.kind() == "rate_limited" && answer.ran() == "no", "refused for another reason");
    ensure!(answer.retry_after.is_some(), "no Retry-After");
    Ok(())
}

fn withdrawn(example: &Example, doors: &[SocketAddr], fleet: &Fleet) -> anyhow::Result<()> {
    println!("\n-- a key that is withdrawn");
    let (name, key) = example.withdrawn;
    let send = || client::plain(doors[1], "GET", example.lookup, key, None, "");
    let before = send()?;
    ensure!(before.status == 200, "the key did not work before its withdrawal");
    withdraw(fleet, name)?;
    wait_until(WITHDRAWN, || send().is_ok_and(|answer| answer.status == 401))
        .context("the key still works")?;
    let after = send()?;
    show(&after);
    ensure!(after.kind() == "unauthorized" && after.ran() == "no", "refused for another reason");
    Ok(())
}

fn withdraw(fleet: &Fleet, name: &str) -> anyhow::Result<()> {
    let url = format!("http://{}/objects/key/{name}", fleet.platform.address());
    let mut object: Value = attohttpc::get(&url).send()?.json()?;
    object["value"]["withdrawn"] = true.into();
    let url = format!("{url}?if_version={}", object["version"]);
    let status = attohttpc::put(url).json(&object["value"])?.send()?.status();
    ensure!(status.is_success(), "the platform refused the withdrawal");
    Ok(())
}

fn reports(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\n-- the status on the objects");
    let platform = fleet.platform.address().to_string();
    print!("{}", fleet.siskinctl(&["status", "--platform", &platform])?);
    for daemon in &fleet.daemons {
        println!("\n-- the burn report of {}", daemon.admin());
        print!("{}", fleet.siskinctl(&["burn", "--admin", &daemon.admin().to_string()])?);
    }
    Ok(())
}

fn show(answer: &client::Answer) {
    let mut text = answer.body.to_string();
    text.truncate(200);
    println!(
        "status {}, request {}, replayed {}",
        answer.status, answer.request_id, answer.replayed
    );
    println!("{text}");
}

/// Goes on serving until the process is ended.
fn serve(fleet: &Fleet, example: &Example) -> ! {
    println!("\nServing until interrupted.");
    println!("platform {}", fleet.platform.address());
    for daemon in &fleet.daemons {
        println!("door http://{}  admin http://{}", daemon.frontend(), daemon.admin());
    }
    println!("model {} with key {}", example.model, example.model_key);
    println!("lookup {} with key {}", example.lookup, example.plain_key);
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}
