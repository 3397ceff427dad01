//! What the slopes come to at the target size.

use std::fmt::Write as _;

use anyhow::Context as _;

use super::Slopes;

/// Line of the page before the table.
const BEGIN: &str = "<!-- table: begin -->";
/// Line of the page after the table.
const END: &str = "<!-- table: end -->";

/// Instances of the fleet.
const INSTANCES: f64 = 360.0;
/// Instances of a data centre.
const NEIGHBOURS: f64 = 36.0;
/// Data centres.
const DATACENTRES: f64 = 10.0;
/// Requests a second at the peak.
const REQUESTS: f64 = 1_200.0;
/// Models, each with a pool.
const MODELS: f64 = 21.0;
/// Changes of configuration a second.
const CHANGES: f64 = 6_400.0 / 86_400.0;
/// Mean time of a request, in seconds: 233 tokens of 45 ms and the first one.
const REQUEST_TIME: f64 = 12.0;
/// Bytes of a packet besides the message: IPv4, TCP with timestamps, a TLS record.
const PACKET_BYTES: f64 = 74.0;
/// Ticks a second.
const TICKS: f64 = 20.0;
/// Heartbeats a second inside a data centre: at distances of powers of two among 36.
const HEARTBEATS: f64 = 6.0;
/// Heartbeats a second of a delegate to the other data centres, each every three seconds.
const FAR_HEARTBEATS: f64 = (DATACENTRES - 1.0) / 3.0;
/// Encoded bytes of distribution for each change and instance, by `config traffic`.
const CHANGE_BYTES: f64 = 525.0;
/// Messages a second and instance on rights to spend, by `policy --scenario limits-large`.
const RIGHTS_MESSAGES: f64 = 19.1;
/// Their encoded bytes.
const RIGHTS_BYTES: f64 = 904.0;
/// Messages of placement for each request, by `policy --scenario association`.
const PLACING_MESSAGES: f64 = 8.0;
/// Their encoded bytes.
const PLACING_BYTES: f64 = 576.0;
/// Teams of which an instance keeps rights, by `policy --scenario limits-large`.
const TEAMS_KEPT: f64 = 122.0;

/// One role's load on an instance that has it.
struct Row {
    role: &'static str,
    who: &'static str,
    /// Whether it counts as control, not as work for a caller's request.
    control: bool,
    messages: f64,
    bytes: f64,
    cpu_percent: f64,
    memory_mb: f64,
    mechanism: &'static str,
}

fn rows(slopes: &Slopes) -> Vec<Row> {
    let own_requests = REQUESTS / INSTANCES;
    let percent = |us_a_second: f64| us_a_second / 1e6 * 100.0;
    let beat = slopes.message("heartbeat");
    let hold =
        slopes.message("hold_take") + slopes.message("hold_noted") + slopes.message("hold_gone");
    let placed = REQUESTS / (MODELS * DATACENTRES);
    vec![
        Row {
            role: "member",
            who: "every instance",
            control: true,
            messages: HEARTBEATS,
            bytes: HEARTBEATS * beat,
            cpu_percent: percent(TICKS * slopes.cpu("tick") + HEARTBEATS * slopes.cpu("heartbeat")),
            memory_mb: slopes.memory("configuration") / 1e6,
            mechanism: "heartbeats to neighbours at powers of two, ages of the others with them",
        },
        Row {
            role: "holder of rights",
            who: "every instance",
            control: true,
            messages: RIGHTS_MESSAGES,
            bytes: RIGHTS_BYTES,
            cpu_percent: percent(RIGHTS_MESSAGES * 2.0 * RIGHTS_CPU_US),
            memory_mb: TEAMS_KEPT * slopes.memory("team") / 1e6,
            mechanism: "parts of rate and burst at two homes in each data centre, loans of 4 s",
        },
        Row {
            role: "reader of changes",
            who: "every instance",
            control: true,
            messages: CHANGES * 4.0,
            bytes: CHANGES * CHANGE_BYTES,
            cpu_percent: percent(CHANGES * slopes.cpu("change_at_reader")),
            memory_mb: 0.0,
            mechanism: "differences between instances of a data centre",
        },
        Row {
            role: "delegate",
            who: "2 in a data centre",
            control: true,
            messages: FAR_HEARTBEATS,
            bytes: FAR_HEARTBEATS * beat,
            cpu_percent: percent(FAR_HEARTBEATS * slopes.cpu("heartbeat")),
            memory_mb: 0.0,
            mechanism: "one heartbeat to each other data centre every 3 s",
        },
        Row {
            role: "publisher",
            who: "1 of the fleet",
            control: true,
            messages: 0.0,
            bytes: 0.0,
            cpu_percent: percent(CHANGES * slopes.cpu("change_at_publisher")),
            memory_mb: (slopes.memory("publisher") - slopes.memory("configuration")) / 1e6,
            mechanism: "lease with fencing, chunks by hash, one conditional manifest",
        },
        Row {
            role: "service-level report",
            who: "every instance",
            control: true,
            messages: 0.0,
            bytes: 0.0,
            cpu_percent: 0.0,
            memory_mb: TEAMS_KEPT * MODELS * slopes.memory("burn_series") / 1e6,
            mechanism: "twelve slots a window; handed to a peer at a planned stop",
        },
        Row {
            role: "door",
            who: "every instance",
            control: false,
            messages: own_requests * PLACING_MESSAGES / 2.0,
            bytes: own_requests * PLACING_BYTES / 2.0,
            cpu_percent: percent(own_requests * slopes.cpu("request")),
            memory_mb: (own_requests * REQUEST_TIME * slopes.memory("open_request")
                + TRACED * slopes.memory("trace"))
                / 1e6,
            mechanism: "one reducer; tokens go past it through a splice",
        },
        Row {
            role: "dispatcher",
            who: "1 for a pool and data centre",
            control: false,
            messages: placed * PLACING_MESSAGES / 2.0,
            bytes: placed * PLACING_BYTES / 2.0,
            cpu_percent: percent(placed * slopes.cpu("request")),
            memory_mb: 0.0,
            mechanism: "rendezvous; own record of a pool in one data centre",
        },
        Row {
            role: "peer that keeps holds",
            who: "every instance",
            control: false,
            messages: own_requests * 2.0 * 3.0,
            bytes: own_requests * 2.0 * hold,
            cpu_percent: percent(own_requests * 6.0 * slopes.cpu("heartbeat")),
            memory_mb: own_requests * REQUEST_TIME * 2.0 * slopes.message("hold_take") / 1e6,
            mechanism: "two peers ranked by the request",
        },
    ]
}

