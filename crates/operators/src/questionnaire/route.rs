//! Reads the routes of a workspace to plain services.

use super::KnownUpstreams;
use super::answers::{Answer, AnswerReader, Name};
use super::workspace::DEFAULT_CLASS;
use lagoonlift_types::{ClassName, PlainRoute, RouteAccess, RouteName};
use std::collections::{BTreeMap, BTreeSet};

/// HTTP methods that a route may allow.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

impl Answer for RouteAccess {
    const EXPECTED: &'static str = "`key-holders` or `anyone`";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        match text {
            "key-holders" => Ok(Self::Keyed),
            "anyone" => Ok(Self::Open),
            _ => Err(None),
        }
    }
}

/// HTTP methods of a route, in upper case.
struct Methods(BTreeSet<String>);

impl Answer for Methods {
    const EXPECTED: &'static str = "methods out of GET, HEAD, POST, PUT, PATCH, DELETE";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        let methods = text.split(',').map(|method| method.trim().to_uppercase());
        let methods: BTreeSet<String> = methods.collect();
        match methods.iter().all(|m| METHODS.contains(&m.as_str())) {
            true => Ok(Self(methods)),
            false => Err(None),
        }
    }
}

/// Path prefix at a plain service.
struct ServicePath(String);

impl Answer for ServicePath {
    const EXPECTED: &'static str = "a path that starts with `/`, without `?`, `#`, `..` or spaces";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        let is_allowed = |c: char| !c.is_whitespace() && !c.is_control() && !"?#".contains(c);
        match text.starts_with('/') && text.chars().all(is_allowed) && !text.contains("..") {
            true => Ok(Self(text.to_owned())),
            false => Err(None),
        }
    }
}

/// Reads all routes. Omits routes with a missing or invalid answer, which are
/// reported.
pub(super) fn read_routes(
    reader: &mut AnswerReader<'_>,
    classes: &BTreeSet<ClassName>,
    known: &KnownUpstreams,
) -> BTreeMap<RouteName, PlainRoute> {
    let mut routes = BTreeMap::new();
    for (section, name) in reader.sections::<RouteName>("route") {
        let route = read_route(reader, &section, classes, known);
        routes.extend(route.map(|route| (name, route)));
    }
    routes
}

fn read_route(
    reader: &mut AnswerReader<'_>,
    section: &str,
    classes: &BTreeSet<ClassName>,
    known: &KnownUpstreams,
) -> Option<PlainRoute> {
    let upstream = reader.required(section, "service");
    let ServicePath(path) = reader.optional_or(section, "path", ServicePath("/".to_owned()));
    let methods = reader.required(section, "methods");
    let access = reader.required(section, "who-may-call");
    let class: Option<Name<ClassName>> = reader.optional(section, "class");
    let class = match class {
        Some(Name(class)) => class,
        None => ClassName::new(DEFAULT_CLASS).ok()?,
    };
    if !classes.contains(&class) {
        let text = format!("there is no section [class.{class}]");
        reader.report_problem(&format!("{section}.class"), text);
    }
    let Name(upstream) = upstream?;
    if !known.services.contains(&upstream) {
        let text = format!("no data centre in force has the service `{upstream}`");
        reader.report_problem(&format!("{section}.service"), text);
    }
    let Methods(methods) = methods?;
    Some(PlainRoute {
        upstream,
        path,
        methods,
        access: access?,
        class,
    })
}
