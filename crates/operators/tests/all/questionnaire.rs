//! Tests that a valid questionnaire becomes a draft, and that all problems of an
//! invalid one are reported.

use insta::assert_snapshot;
use lagoonlift_operators::{
    ChunkDifference, Draft, KnownUpstreams, QuestionnaireError, QuestionnaireKind,
    read_questionnaire,
};
use lagoonlift_types::{Chunk, ModelName, UpstreamKind, UpstreamName};

const DC1: &str = include_str!("../../../../examples/destapes/dc1.ini");
const WORKSPACE: &str = include_str!("../../../../examples/destapes/property-manager.ini");

/// The models and services of the data centre in the `destapes` example.
pub(crate) fn known_upstreams() -> KnownUpstreams {
    let name = |name| ModelName::new(name).expect("a valid name");
    KnownUpstreams {
        models: [name("triage"), name("dispatch")].into(),
        services: [UpstreamName::new("crew-desk").expect("a valid name")].into(),
    }
}

/// The draft of the workspace in the `destapes` example.
pub(crate) fn workspace_draft() -> Draft {
    read_questionnaire(WORKSPACE, &known_upstreams()).expect("a valid example")
}

fn problems(text: &str) -> String {
    match read_questionnaire(text, &known_upstreams()) {
        Ok(draft) => panic!("accepted as {draft:?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn a_workspace_is_shown_value_by_value_with_reasons() {
    let draft = workspace_draft();
    let difference = ChunkDifference::new(None, Some(&draft.content), &draft.reasons);
    assert_snapshot!("workspace", difference.to_string());
}

#[test]
fn a_data_centre_is_shown_value_by_value_with_reasons() {
    let draft = read_questionnaire(DC1, &KnownUpstreams::default()).expect("a valid example");
    let difference = ChunkDifference::new(None, Some(&draft.content), &draft.reasons);
    assert_snapshot!("data-centre", difference.to_string());
}

#[test]
fn every_value_has_a_reason() {
    for text in [DC1, WORKSPACE] {
        let draft = read_questionnaire(text, &known_upstreams()).expect("a valid example");
        let difference = ChunkDifference::new(None, Some(&draft.content), &draft.reasons);
        for change in difference.0 {
            assert!(change.reason.is_some(), "{change} has no reason");
        }
    }
}

#[test]
fn an_engine_without_fencing_checks_is_marked() {
    let draft = read_questionnaire(DC1, &KnownUpstreams::default()).expect("a valid example");
    let Chunk::DataCentre(capacity) = draft.content else {
        panic!("not a data centre");
    };
    let name = UpstreamName::new("triage-13").expect("a valid name");
    let UpstreamKind::Engine { fencing, .. } = &capacity.upstreams[&name].kind else {
        panic!("not an engine");
    };
    assert_eq!(*fencing, lagoonlift_types::FencingSupport::Ignored);
}

#[test]
fn an_empty_questionnaire_asks_for_every_needed_answer_at_once() {
    let workspace = problems(QuestionnaireKind::Workspace.template());
    assert_snapshot!("empty-workspace", workspace);
    let data_centre = problems(QuestionnaireKind::DataCentre.template());
    assert_snapshot!("empty-data-centre", data_centre);
}

#[test]
fn contradictions_are_named_together() {
    let text = WORKSPACE
        .replace("answer-within = 8s", "answer-within = 90s")
        .replace("answer-within = 5m", "answer-within = 20s")
        .replace("tokens-per-second =\n", "tokens-per-second = 100\n")
        .replace("models = triage", "models = poetry")
        .replace("class = booking", "class = orders")
        .replace(
            "service = crew-desk\npath = /coverage",
            "service = nobody\npath = cover",
        )
        .replace("idempotent = no", "idempotent = perhaps")
        .replace("rush = 20s", "rush = 20s\nspeed = 3");
    assert_snapshot!("contradictions", problems(&text));
}

#[test]
fn contradictions_of_a_data_centre_are_named_together() {
    let text = DC1
        .replace("127.0.0.1:9112", "127.0.0.1:9111")
        .replace("address = 127.0.0.1:9113", "address = localhost:9113")
        .replace("role = mixed", "role = prefill")
        .replace("[service.crew-desk]", "[service.dispatch-11]");
    assert_snapshot!("data-centre-contradictions", problems(&text));
}

#[test]
fn a_repeated_section_or_answer_is_not_merged() {
    let text = WORKSPACE.replace("name = property", "name = other\nname = property");
    let problems = problems(&format!("{text}\n[class.default]\nidempotent = no\n"));
    assert!(problems.contains("class.default: the section is there more than once"));
    assert!(problems.contains("workspace.name: is answered more than once"));
}

#[test]
fn a_syntax_error_names_its_line() {
    let result = read_questionnaire("[workspace]\nname\n", &KnownUpstreams::default());
    let Err(QuestionnaireError::Syntax { line, .. }) = result else {
        panic!("{result:?}");
    };
    assert!((2..=3).contains(&line), "line {line}");
}
