//! Reads the questionnaire of a workspace.

use super::KnownUpstreams;
use super::answers::{Answer, AnswerReader, Name, Names, Rate};
use super::route::read_routes;
use crate::proposal::Draft;
use lagoonlift_types::{
    Chunk, ChunkName, Class, ClassName, Limits, ModelName, PlainRoute, RouteAccess, RouteName,
    Urgency, Workspace, WorkspaceName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Name of the class that every workspace has, for requests that name no class.
pub(super) const DEFAULT_CLASS: &str = "default";

/// Default rate limits, as a multiple of the total traffic of the classes.
const DEFAULT_LIMIT_FACTOR: f64 = 2.0;

/// Default time for which a burst may exceed the rate limits.
const DEFAULT_BURST: Duration = Duration::from_secs(10);

/// Maximum deadline of a class whose caller waits on the line. Callers don't stay
/// on the line for longer.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(60);

/// Time to first token that a deadline must allow for.
const TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(820);

/// Time between two tokens that a deadline must allow for.
const TIME_BETWEEN_TOKENS: Duration = Duration::from_millis(51);

/// Who waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiter {
    Caller,
    Staff,
    Nobody,
}

impl Answer for Waiter {
    const EXPECTED: &'static str = "`caller`, `staff` or `nobody`";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        match text {
            "caller" => Ok(Self::Caller),
            "staff" => Ok(Self::Staff),
            "nobody" => Ok(Self::Nobody),
            _ => Err(None),
        }
    }
}

/// Expected traffic of one or more classes in their busiest minute.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    requests_per_second: f64,
    tokens_per_second: f64,
}

/// Reads the answers. Returns `None` if the name of the workspace is missing or
/// invalid.
pub(super) fn read(reader: &mut AnswerReader<'_>, known: &KnownUpstreams) -> Option<Draft> {
    let name: Option<Name<WorkspaceName>> = reader.required("workspace", "name");
    let models = read_models(reader, known);
    let weight = read_weight(reader);
    let sections = reader.sections::<ClassName>("class");
    let names: BTreeSet<ClassName> = sections.iter().map(|(_, name)| name.clone()).collect();
    let (classes, traffic) = read_classes(reader, sections);
    let routes = read_routes(reader, &names, known);
    let limits = read_limits(reader, traffic);
    let Name(name) = name?;
    let reasons = reasons(&classes, &routes, traffic);
    let workspace = Workspace {
        keys: BTreeSet::new(),
        models,
        classes,
        routes,
        limits,
        weight,
    };
    let chunk = Chunk::Workspace(Arc::new(workspace));
    Some(Draft::new(ChunkName::Workspace(name), chunk, reasons))
}

fn read_models(reader: &mut AnswerReader<'_>, known: &KnownUpstreams) -> BTreeSet<ModelName> {
    let Names(models) = reader.optional_or("workspace", "models", Names(BTreeSet::new()));
    for model in models.difference(&known.models) {
        let text = format!("no engine in force serves `{model}`; propose its data centre first");
        reader.report_problem("workspace.models", text);
    }
    models
}

fn read_weight(reader: &mut AnswerReader<'_>) -> u32 {
    let weight = reader.optional_or("workspace", "cost-weight", 1);
    if weight == 0 {
        reader.report_problem("workspace.cost-weight", "must be at least 1".to_owned());
    }
    weight
}

fn read_classes(
    reader: &mut AnswerReader<'_>,
    sections: Vec<(String, ClassName)>,
) -> (BTreeMap<ClassName, Class>, Traffic) {
    if !sections
        .iter()
        .any(|(_, name)| name.as_str() == DEFAULT_CLASS)
    {
        let text = "the section is needed for requests that name no class";
        reader.report_problem("class.default", text.to_owned());
    }
    let mut classes = BTreeMap::new();
    let mut total = Traffic::default();
    for (section, name) in sections {
        let (class, traffic) = read_class(reader, &section);
        total.requests_per_second += traffic.requests_per_second;
        total.tokens_per_second += traffic.tokens_per_second;
        classes.extend(class.map(|class| (name, class)));
    }
    (classes, total)
}

fn read_class(reader: &mut AnswerReader<'_>, section: &str) -> (Option<Class>, Traffic) {
    let waiter = reader.required(section, "who-waits");
    let deadline = reader.required(section, "answer-within");
    let idempotent = reader.required(section, "idempotent");
    let rate = reader.required(section, "requests-per-second");
    let prompt: Option<u32> = reader.required(section, "prompt-tokens");
    let output: Option<u32> = reader.required(section, "output-tokens");
    check_deadline(reader, section, waiter, deadline, output);
    let traffic = match (rate, prompt, output) {
        (Some(Rate(rate)), Some(prompt), Some(output)) => Traffic {
            requests_per_second: rate,
            tokens_per_second: rate * (f64::from(prompt) + f64::from(output)),
        },
        _ => Traffic::default(),
    };
    let class = match (waiter, deadline, idempotent) {
        (Some(waiter), Some(deadline), Some(idempotent)) => Some(Class {
            urgency: urgency(waiter),
            idempotent,
            deadline,
        }),
        _ => None,
    };
    (class, traffic)
}

