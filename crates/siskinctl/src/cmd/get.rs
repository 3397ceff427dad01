//! `siskinctl get`: shows objects on the platform.

use std::io::Write;

use anyhow::bail;
use serde_json::json;
use siskinstile_core::object::Kind;

use crate::client::{Client, Object};
use crate::options::{Format, parse_kind};
use crate::{Code, output};

/// Arguments of `get`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Kind of object: service, team, key, route or pool.
    #[arg(value_parser = parse_kind)]
    pub kind: Kind,
    /// Name of the object; shows all objects of the kind if absent.
    pub name: Option<String>,
    /// Address of the platform, `IP:PORT`.
    #[arg(long)]
    pub platform: String,
}

/// Shows one object or all of a kind; as text, in the TOML format of the files.
///
/// # Errors
///
/// Returns an error if there is no such object or the platform is not reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let client = Client::new(&args.platform);
    let kind = args.kind.as_str();
    let objects = match &args.name {
        None => client.list(kind)?,
        Some(name) => match client.get(kind, name)? {
            Some(object) => vec![object],
            None => bail!("there is no {kind} `{name}`"),
        },
    };
    show(kind, &objects, format, out)?;
    Ok(Code::Success)
}

fn show(kind: &str, objects: &[Object], format: Format, out: &mut dyn Write) -> anyhow::Result<()> {
    if format == Format::Json {
        return output::json(out, &json!({ "objects": objects }));
    }
    for object in objects {
        writeln!(out, "# version {}", object.version)?;
        writeln!(out, "{}", output::toml_table(kind, &object.value)?)?;
    }
    Ok(())
}
