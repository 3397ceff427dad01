//! The demo: starts a small fleet for each example, sends requests and prints and checks the
//! responses.

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
/// Timeout for the withdrawal of a key to take effect.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Names, keys and paths of one example.
struct Example {
    name: &'static str,
    model: &'static str,
    model_key: &'static str,
    plain_key: &'static str,
    /// Path of an idempotent `GET` request.
    lookup: &'static str,
    /// Path of a `POST` request that is not idempotent.
    charge: &'static str,
    /// API key of a team with a low rate.
    small_key: &'static str,
    /// Name of the key that the demo withdraws, and the API key itself.
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

/// Runs the demo for every example; with `stay`, keeps the last fleet running until the process is
/// stopped.
///
/// # Errors
///
/// A fleet could not be started or a check failed.
pub fn run(examples: &Path, stay: bool) -> anyhow::Result<()> {
    for example in &EXAMPLES {
        let fleet =
            run_example(examples, example).with_context(|| format!("example {}", example.name))?;
        if stay && example.name == "association" {
            serve(&fleet, example);
        }
    }
    println!("\nAll checks passed.");
    Ok(())
}

fn run_example(examples: &Path, example: &Example) -> anyhow::Result<Fleet> {
    println!("\n== {} ==", example.name);
    println!("starting a platform, the endpoints and {INSTANCES} instances; applying the objects");
    let dir: PathBuf = examples.join(example.name);
    let fleet = Fleet::spawn(&dir, INSTANCES)?;
    let frontends: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.frontend()).collect();
    println!("objects in force at {frontends:?}");
    check_stream(example, &frontends)?;
    check_lookup(example, &frontends)?;
    check_idempotency(example, &frontends, &fleet)?;
    check_rate_limit(example, &frontends)?;
    check_withdrawal(example, &frontends, &fleet)?;
    print_reports(&fleet)?;
    Ok(fleet)
}

fn check_stream(example: &Example, frontends: &[SocketAddr]) -> anyhow::Result<()> {
    println!("\n-- a streamed completion of 24 tokens");
    let prompt = "Summarise the logbook. ".repeat(100);
    let stream = client::stream(frontends[0], example.model_key, example.model, &prompt, 24)?;
    println!("status {}, request {}", stream.status, stream.request_id);
    println!("text: {}", stream.tokens.concat());
    ensure!(stream.status == 200 && stream.done, "the stream was not complete");
    ensure!(stream.tokens.len() == 24, "expected 24 tokens, got {}", stream.tokens.len());
    let mut distinct = stream.tokens.clone();
    distinct.dedup();
    ensure!(distinct.len() == 24, "a token was repeated");
    Ok(())
}

fn check_lookup(example: &Example, frontends: &[SocketAddr]) -> anyhow::Result<()> {
    println!("\n-- an idempotent lookup");
    let response = client::plain(frontends[1], "GET", example.lookup, example.plain_key, None, "")?;
    print_response(&response);
    ensure!(response.status == 200, "the lookup failed");
    let headers = response.body["headers"].to_string();
    let secret = example.plain_key.split_once('.').map_or("", |it| it.1);
    ensure!(!headers.contains(secret), "the endpoint received the key");
    Ok(())
}

fn check_idempotency(
    example: &Example,
    frontends: &[SocketAddr],
    fleet: &Fleet,
) -> anyhow::Result<()> {
    println!("\n-- a non-idempotent request, sent twice with one idempotency key");
    let body = json!({ "subscriber": 9, "bay": 3 }).to_string();
    let runs_before: usize = fleet.plains.values().map(|it| it.runs().len()).sum();
    let send = |frontend| {
        client::plain(frontend, "POST", example.charge, example.plain_key, Some("visit-311"), &body)
    };
    let first = send(frontends[0])?;
    print_response(&first);
    let mut second = send(frontends[1])?;
    if second.kind() == "in_progress" {
        thread::sleep(Duration::from_millis(200));
        second = send(frontends[1])?;
    }
    print_response(&second);
    let runs: usize = fleet.plains.values().map(|it| it.runs().len()).sum();
    println!("it ran {} time(s)", runs - runs_before);
    ensure!(runs - runs_before == 1, "it ran {} times", runs - runs_before);
    ensure!(first.status == 200 && second.status == 200, "a request failed");
    ensure!(second.replayed && first.body == second.body, "the answers differ");
    Ok(())
}

fn check_rate_limit(example: &Example, frontends: &[SocketAddr]) -> anyhow::Result<()> {
    println!("\n-- a small team over its rate");
    let mut refusal = None;
    for _ in 0..20 {
        let response =
            client::plain(frontends[0], "GET", example.lookup, example.small_key, None, "")?;
        if response.status == 429 {
            refusal = Some(response);
            break;
        }
    }
    let response = refusal.context("no request was refused")?;
    print_response(&response);
    ensure!(
        response.kind() == "rate_limited" && response.ran() == "no",
        "refused for another reason"
    );
    ensure!(response.retry_after.is_some(), "the refusal has no Retry-After header");
    Ok(())
}

fn check_withdrawal(
    example: &Example,
    frontends: &[SocketAddr],
    fleet: &Fleet,
) -> anyhow::Result<()> {
    println!("\n-- a key that is withdrawn");
    let (name, key) = example.withdrawn;
    let send = || client::plain(frontends[1], "GET", example.lookup, key, None, "");
    let before = send()?;
    ensure!(before.status == 200, "the key was not accepted before its withdrawal");
    withdraw(fleet, name)?;
    wait_until(WITHDRAWAL_TIMEOUT, || send().is_ok_and(|response| response.status == 401))
        .context("the key is still accepted")?;
    let after = send()?;
    print_response(&after);
    ensure!(after.kind() == "unauthorized" && after.ran() == "no", "refused for another reason");
    Ok(())
}

fn withdraw(fleet: &Fleet, name: &str) -> anyhow::Result<()> {
    let url = format!("http://{}/objects/key/{name}", fleet.platform.address());
    let mut object: Value = attohttpc::get(&url).send()?.json()?;
    object["value"]["withdrawn"] = true.into();
    let url = format!("{url}?if_version={}", object["version"]);
    let status = attohttpc::put(url).json(&object["value"])?.send()?.status();
    ensure!(status.is_success(), "the platform rejected the withdrawal");
    Ok(())
}

fn print_reports(fleet: &Fleet) -> anyhow::Result<()> {
    println!("\n-- the status on the objects");
    let platform = fleet.platform.address().to_string();
    print!("{}", fleet.siskinctl(&["status", "--platform", &platform])?);
    for daemon in &fleet.daemons {
        println!("\n-- the burn report of {}", daemon.admin());
        print!("{}", fleet.siskinctl(&["burn", "--admin", &daemon.admin().to_string()])?);
    }
    Ok(())
}

fn print_response(response: &client::Response) {
    let mut text = response.body.to_string();
    text.truncate(200);
    println!(
        "status {}, request {}, replayed {}",
        response.status, response.request_id, response.replayed
    );
    println!("{text}");
}

/// Prints the addresses and keys and serves until the process is stopped.
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
