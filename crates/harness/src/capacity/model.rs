//! Load of each role at the target size, computed from the slopes.

use std::fmt::Write as _;

use anyhow::Context as _;

use super::Slopes;

/// Marker line of the page before the tables.
const BEGIN: &str = "<!-- table: begin -->";
/// Marker line of the page after the tables.
const END: &str = "<!-- table: end -->";

/// Number of instances of the fleet.
const INSTANCES: f64 = 360.0;
/// Number of instances per data centre.
const INSTANCES_PER_DATACENTRE: f64 = 36.0;
/// Number of data centres.
const DATACENTRES: f64 = 10.0;
/// Peak rate of requests of the fleet, per second.
const REQUEST_RATE: f64 = 1_200.0;
/// Number of models, each with its own pool.
const MODELS: f64 = 21.0;
/// Rate of configuration changes, per second.
const CHANGE_RATE: f64 = 6_400.0 / 86_400.0;
/// Mean duration of a request, in seconds: the time to the first token and 233 tokens of 45 ms.
const REQUEST_DURATION_S: f64 = 12.0;
/// Overhead of a packet, of which each message needs one: headers of IPv4, TCP with timestamps and
/// a TLS record.
const PACKET_OVERHEAD_BYTES: f64 = 74.0;
/// Ticks of an instance per second.
const TICK_RATE: f64 = 20.0;
/// Heartbeats per second of an instance inside its data centre: one each second to the peers at
/// distances 1, 2, 4, 8, 16 and 32 among the 36 instances.
const HEARTBEAT_RATE: f64 = 6.0;
/// Heartbeats per second of a delegate to the other data centres, one to each every 3 s.
const REMOTE_HEARTBEAT_RATE: f64 = (DATACENTRES - 1.0) / 3.0;
/// Encoded bytes of distribution per change and instance, measured by `config traffic`.
const CHANGE_BYTES: f64 = 525.0;
/// Rate-limit messages per second and instance, measured by `policy --scenario limits-large`.
const RATE_LIMIT_MESSAGES: f64 = 19.1;
/// Encoded bytes of rate-limit messages per second and instance, from the same run.
const RATE_LIMIT_BYTES: f64 = 904.0;
/// Placement messages per request, measured by `policy --scenario association`.
const PLACEMENT_MESSAGES: f64 = 8.0;
/// Encoded bytes of placement messages per request, from the same run.
const PLACEMENT_BYTES: f64 = 576.0;
/// Number of teams for which an instance holds rate-limit tokens, measured by
/// `policy --scenario limits-large`.
const LIMITED_TEAMS: f64 = 122.0;

/// Load of one role on an instance that has it.
struct Row {
    role: &'static str,
    /// Which instances have the role.
    instances: &'static str,
    /// Whether the role counts as control work, as opposed to work for a caller's request.
    is_control: bool,
    /// Messages per second.
    messages: f64,
    /// Encoded bytes per second, without packet overhead.
    bytes: f64,
    /// Share of one core, in percent.
    cpu_percent: f64,
    memory_mb: f64,
    mechanism: &'static str,
}

