//! The pages say what the code does.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The texts that a settings reader asks for: the literals in calls of `require`
/// and `take`.
fn asked_keys(source: &str) -> BTreeSet<String> {
    let mut keys = BTreeSet::new();
    for call in ["require", "take", "take_all"] {
        for part in source.split(&format!(".{call}")).skip(1) {
            let arguments = part.split_once('(').map_or("", |(_, arguments)| arguments);
            let literal = arguments.trim_start().strip_prefix('"');
            let key = literal.and_then(|literal| literal.split('"').next());
            keys.extend(key.map(str::to_owned));
        }
    }
    keys
}

/// Seen failing while `other-key` was left out of the page.
#[test]
fn every_setting_is_on_its_page() {
    let page = read("docs/SETTINGS.md");
    let load = read("crates/settings/src/load.rs");
    let operator = read("crates/settings/src/operator.rs");
    let mut keys = asked_keys(&load);
    keys.extend(asked_keys(&operator));
    assert!(keys.len() > 20, "only {keys:?} were found");
    for key in keys {
        let named = match key.strip_suffix('.') {
            Some(section) => page.contains(&format!("`[{section}.NAME]`")),
            None => page.contains(&format!("`{key}`")) || page.contains(&format!("`[{key}]`")),
        };
        assert!(named, "docs/SETTINGS.md doesn't say `{key}`");
    }
}

/// Every file under `docs/` that is a page.
fn pages(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).expect("the directory is there") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => found.extend(pages(&path)),
            false if path.extension().is_some_and(|end| end == "md") => found.push(path),
            false => {}
        }
    }
    found
}

/// Links to other pages, without their anchors.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split(')').next());
    let targets = targets.filter_map(|target| target.split('#').next());
    targets
        .filter(|target| !target.is_empty() && !target.contains("://"))
        .collect()
}

/// Seen failing with a link to a page that isn't there.
#[test]
fn every_link_leads_to_a_page() {
    let mut missing = Vec::new();
    for page in pages(&root().join("docs")) {
        let text = fs::read_to_string(&page).expect("a page");
        let directory = page.parent().expect("it lies in a directory");
        for link in links(&text) {
            if !directory.join(link).exists() {
                missing.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

/// Seen failing with a page left out of the summary.
#[test]
fn every_page_is_in_the_summary() {
    let docs = root().join("docs");
    let summary = read("docs/SUMMARY.md");
    let listed: BTreeSet<PathBuf> = links(&summary)
        .into_iter()
        .map(|link| docs.join(link))
        .collect();
    for page in pages(&docs) {
        let is_summary = page.ends_with("SUMMARY.md");
        assert!(
            is_summary || listed.contains(&page),
            "{} isn't listed",
            page.display()
        );
    }
}

/// Names in the table of proofs are tests that exist. Seen failing with a name
/// misspelt.
#[test]
fn every_proof_names_a_test() {
    let proofs = read("docs/PROOFS.md");
    let names = proofs.split('`').skip(1).step_by(2);
    let tests: Vec<&str> = names.filter(|name| name.starts_with("test ")).collect();
    assert!(!tests.is_empty(), "the page names no test");
    let mut sources = String::new();
    for directory in ["tests", "crates"] {
        read_sources(&root().join(directory), &mut sources);
    }
    for test in tests {
        let name = test.trim_start_matches("test ");
        let is_there = sources.contains(&format!("fn {name}("));
        assert!(
            is_there,
            "docs/PROOFS.md names `{name}`, which isn't a test"
        );
    }
}

fn read_sources(directory: &Path, sources: &mut String) {
    for entry in fs::read_dir(directory).expect("the directory is there") {
        let path = entry.expect("an entry").path();
        match path.extension() {
            _ if path.is_dir() => read_sources(&path, sources),
            Some(end) if end == "rs" => {
                sources.push_str(&fs::read_to_string(&path).expect("a source"));
            }
            _ => {}
        }
    }
}

/// Names of the metrics on the operators' pages.
pub(crate) fn named_metrics() -> BTreeSet<String> {
    let mut metrics = BTreeSet::new();
    for page in fs::read_dir(root().join("docs/operations")).expect("the directory is there") {
        let text = fs::read_to_string(page.expect("an entry").path()).expect("a page");
        let quoted = text.split('`').skip(1).step_by(2);
        let names = quoted.filter_map(|text| text.split('{').next());
        metrics.extend(names.filter(|name| is_metric(name)).map(str::to_owned));
    }
    metrics
}

/// Returns whether an instrument of this name is made. Those with labels aren't
/// shown before something is counted.
pub(crate) fn is_instrument(metric: &str) -> bool {
    let name = metric
        .trim_end_matches("_total")
        .trim_end_matches("_seconds");
    let mut sources = String::new();
    read_sources(&root().join("crates"), &mut sources);
    sources.contains(&format!("\"{name}\""))
}

fn is_metric(text: &str) -> bool {
    text.starts_with("lagoonlift_") && !text.contains(['/', ' '])
}
