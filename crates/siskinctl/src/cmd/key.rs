//! `siskinctl key`: generates API keys.

use std::io::Write;

use anyhow::{Context, bail};
use clap::Subcommand;
use serde_json::json;
use siskinstile_core::check::{self, Problem};
use siskinstile_core::key;
use siskinstile_core::object::{Key, Kind, Name};

use crate::options::Format;
use crate::{Code, output};

const SALT_BYTES: usize = 16;
const SECRET_BYTES: usize = 32;

/// Arguments of `key`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands of `key`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Generates a key and prints it, this one time only, with its object for the files.
    New(New),
}

/// Arguments of `key new`.
#[derive(Debug, clap::Args)]
pub struct New {
    /// Name of the key.
    pub name: String,
    /// Team that the key belongs to.
    #[arg(long)]
    pub team: String,
}

/// Generates a key and prints it with its object, which stores only a salted hash of the secret.
///
/// # Errors
///
/// Returns an error if the name is not allowed or the output cannot be written.
pub fn execute(args: &Args, format: Format, out: &mut dyn Write) -> anyhow::Result<Code> {
    let Command::New(new) = &args.command;
    let (key, credential) = generate(&new.name, &new.team);
    check_key(&key)?;
    let object = serde_json::to_value(&key).context("cannot encode the key")?;
    match format {
        Format::Json => output::json(out, &json!({"key": credential, "object": object}))?,
        Format::Text => {
            writeln!(out, "# The key, shown only now: {credential}")?;
            write!(out, "{}", output::toml_table(Kind::Key.as_str(), &object)?)?;
        }
    }
    Ok(Code::Success)
}

/// Returns a new key and its credential, `NAME.SECRET`.
fn generate(name: &str, team: &str) -> (Key, String) {
    let salt: [u8; SALT_BYTES] = rand::random();
    let secret = hex::encode(rand::random::<[u8; SECRET_BYTES]>());
    let key = Key {
        name: Name::from(name),
        team: Name::from(team),
        salt: hex::encode(salt).into(),
        hash: key::hash(&salt, &secret).into(),
        withdrawn: false,
        offline_grace_s: None,
    };
    (key, format!("{name}.{secret}"))
}

/// Returns an error if a field of the key fails the check of objects.
///
/// The missing team is ignored here, since the set that is checked contains only the key.
fn check_key(key: &Key) -> anyhow::Result<()> {
    let mut set = siskinstile_core::Set::default();
    set.keys.insert(key.name.clone(), key.clone());
    let violations = check::check(&set);
    match violations.iter().find(|it| !matches!(it.problem, Problem::Missing { .. })) {
        Some(violation) => bail!("{violation}"),
        None => Ok(()),
    }
}