fn check_deadline(
    reader: &mut AnswerReader<'_>,
    section: &str,
    waiter: Option<Waiter>,
    deadline: Option<Duration>,
    output: Option<u32>,
) {
    let question = format!("{section}.answer-within");
    let Some(deadline) = deadline else { return };
    let needed = match output {
        Some(output) if output > 0 => TIME_TO_FIRST_TOKEN + TIME_BETWEEN_TOKENS * output,
        _ => Duration::ZERO,
    };
    if needed > deadline {
        let needed = Duration::from_secs(needed.as_secs() + 1);
        let text = format!(
            "{} is too short for {} tokens: allow at least {}, or lower output-tokens",
            humantime::format_duration(deadline),
            output.unwrap_or_default(),
            humantime::format_duration(needed),
        );
        reader.report_problem(&question, text);
    }
    if waiter == Some(Waiter::Caller) && deadline > MAX_CALLER_WAIT {
        let text = format!(
            "{} contradicts who-waits = caller: nobody stays on the line for more than {}",
            humantime::format_duration(deadline),
            humantime::format_duration(MAX_CALLER_WAIT),
        );
        reader.report_problem(&question, text);
    }
}

fn urgency(waiter: Waiter) -> Urgency {
    match waiter {
        Waiter::Caller => Urgency::Urgent,
        Waiter::Staff => Urgency::Normal,
        Waiter::Nobody => Urgency::Background,
    }
}

fn read_limits(reader: &mut AnswerReader<'_>, traffic: Traffic) -> Limits {
    let requests = reader.optional("limits", "requests-per-second");
    let tokens = reader.optional("limits", "tokens-per-second");
    let burst = reader.optional_or("limits", "rush", DEFAULT_BURST);
    check_limit(
        reader,
        "requests-per-second",
        requests,
        traffic.requests_per_second,
    );
    check_limit(
        reader,
        "tokens-per-second",
        tokens,
        traffic.tokens_per_second,
    );
    Limits {
        requests_per_second: limit(requests, traffic.requests_per_second),
        tokens_per_second: limit(tokens, traffic.tokens_per_second),
        burst_seconds: burst.as_secs_f64(),
    }
}

fn limit(answer: Option<Rate>, traffic: f64) -> f64 {
    match answer {
        Some(Rate(limit)) => limit,
        None => DEFAULT_LIMIT_FACTOR * traffic,
    }
}

fn check_limit(reader: &mut AnswerReader<'_>, key: &str, answer: Option<Rate>, traffic: f64) {
    match answer {
        Some(Rate(limit)) if limit < traffic => {
            let text = format!("{limit} is below the classes' traffic of {traffic} together");
            reader.report_problem(&format!("limits.{key}"), text);
        }
        _ => {}
    }
}

fn reasons(
    classes: &BTreeMap<ClassName, Class>,
    routes: &BTreeMap<RouteName, PlainRoute>,
    traffic: Traffic,
) -> BTreeMap<String, String> {
    let mut reasons = BTreeMap::new();
    let mut add = |name: String, reason: String| reasons.insert(name, reason);
    add(
        "keys".to_owned(),
        "given and withdrawn apart from proposals".to_owned(),
    );
    add(
        "weight".to_owned(),
        "cost-weight: share of the fleet when it is short".to_owned(),
    );
    add(
        "limit requests a second".to_owned(),
        format!(
            "the classes send {} in their busiest minute",
            traffic.requests_per_second
        ),
    );
    add(
        "limit tokens a second".to_owned(),
        format!(
            "the classes need {} in their busiest minute",
            traffic.tokens_per_second
        ),
    );
    for (name, class) in classes {
        let reason = match class.urgency {
            Urgency::Urgent => "a caller is on the line",
            Urgency::Normal => "staff wait, but not on the line",
            Urgency::Background => "nobody waits",
        };
        add(format!("class {name} urgency"), reason.to_owned());
        add(
            format!("class {name} deadline"),
            format!("class.{name}.answer-within"),
        );
        let reason = match class.idempotent {
            true => "may run twice without harm: retried after a failure",
            false => "may not run twice: sent to an upstream at most once",
        };
        add(format!("class {name} idempotent"), reason.to_owned());
    }
    for (name, route) in routes {
        let reason = match route.access {
            RouteAccess::Keyed => "only with one of the workspace's keys",
            RouteAccess::Open => "no key is asked for",
        };
        add(format!("route {name} access"), reason.to_owned());
        add(
            format!("route {name} class"),
            format!(
                "its urgency, deadline and idempotency are those of class {}",
                route.class
            ),
        );
    }
    reasons
}
