//! Checks that the committed OpenAPI descriptions are up to date. With `OPENAPI_UPDATE=1` they are
//! written first.

use std::{env, fs, path::Path};

use dropshot::{ApiDescription, ServerContext};

fn check<C: ServerContext>(api: ApiDescription<C>, title: &str, file: &str) {
    let version = "1.0.0".parse().expect("the version is valid");
    let mut written = Vec::new();
    api.openapi(title, version).write(&mut written).expect("the description is written");
    let written = String::from_utf8(written).expect("JSON is text");
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(file);
    if env::var_os("OPENAPI_UPDATE").is_some() {
        fs::write(&path, &written).expect("the folder is usable");
    }
    let committed = fs::read_to_string(&path).unwrap_or_default();
    assert!(committed == written, "{file} is out of date; run again with OPENAPI_UPDATE=1");
}

#[test]
fn the_committed_descriptions_are_up_to_date() {
    let entry = web::entry_api().expect("the paths do not clash");
    check(entry, "poplarhollow for callers and targets", "openapi-entry.json");
    let operator = web::operator_api().expect("the paths do not clash");
    check(operator, "poplarhollow for operators", "openapi-operator.json");
}
