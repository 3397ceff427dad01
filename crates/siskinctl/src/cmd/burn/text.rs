//! The burn report as human-readable text.

use std::io::{self, Write};

use siskinstile_core::burn::{Row, Service, Snapshot, window::WINDOWS};

/// Writes the report: for each service its objective and latencies, then a line for the total of
/// all teams and a line per team.
pub(super) fn write(out: &mut dyn Write, report: &Snapshot) -> io::Result<()> {
    for service in &report.services {
        write_heading(out, service)?;
        write_row(out, service, &report.total(&service.service))?;
        for team in report.rows.iter().filter(|it| it.service == service.service) {
            write_row(out, service, team)?;
        }
    }
    Ok(())
}

fn write_heading(out: &mut dyn Write, service: &Service) -> io::Result<()> {
    writeln!(out, "{}: objective {}%", service.service, service.objective_percent)?;
    for (name, histogram) in
        [("first token", &service.first_token), ("between tokens", &service.between_tokens)]
    {
        if let (Some(p50), Some(p95)) = (histogram.quantile(0.5), histogram.quantile(0.95)) {
            writeln!(out, "  {name}: p50 {p50} ms, p95 {p95} ms over {}", histogram.count())?;
        }
    }
    write!(out, "  {:<20}", "team")?;
    for window in WINDOWS {
        write!(out, " {:>16}", format!("burn {}", window.name))?;
    }
    writeln!(out, " {:>12}  burned by", "budget left")
}

fn write_row(out: &mut dyn Write, service: &Service, row: &Row) -> io::Result<()> {
    write!(out, "  {:<20}", row.team)?;
    for count in &row.windows {
        let rate = count.burn_rate(service.objective_percent);
        write!(out, " {:>16}", format!("{rate:.2} ({}/{})", count.bad, count.total))?;
    }
    let longest = row.windows.last().copied().unwrap_or_default();
    let remaining = longest.budget_remaining(service.objective_percent) * 100.0;
    let mut causes: Vec<_> = row.causes.iter().collect();
    causes.sort_by(|a, b| b.1.total_cmp(a.1));
    let causes: Vec<String> =
        causes.iter().map(|(cause, count)| format!("{} {count:.1}", cause.as_str())).collect();
    writeln!(out, " {:>12}  {}", format!("{remaining:.0}%"), causes.join(", "))
}
