//! The questions about a workspace's routes to plain services.

use super::KnownUpstreams;
use super::answers::{Answer, AnswerReader, Name};
use super::workspace::DEFAULT_CLASS;
use lagoonlift_types::{ClassName, PlainRoute, RouteAccess, RouteName};
use std::collections::{BTreeMap, BTreeSet};

/// Methods that a route may permit.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

impl Answer for RouteAccess {
    const FORM: &'static str = "`key-holders` or `anyone`";

    fn read(text: &str) -> Result<Self, Option<String>> {
        match text {
            "key-holders" => Ok(Self::Keyed),
            "anyone" => Ok(Self::Open),
            _ => Err(None),
        }
    }
}

/// Methods of a route, in upper case.
struct Methods(BTreeSet<String>);

impl Answer for Methods {
    const FORM: &'static str = "methods out of GET, HEAD, POST, PUT, PATCH, DELETE";

    fn read(text: &str) -> Result<Self, Option<String>> {
        let methods = text.split(',').map(|method| method.trim().to_uppercase());
        let methods: BTreeSet<String> = methods.collect();
        match methods.iter().all(|m| METHODS.contains(&m.as_str())) {
            true => Ok(Self(methods)),
            false => Err(None),
        }
    }
}

/// Path at a plain service.
struct ServicePath(String);

impl Answer for ServicePath {
    const FORM: &'static str = "a path that starts with `/`, without `?`, `#`, `..` or spaces";

    fn read(text: &str) -> Result<Self, Option<String>> {
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && !"?#".contains(c);
        match text.starts_with('/') && text.chars().all(plain) && !text.contains("..") {
            true => Ok(Self(text.to_owned())),
            false => Err(None),
        }
    }
}

/// Reads all routes; those with a wrong answer are left out.
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
    let ServicePath(path) = reader.or_usual(section, "path", ServicePath("/".to_owned()));
    let methods = reader.required(section, "methods");
    let access = reader.required(section, "who-may-call");
    let class: Option<Name<ClassName>> = reader.optional(section, "class");
    let class = match class {
        Some(Name(class)) => class,
        None => ClassName::new(DEFAULT_CLASS).ok()?,
    };
    if !classes.contains(&class) {
        let text = format!("there is no section [class.{class}]");
        reader.problem(&format!("{section}.class"), text);
    }
    let Name(upstream) = upstream?;
    if !known.services.contains(&upstream) {
        let text = format!("no data centre in force has the service `{upstream}`");
        reader.problem(&format!("{section}.service"), text);
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