fn rows(slopes: &Slopes) -> Vec<Row> {
    let received_requests = REQUEST_RATE / INSTANCES;
    let percent = |us_per_second: f64| us_per_second / 1e6 * 100.0;
    let heartbeat_bytes = slopes.message("heartbeat");
    let hold_bytes =
        slopes.message("hold_take") + slopes.message("hold_noted") + slopes.message("hold_gone");
    let placed_requests = REQUEST_RATE / (MODELS * DATACENTRES);
    vec![
        Row {
            role: "member",
            instances: "every instance",
            is_control: true,
            messages: HEARTBEAT_RATE,
            bytes: HEARTBEAT_RATE * heartbeat_bytes,
            cpu_percent: percent(
                TICK_RATE * slopes.cpu("tick") + HEARTBEAT_RATE * slopes.cpu("heartbeat"),
            ),
            memory_mb: slopes.memory("configuration") / 1e6,
            mechanism: "heartbeats to neighbours at powers of two, ages of the others with them",
        },
        Row {
            role: "owner of shares of rates",
            instances: "every instance",
            is_control: true,
            messages: RATE_LIMIT_MESSAGES,
            bytes: RATE_LIMIT_BYTES,
            cpu_percent: percent(RATE_LIMIT_MESSAGES * 2.0 * RATE_LIMIT_CPU_US),
            memory_mb: LIMITED_TEAMS * slopes.memory("team") / 1e6,
            mechanism: "shares of rate and burst at two owners in each data centre, loans of 4 s",
        },
        Row {
            role: "reader of changes",
            instances: "every instance",
            is_control: true,
            messages: CHANGE_RATE * 4.0,
            bytes: CHANGE_RATE * CHANGE_BYTES,
            cpu_percent: percent(CHANGE_RATE * slopes.cpu("change_at_reader")),
            memory_mb: 0.0,
            mechanism: "differences between instances of a data centre",
        },
        Row {
            role: "delegate",
            instances: "2 in a data centre",
            is_control: true,
            messages: REMOTE_HEARTBEAT_RATE,
            bytes: REMOTE_HEARTBEAT_RATE * heartbeat_bytes,
            cpu_percent: percent(REMOTE_HEARTBEAT_RATE * slopes.cpu("heartbeat")),
            memory_mb: 0.0,
            mechanism: "one heartbeat to each other data centre every 3 s",
        },
        Row {
            role: "publisher",
            instances: "1 of the fleet",
            is_control: true,
            messages: 0.0,
            bytes: 0.0,
            cpu_percent: percent(CHANGE_RATE * slopes.cpu("change_at_publisher")),
            memory_mb: (slopes.memory("publisher") - slopes.memory("configuration")) / 1e6,
            mechanism: "lease with fencing, chunks by hash, one conditional manifest",
        },
        Row {
            role: "service-level report",
            instances: "every instance",
            is_control: true,
            messages: 0.0,
            bytes: 0.0,
            cpu_percent: 0.0,
            memory_mb: LIMITED_TEAMS * MODELS * slopes.memory("burn_series") / 1e6,
            mechanism: "twelve slots a window; handed to a peer at a planned stop",
        },
        Row {
            role: "frontend",
            instances: "every instance",
            is_control: false,
            messages: received_requests * PLACEMENT_MESSAGES / 2.0,
            bytes: received_requests * PLACEMENT_BYTES / 2.0,
            cpu_percent: percent(received_requests * slopes.cpu("request")),
            memory_mb: (received_requests * REQUEST_DURATION_S * slopes.memory("open_request")
                + TRACED_REQUESTS * slopes.memory("trace"))
                / 1e6,
            mechanism: "one reducer; tokens bypass it through a splice",
        },
        Row {
            role: "dispatcher",
            instances: "1 for a pool and data centre",
            is_control: false,
            messages: placed_requests * PLACEMENT_MESSAGES / 2.0,
            bytes: placed_requests * PLACEMENT_BYTES / 2.0,
            cpu_percent: percent(placed_requests * slopes.cpu("request")),
            memory_mb: 0.0,
            mechanism: "rendezvous; own record of a pool in one data centre",
        },
        Row {
            role: "peer that keeps holds",
            instances: "every instance",
            is_control: false,
            messages: received_requests * 2.0 * 3.0,
            bytes: received_requests * 2.0 * hold_bytes,
            cpu_percent: percent(received_requests * 6.0 * slopes.cpu("heartbeat")),
            memory_mb: received_requests * REQUEST_DURATION_S * 2.0 * slopes.message("hold_take")
                / 1e6,
            mechanism: "two peers ranked by the request",
        },
    ]
}

/// Processor time of a rate-limit message, in microseconds, measured by
/// `policy --scenario limits-large`.
const RATE_LIMIT_CPU_US: f64 = 21.9;
/// Number of requests whose trace an instance keeps.
const TRACED_REQUESTS: f64 = siskinstile_core::trace::KEPT_REQUESTS as f64;

