//! Generates the Rust types of the JSON schemas under `schema/`.
//!
//! `cargo run -p galenapath-codegen --example codegen` writes the files. With `--check` it only
//! compares them and exits with 1 if a committed file is out of date.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A schema and the file generated from it, as paths relative to the root of the workspace.
struct Target {
    schema: &'static str,
    output: &'static str,
    /// Derives in addition to those that the generator always adds.
    derives: &'static [&'static str],
    /// Schema types that are generated in another file, with their Rust paths.
    replacements: &'static [(&'static str, &'static str)],
    /// Whether fields are encoded by position, so that an empty list in the middle must not be left
    /// out.
    is_positional: bool,
}

/// Attribute by which the generator leaves out empty lists.
const SKIP_EMPTY_LISTS: &str = ", skip_serializing_if = \"::std::vec::Vec::is_empty\"";

/// Attribute of an optional field.
const OPTIONAL: &str = "#[serde(skip_serializing_if = \"::std::option::Option::is_none\")]";

/// Attribute of an optional field that may be missing at the end of a message.
const OPTIONAL_AT_END: &str =
    "#[serde(default, skip_serializing_if = \"::std::option::Option::is_none\")]";

const TARGETS: &[Target] = &[
    Target {
        schema: "schema/settings.schema.json",
        output: "crates/galenapath-settings/src/generated.rs",
        derives: &["PartialEq"],
        replacements: &[],
        is_positional: false,
    },
    Target {
        schema: "schema/gateway.schema.json",
        output: "crates/galenapath-settings/src/generated_gateway.rs",
        derives: &["PartialEq"],
        replacements: &[],
        is_positional: false,
    },
    Target {
        schema: "schema/fleet.schema.json",
        output: "crates/galenapath-gateway/src/fleet/generated.rs",
        derives: &["PartialEq"],
        replacements: &[],
        is_positional: true,
    },
    Target {
        schema: "schema/peers.schema.json",
        output: "crates/galenapath-peers/src/generated.rs",
        derives: &["PartialEq"],
        replacements: &[],
        is_positional: false,
    },
    Target {
        schema: "schema/config.schema.json",
        output: "crates/galenapath-config/src/generated.rs",
        derives: &["PartialEq"],
        replacements: &[],
        is_positional: false,
    },
    Target {
        schema: "schema/operators.schema.json",
        output: "crates/galenapath-config/src/generated_operators.rs",
        derives: &["PartialEq"],
        replacements: &[
            ("ClassWire", "crate::wire::ClassWire"),
            ("ChangeRecordWire", "crate::wire::ChangeRecordWire"),
            ("MarkWire", "crate::wire::MarkWire"),
        ],
        is_positional: false,
    },
];

type AnyError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    match TARGETS.iter().try_for_each(|target| run(target, check)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("codegen: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(target: &Target, check: bool) -> Result<(), AnyError> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let code = generate(&root.join(target.schema), target)?;
    let output: PathBuf = root.join(target.output);
    if !check {
        return Ok(std::fs::write(output, code)?);
    }
    if std::fs::read_to_string(&output)? == code {
        return Ok(());
    }
    Err(format!("{} is out of date: run the codegen example", target.output).into())
}

fn generate(schema: &Path, target: &Target) -> Result<String, AnyError> {
    let text = std::fs::read_to_string(schema)?;
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text)?;
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_struct_builder(false);
    for derive in target.derives {
        settings.with_derive((*derive).to_owned());
    }
    for (name, path) in target.replacements {
        settings.with_replacement(name, path, std::iter::empty());
    }
    let mut space = typify::TypeSpace::new(&settings);
    space.add_root_schema(schema)?;
    let file = syn::parse2::<syn::File>(space.to_stream())?;
    let mut code = prettyplease::unparse(&file);
    if target.is_positional {
        code = code.replace(SKIP_EMPTY_LISTS, "").replace(OPTIONAL, OPTIONAL_AT_END);
    }
    Ok(format!(
        "//! Generated from `{}` by the codegen example. Do not edit.\n\n{code}",
        target.schema,
    ))
}
