//! Reads the questionnaire of a data centre.

use super::answers::{Answer, AnswerReader, Name, Names};
use crate::proposal::Draft;
use lagoonlift_types::{
    Chunk, ChunkName, DataCentreCapacity, DataCentreName, FencingSupport, ModelName, Supply,
    Upstream, UpstreamKind, UpstreamName, UpstreamRole,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Answer for UpstreamRole {
    const EXPECTED: &'static str = "`prefill`, `decode` or `mixed`";

    fn parse(text: &str) -> Result<Self, Option<String>> {
        match text {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "mixed" => Ok(Self::Mixed),
            _ => Err(None),
        }
    }
}

/// Reads the answers. Returns `None` if the name of the data centre is missing or
/// invalid.
pub(super) fn read(reader: &mut AnswerReader<'_>) -> Option<Draft> {
    let name: Option<Name<DataCentreName>> = reader.required("data-centre", "name");
    let order_limit = reader.optional_or("data-centre", "order-limit", 0);
    let mut upstreams = BTreeMap::new();
    read_engines(reader, &mut upstreams);
    read_services(reader, &mut upstreams);
    check_addresses(reader, &upstreams);
    check_roles(reader, &upstreams);
    let Name(name) = name?;
    let reasons = reasons(&upstreams, order_limit);
    let capacity = DataCentreCapacity {
        upstreams,
        order_limit,
    };
    let chunk = Chunk::DataCentre(Arc::new(capacity));
    Some(Draft::new(ChunkName::DataCentre(name), chunk, reasons))
}

fn read_engines(reader: &mut AnswerReader<'_>, upstreams: &mut BTreeMap<UpstreamName, Upstream>) {
    for (section, name) in reader.sections::<UpstreamName>("engine") {
        let address = reader.required(&section, "address");
        let models = reader.required(&section, "models");
        let role = reader.required(&section, "role");
        let fencing = reader.required(&section, "checks-fencing");
        let reclaimable = reader.required(&section, "reclaimable");
        let engine = match (address, models, role, fencing, reclaimable) {
            (Some(address), Some(Names(models)), Some(role), Some(fencing), Some(reclaimable)) => {
                Upstream {
                    address,
                    kind: UpstreamKind::Engine {
                        models,
                        role,
                        fencing: fencing_support(fencing),
                    },
                    supply: supply(reclaimable),
                }
            }
            _ => continue,
        };
        upstreams.insert(name, engine);
    }
}

fn read_services(reader: &mut AnswerReader<'_>, upstreams: &mut BTreeMap<UpstreamName, Upstream>) {
    for (section, name) in reader.sections::<UpstreamName>("service") {
        let address = reader.required(&section, "address");
        let reclaimable = reader.optional_or(&section, "reclaimable", false);
        let Some(address) = address else { continue };
        let service = Upstream {
            address,
            kind: UpstreamKind::Service,
            supply: supply(reclaimable),
        };
        if upstreams.insert(name.clone(), service).is_some() {
            reader.report_problem(&section, format!("there is an engine `{name}` too"));
        }
    }
}

fn fencing_support(checks: bool) -> FencingSupport {
    match checks {
        true => FencingSupport::Checked,
        false => FencingSupport::Ignored,
    }
}

fn supply(reclaimable: bool) -> Supply {
    match reclaimable {
        true => Supply::Reclaimable,
        false => Supply::Reserved,
    }
}

fn section_name(name: &UpstreamName, upstream: &Upstream) -> String {
    match upstream.kind {
        UpstreamKind::Engine { .. } => format!("engine.{name}"),
        UpstreamKind::Service => format!("service.{name}"),
    }
}

fn check_addresses(reader: &mut AnswerReader<'_>, upstreams: &BTreeMap<UpstreamName, Upstream>) {
    let mut owners = BTreeMap::new();
    for (name, upstream) in upstreams {
        if let Some(owner) = owners.insert(upstream.address, name) {
            let question = format!("{}.address", section_name(name, upstream));
            let text = format!("{} is the address of `{owner}` too", upstream.address);
            reader.report_problem(&question, text);
        }
    }
}

/// Reports models that lack an engine for prefill or for decode.
fn check_roles(reader: &mut AnswerReader<'_>, upstreams: &BTreeMap<UpstreamName, Upstream>) {
    let mut roles: BTreeMap<&ModelName, BTreeSet<UpstreamRole>> = BTreeMap::new();
    for upstream in upstreams.values() {
        if let UpstreamKind::Engine { models, role, .. } = &upstream.kind {
            for model in models {
                roles.entry(model).or_default().insert(*role);
            }
        }
    }
    for (model, roles) in roles {
        let missing = match roles.contains(&UpstreamRole::Mixed) {
            true => None,
            false if !roles.contains(&UpstreamRole::Decode) => Some("decode"),
            false if !roles.contains(&UpstreamRole::Prefill) => Some("prefill"),
            false => None,
        };
        if let Some(missing) = missing {
            let text = format!("`{model}` has no engine with role `{missing}` or `mixed`");
            reader.report_problem("engine", text);
        }
    }
}

fn reasons(
    upstreams: &BTreeMap<UpstreamName, Upstream>,
    order_limit: u32,
) -> BTreeMap<String, String> {
    let mut reasons = BTreeMap::new();
    let reason = match order_limit {
        0 => "nothing may be ordered beyond what is listed",
        _ => "most that may be ordered beyond what is listed",
    };
    reasons.insert("order limit".to_owned(), reason.to_owned());
    for (name, upstream) in upstreams {
        if let UpstreamKind::Engine { fencing, .. } = &upstream.kind {
            let reason = match fencing {
                FencingSupport::Checked => "it refuses orders with an old fencing number",
                FencingSupport::Ignored => {
                    "it ignores the number: no order until the former leader is known to be gone"
                }
            };
            reasons.insert(format!("engine {name} fencing"), reason.to_owned());
        }
        let reason = match upstream.supply {
            Supply::Reserved => "kept until it is given back",
            Supply::Reclaimable => "may vanish: gets only work that can be repeated or resumed",
        };
        let section = section_name(name, upstream).replacen('.', " ", 1);
        reasons.insert(format!("{section} supply"), reason.to_owned());
    }
    reasons
}
