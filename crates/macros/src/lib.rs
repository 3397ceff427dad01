//! An attribute that derives common sets of traits.
//!
//! `#[value]` derives `Debug`, `Clone` and `PartialEq`. Its arguments add further traits: `serde`
//! adds `Serialize` and `Deserialize`; `id` adds `Copy`, `Eq`, `Hash`, `PartialOrd` and `Ord`; `eq`
//! adds `Eq`; `default` adds `Default`.

use proc_macro::TokenStream;

/// Derives a common set of traits for a plain data type, such as `#[value(serde, eq)]`.
///
/// An unknown argument is a compile error.
#[proc_macro_attribute]
pub fn value(args: TokenStream, item: TokenStream) -> TokenStream {
    let mut derives = String::from("Debug, Clone, PartialEq");
    for argument in args.to_string().split(',').map(str::trim).filter(|it| !it.is_empty()) {
        let traits = match argument {
            "serde" => "::serde::Serialize, ::serde::Deserialize",
            "id" => "Copy, Eq, Hash, PartialOrd, Ord",
            "eq" => "Eq",
            "default" => "Default",
            _ => {
                return format!("compile_error!(\"unknown argument {argument} in #[value]\");")
                    .parse()
                    .unwrap();
            }
        };
        derives.push_str(", ");
        derives.push_str(traits);
    }
    let mut out: TokenStream = format!("#[derive({derives})]").parse().unwrap();
    out.extend(item);
    out
}
