//! `siskinctl status`: shows the status that the instances report on objects.

use std::io::Write;

use anyhow::bail;
use serde_json::json;
use siskinstile_core::object::Kind;

use crate::client::{Client, Object};
use crate::options::{Format, parse_kind};
use crate::{Code, output};

/// Kind of the stored objects that hold the status of other objects, named `KIND.NAME`.
const STATUS_KIND: &str = "status";

/// Arguments of `status`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Kind of object: service, team, key, route or pool; shows every kind if absent.
    #[arg(value_parser = parse_kind)]
    pub kind: Option<Kind>,
    /// Name of the object; shows all objects of the kind if absent.
    pub name: Option<String>,
    /// Address of the platform, `IP:PORT`.
    #[arg(long)]
    pub platform: String,
}

/// Shows the status of one object, of all objects of a kind, or of all objects.
///
/// # Errors
///
/// Returns an error if there is no such status or the platform is not reachable.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let client = Client::new(&args.platform);
    let objects = match (args.kind, &args.name) {
        (Some(kind), Some(name)) => fetch_one(&client, kind, name)?,
        (Some(kind), None) => fetch_kind(&client, kind)?,
        (None, _) => client.list(STATUS_KIND)?,
    };
    match format {
        Format::Json => output::json(out, &json!({ "objects": objects }))?,
        Format::Text => {
            objects.iter().try_for_each(|it| writeln!(out, "{} {}", it.name, it.value))?;
        }
    }
    Ok(Code::Success)
}

fn fetch_one(client: &Client<'_>, kind: Kind, name: &str) -> anyhow::Result<Vec<Object>> {
    match client.get(STATUS_KIND, &format!("{}.{name}", kind.as_str()))? {
        Some(object) => Ok(vec![object]),
        None => bail!("there is no status of {} `{name}`", kind.as_str()),
    }
}

fn fetch_kind(client: &Client<'_>, kind: Kind) -> anyhow::Result<Vec<Object>> {
    let prefix = format!("{}.", kind.as_str());
    let mut objects = client.list(STATUS_KIND)?;
    objects.retain(|object| object.name.starts_with(&prefix));
    Ok(objects)
}