/// Processor time of a message on rights, in microseconds, by `policy --scenario limits-large`.
const RIGHTS_CPU_US: f64 = 21.9;
/// Requests of which an instance keeps the trace.
const TRACED: f64 = siskinstile_core::trace::KEPT_REQUESTS as f64;

/// Returns the table.
pub fn table(slopes: &Slopes) -> String {
    let rows = rows(slopes);
    let mut out = String::from(
        "| role | who | counts as | messages/s | bytes/s encoded | bytes/s on the wire | \
         % of a core | MB | mechanism |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in &rows {
        let kind = if row.control { "control" } else { "request" };
        line(&mut out, row.role, row.who, kind, row, row.mechanism);
    }
    let ordinary = |row: &&Row| row.control && row.who == "every instance";
    total(&mut out, "control of an ordinary instance", rows.iter().filter(ordinary));
    total(&mut out, "control of the busiest instance", rows.iter().filter(|row| row.control));
    total(&mut out, "everything at the busiest instance", rows.iter());
    out
}

fn line(out: &mut String, role: &str, who: &str, kind: &str, row: &Row, mechanism: &str) {
    let wire = row.bytes + row.messages * PACKET_BYTES;
    let _ = writeln!(
        out,
        "| {role} | {who} | {kind} | {:.1} | {:.0} | {wire:.0} | {:.2} | {:.1} | {mechanism} |",
        row.messages, row.bytes, row.cpu_percent, row.memory_mb,
    );
}

fn total<'a>(out: &mut String, name: &str, rows: impl Iterator<Item = &'a Row>) {
    let mut sum = Row {
        role: "",
        who: "",
        control: true,
        messages: 0.0,
        bytes: 0.0,
        cpu_percent: 0.0,
        memory_mb: 0.0,
        mechanism: "",
    };
    for row in rows {
        sum.messages += row.messages;
        sum.bytes += row.bytes;
        sum.cpu_percent += row.cpu_percent;
        sum.memory_mb += row.memory_mb;
    }
    line(out, &format!("**{name}**"), "", "", &sum, "");
}

/// Returns the worst second of each event of the letter, by the messages or calls that it causes.
pub fn events(slopes: &Slopes) -> String {
    let open = REQUESTS / INSTANCES * REQUEST_TIME;
    let cancels = open * 2.0 * 2.0;
    let series = TEAMS_KEPT * MODELS;
    let handed = series * slopes.message("burn_series") / 1e6;
    let rack = NEIGHBOURS / 3.0;
    let held = rack * cancels / (NEIGHBOURS - rack);
    format!(
        "| event | worst second |\n|---|---|\n\
         | an instance fails (18 a day) | {open:.0} open requests end; at most {cancels:.0} cancels \
         from {:.0} peers, again each second, four times |\n\
         | an instance is restarted (350 a day) | no request ends; at most {series:.0} counts, \
         {handed:.2} MB, go to one peer |\n\
         | a rack of {rack:.0} instances fails | {:.0} open requests end; {held:.0} cancels at each \
         of the others |\n\
         | a data centre fails | {:.0} open requests end; nobody is left to cancel, the engines' own \
         limits of 5 s and 10 s do; a tenth of every team's rate waits for its seats |\n\
         | regions lose each other for an hour | heartbeats of delegates and loans across the cut \
         stop; each side spends its own parts and takes no change that it cannot read |\n",
        NEIGHBOURS - 1.0,
        rack * open,
        NEIGHBOURS * open,
    )
}

/// Returns the page with the tables that the slopes give.
///
/// # Errors
///
/// The page lacks the lines around the tables.
pub fn replace(page: &str, slopes: &Slopes) -> anyhow::Result<String> {
    let (before, rest) = page.split_once(BEGIN).context("no line that begins the table")?;
    let (_, after) = rest.split_once(END).context("no line that ends the table")?;
    let tables = format!("{}\n{}", table(slopes), events(slopes));
    Ok(format!("{before}{BEGIN}\n{tables}{END}{after}"))
}