/// Returns the Markdown table of the roles.
///
/// Its totals are the control work of an instance that has only the roles of every instance, and
/// the control work and all work of an instance that has every role.
pub fn table(slopes: &Slopes) -> String {
    let rows = rows(slopes);
    let mut out = String::from(
        "| role | who | counts as | messages/s | bytes/s encoded | bytes/s on the wire | \
         % of a core | MB | mechanism |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in &rows {
        let category = if row.is_control { "control" } else { "request" };
        write_row(&mut out, row.role, row.instances, category, row, row.mechanism);
    }
    let ordinary = |row: &&Row| row.is_control && row.instances == "every instance";
    write_total(&mut out, "control of an ordinary instance", rows.iter().filter(ordinary));
    write_total(
        &mut out,
        "control of the busiest instance",
        rows.iter().filter(|row| row.is_control),
    );
    write_total(&mut out, "everything at the busiest instance", rows.iter());
    out
}

fn write_row(
    out: &mut String,
    role: &str,
    instances: &str,
    category: &str,
    row: &Row,
    mechanism: &str,
) {
    let wire_bytes = row.bytes + row.messages * PACKET_OVERHEAD_BYTES;
    let _ = writeln!(
        out,
        "| {role} | {instances} | {category} | {:.1} | {:.0} | {wire_bytes:.0} | {:.2} | {:.1} | \
         {mechanism} |",
        row.messages, row.bytes, row.cpu_percent, row.memory_mb,
    );
}

fn write_total<'a>(out: &mut String, name: &str, rows: impl Iterator<Item = &'a Row>) {
    let mut sum = Row {
        role: "",
        instances: "",
        is_control: true,
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
    write_row(out, &format!("**{name}**"), "", "", &sum, "");
}

/// Returns the table of failures and restarts in Markdown, each with the messages and calls of its
/// worst second.
pub fn events(slopes: &Slopes) -> String {
    let open_requests = REQUEST_RATE / INSTANCES * REQUEST_DURATION_S;
    let cancels = open_requests * 2.0 * 2.0;
    let series = LIMITED_TEAMS * MODELS;
    let handed_over_mb = series * slopes.message("burn_series") / 1e6;
    let rack = INSTANCES_PER_DATACENTRE / 3.0;
    let cancels_per_peer = rack * cancels / (INSTANCES_PER_DATACENTRE - rack);
    format!(
        "| event | worst second |\n|---|---|\n\
         | an instance fails (18 a day) | {open_requests:.0} open requests end; at most \
         {cancels:.0} cancels from {:.0} peers, again each second, four times |\n\
         | an instance is restarted (350 a day) | no request ends; at most {series:.0} counts, \
         {handed_over_mb:.2} MB, go to one peer |\n\
         | a rack of {rack:.0} instances fails | {:.0} open requests end; {cancels_per_peer:.0} \
         cancels at each of the others |\n\
         | a data centre fails | {:.0} open requests end; nobody is left to cancel, the engines' own \
         limits of 5 s and 10 s do; a tenth of every team's rate waits for its owners |\n\
         | regions lose each other for an hour | heartbeats of delegates and loans across the cut \
         stop; each side spends its own shares and takes no change that it cannot read |\n",
        INSTANCES_PER_DATACENTRE - 1.0,
        rack * open_requests,
        INSTANCES_PER_DATACENTRE * open_requests,
    )
}

/// Returns the page with its tables replaced by those computed from the slopes.
///
/// # Errors
///
/// Returns an error if the page lacks the marker lines around the tables.
pub fn replace(page: &str, slopes: &Slopes) -> anyhow::Result<String> {
    let (head, marked) =
        page.split_once(BEGIN).context("the page has no marker line before the tables")?;
    let (_, tail) =
        marked.split_once(END).context("the page has no marker line after the tables")?;
    let tables = format!("{}\n{}", table(slopes), events(slopes));
    Ok(format!("{head}{BEGIN}\n{tables}{END}{tail}"))
}
