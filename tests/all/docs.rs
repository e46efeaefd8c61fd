//! The pages under `docs/` agree with the code and with each other.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the settings keys and sections that a settings reader uses: the string
/// literals in calls of `require`, `take` and `take_all`.
fn settings_keys(source: &str) -> BTreeSet<String> {
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

/// Guards against undocumented settings. The test failed when `other-key` was missing
/// from the page.
#[test]
fn every_setting_is_on_its_page() {
    let page = read("docs/SETTINGS.md");
    let load = read("crates/settings/src/load.rs");
    let operator = read("crates/settings/src/operator.rs");
    let mut keys = settings_keys(&load);
    keys.extend(settings_keys(&operator));
    assert!(keys.len() > 20, "only {keys:?} were found");
    for key in keys {
        let is_documented = match key.strip_suffix('.') {
            Some(section) => page.contains(&format!("`[{section}.NAME]`")),
            None => page.contains(&format!("`{key}`")) || page.contains(&format!("`[{key}]`")),
        };
        assert!(is_documented, "docs/SETTINGS.md doesn't document `{key}`");
    }
}

/// Returns every Markdown file under `directory`.
fn pages(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).expect("the directory exists") {
        let path = entry.expect("the directory entry can be read").path();
        match path.is_dir() {
            true => found.extend(pages(&path)),
            false if path.extension().is_some_and(|end| end == "md") => found.push(path),
            false => {}
        }
    }
    found
}

/// Returns the targets of links to other pages, without their anchors.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split(')').next());
    let targets = targets.filter_map(|target| target.split('#').next());
    targets
        .filter(|target| !target.is_empty() && !target.contains("://"))
        .collect()
}

/// The test failed with a link to a page that doesn't exist.
#[test]
fn every_link_leads_to_a_page() {
    let mut missing = Vec::new();
    for page in pages(&root().join("docs")) {
        let text = fs::read_to_string(&page).expect("the page can be read");
        let directory = page.parent().expect("the page is in a directory");
        for link in links(&text) {
            if !directory.join(link).exists() {
                missing.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

/// The test failed with a page that was missing from the summary.
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
            "docs/SUMMARY.md doesn't list {}",
            page.display()
        );
    }
}

/// Checks that the test names in `docs/PROOFS.md` are names of existing tests. The
/// test failed with a misspelt name.
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
    for entry in fs::read_dir(directory).expect("the directory exists") {
        let path = entry.expect("the directory entry can be read").path();
        match path.extension() {
            _ if path.is_dir() => read_sources(&path, sources),
            Some(end) if end == "rs" => {
                sources.push_str(&fs::read_to_string(&path).expect("the source file can be read"));
            }
            _ => {}
        }
    }
}

/// Returns the names of the metrics that the operators' pages mention.
pub(crate) fn named_metrics() -> BTreeSet<String> {
    let mut metrics = BTreeSet::new();
    for page in fs::read_dir(root().join("docs/operations")).expect("the directory exists") {
        let text = fs::read_to_string(page.expect("the directory entry can be read").path())
            .expect("the page can be read");
        let quoted = text.split('`').skip(1).step_by(2);
        let names = quoted.filter_map(|text| text.split('{').next());
        metrics.extend(names.filter(|name| is_metric(name)).map(str::to_owned));
    }
    metrics
}

/// Returns whether the code creates an instrument of this name. The metrics endpoint
/// lists instruments with labels only after their first measurement.
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
