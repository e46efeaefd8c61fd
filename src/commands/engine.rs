//! `lagoonlift engine`: asks the steward that holds a data centre's lease to change
//! an engine.

use super::operator::OperatorArguments;
use super::print;
use eyre::Result;
use lagoonlift::platform::{PlatformClient, PlatformError};
use lagoonlift::steward::EngineRequest;
use lagoonlift::types::{DataCentreName, RequestId, UpstreamName, UpstreamRole};
use lagoonlift::upstreams::EngineChange;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift engine --settings FILE DATA-CENTRE ENGINE CHANGE VALUE

Asks the steward in charge of DATA-CENTRE to change ENGINE. CHANGE is `role` with
`prefill`, `decode` or `mixed`, or `model`, `adapter` or `version` with a name.
Streams that run at the engine end first. `lagoonlift explain ENGINE` shows the
order and its end.

Options:
    --settings FILE  the operator's settings
    -h, --help       print this help";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match OperatorArguments::parse(parser)? {
        Some(arguments) => submit_request(&arguments),
        None => Ok(print(USAGE)),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn submit_request(arguments: &OperatorArguments) -> Result<ExitCode> {
    let values: Vec<&str> = arguments.values.iter().map(String::as_str).collect();
    let [data_centre, engine, change, value] = values.as_slice() else {
        let message = "expected DATA-CENTRE ENGINE CHANGE VALUE; see --help";
        return Err(lexopt::Error::from(message).into());
    };
    let key = EngineRequest::key(
        &DataCentreName::new(data_centre)?,
        &UpstreamName::new(engine)?,
    );
    let request = EngineRequest {
        id: RequestId::new().to_string(),
        change: parse_change(change, value)?,
        planned: false,
    };
    match create_request(&arguments.client()?, &key, &request).await? {
        None => {
            println!("{engine} in {data_centre} is asked for: {change} {value}");
            Ok(ExitCode::SUCCESS)
        }
        Some(open) => {
            println!(
                "{engine} in {data_centre} has an open request: {}",
                describe_change(&open.change)
            );
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Stores the request, or returns the open request for the same engine.
async fn create_request(
    client: &PlatformClient,
    key: &str,
    request: &EngineRequest,
) -> Result<Option<EngineRequest>> {
    let ambiguous_error = match client.create(key, request).await {
        Ok(_) => return Ok(None),
        Err(PlatformError::Conflict {
            current: Some(open),
        }) => return Ok(Some(open.parse()?)),
        Err(error) if error.is_ambiguous() => error,
        Err(error) => return Err(error.into()),
    };
    // The steward deletes a request when its order has ended, so an absent request
    // doesn't show that the call had no effect. Only a present one is conclusive.
    match client.get_as::<EngineRequest>(key).await? {
        Some((open, _)) if open == *request => Ok(None),
        Some((open, _)) => Ok(Some(open)),
        None => Err(ambiguous_error.into()),
    }
}

fn parse_change(change: &str, value: &str) -> Result<EngineChange> {
    let role = match (change, value) {
        ("role", "prefill") => UpstreamRole::Prefill,
        ("role", "decode") => UpstreamRole::Decode,
        ("role", "mixed") => UpstreamRole::Mixed,
        ("model", _) => return Ok(EngineChange::LoadModel(value.parse()?)),
        ("adapter", _) => return Ok(EngineChange::LoadAdapter(value.to_owned())),
        ("version", _) => return Ok(EngineChange::LoadVersion(value.to_owned())),
        _ => {
            let message = format!("`{change} {value}` is not a valid change; see --help");
            return Err(lexopt::Error::from(message).into());
        }
    };
    Ok(EngineChange::ChangeRole(role))
}

fn describe_change(change: &EngineChange) -> String {
    match change {
        EngineChange::ChangeRole(UpstreamRole::Prefill) => "role prefill".to_owned(),
        EngineChange::ChangeRole(UpstreamRole::Decode) => "role decode".to_owned(),
        EngineChange::ChangeRole(UpstreamRole::Mixed) => "role mixed".to_owned(),
        EngineChange::LoadModel(model) => format!("model {model}"),
        EngineChange::LoadAdapter(adapter) => format!("adapter {adapter}"),
        EngineChange::LoadVersion(version) => format!("version {version}"),
    }
}
