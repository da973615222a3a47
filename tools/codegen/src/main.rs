//! Generates the Rust code of `cardamomhold_proto` from its schema files.

use std::env;
use std::error;
use std::path;

const SCHEMAS: [&str; 3] = ["platform.proto", "peer.proto", "operator.proto"];

fn main() -> Result<(), Box<dyn error::Error>> {
    let root = env::args()
        .nth(1)
        .unwrap_or_else(|| "crates/cardamomhold_proto".to_owned());
    let root = path::Path::new(&root);
    let schema = root.join("schema");
    let files = protox::compile(SCHEMAS, [&schema])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(root.join("src/generated"))
        .compile_fds(files)?;
    Ok(())
}
