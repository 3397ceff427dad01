//! Derive shorthands for the common sets of traits.
//!
//! `#[value]` stands for `Debug, Clone, PartialEq`. Its arguments add to that set: `serde` adds
//! `Serialize, Deserialize`, `id` adds `Copy, Eq, Hash, PartialOrd, Ord`, `eq` adds `Eq` and
//! `default` adds `Default`.

use proc_macro::TokenStream;

/// Derives a common set of traits for a plain value.
#[proc_macro_attribute]
pub fn value(args: TokenStream, item: TokenStream) -> TokenStream {
    let mut derives = String::from("Debug, Clone, PartialEq");
    for word in args.to_string().split(',').map(str::trim).filter(|word| !word.is_empty()) {
        let more = match word {
            "serde" => "::serde::Serialize, ::serde::Deserialize",
            "id" => "Copy, Eq, Hash, PartialOrd, Ord",
            "eq" => "Eq",
            "default" => "Default",
            _ => {
                return format!("compile_error!(\"unknown word {word} in #[value]\");")
                    .parse()
                    .unwrap();
            }
        };
        derives.push_str(", ");
        derives.push_str(more);
    }
    let mut out: TokenStream = format!("#[derive({derives})]").parse().unwrap();
    out.extend(item);
    out
}
