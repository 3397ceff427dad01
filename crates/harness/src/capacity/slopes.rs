//! The measured slopes in their committed form.

use anyhow::Context as _;
use indexmap::IndexMap;
use siskinstile_macros::value;

/// Cost of one event, message or object, by its name.
#[value(serde, default)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Processor time of the control thread for one event, in microseconds.
    pub cpu_us: IndexMap<String, f64>,
    /// Encoded size of one message with its frame, in bytes.
    pub message_bytes: IndexMap<String, f64>,
    /// Memory of one object, in bytes.
    pub memory_bytes: IndexMap<String, f64>,
}

impl Slopes {
    /// Parses the committed file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid TOML or has unknown keys.
    pub fn parse(text: &str) -> anyhow::Result<Slopes> {
        toml::from_str(text).context("cannot parse the capacity slopes")
    }

    /// Returns the slopes as a TOML file, rounded to three significant digits.
    ///
    /// # Errors
    ///
    /// Returns an error if the slopes cannot be written as TOML.
    pub fn to_toml(&self) -> anyhow::Result<String> {
        let mut rounded = self.clone();
        for map in [&mut rounded.cpu_us, &mut rounded.message_bytes, &mut rounded.memory_bytes] {
            map.values_mut().for_each(|value| *value = round(*value));
        }
        Ok(toml::to_string(&rounded)?)
    }

    /// Returns the processor time of an event, in microseconds.
    ///
    /// # Panics
    ///
    /// Panics if the slopes have no such entry.
    pub fn cpu(&self, name: &str) -> f64 {
        *self.cpu_us.get(name).unwrap_or_else(|| panic!("no cpu_us.{name}"))
    }

    /// Returns the encoded size of a message, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the slopes have no such entry.
    pub fn message(&self, name: &str) -> f64 {
        *self.message_bytes.get(name).unwrap_or_else(|| panic!("no message_bytes.{name}"))
    }

    /// Returns the memory of an object, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the slopes have no such entry.
    pub fn memory(&self, name: &str) -> f64 {
        *self.memory_bytes.get(name).unwrap_or_else(|| panic!("no memory_bytes.{name}"))
    }
}

/// Rounds to three significant digits.
fn round(value: f64) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let scale = 10_f64.powf(2.0 - value.abs().log10().floor());
    (value * scale).round() / scale
}
