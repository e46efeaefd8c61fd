//! `lagoonlift key`: creates, withdraws and lists callers' API keys.

use super::operator::OperatorArguments;
use super::print;
use eyre::Result;
use lagoonlift::operators::key_id;
use lagoonlift::types::WorkspaceName;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: lagoonlift key --settings FILE new WORKSPACE
       lagoonlift key --settings FILE withdraw WORKSPACE KEY-NAME
       lagoonlift key --settings FILE list WORKSPACE

`new` prints a key once; only its digest is kept. `withdraw` and `list` use a
key's name, the first digits of its digest.

Options:
    --settings FILE  the operator's settings
    -h, --help       print this help";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    match OperatorArguments::parse(parser)? {
        Some(arguments) => edit_keys(&arguments),
        None => Ok(print(USAGE)),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn edit_keys(arguments: &OperatorArguments) -> Result<ExitCode> {
    let values: Vec<&str> = arguments.values.iter().map(String::as_str).collect();
    let editor = arguments.editor()?;
    match values.as_slice() {
        ["new", workspace] => {
            let (key, revision) = editor.create_key(&WorkspaceName::new(workspace)?).await?;
            println!("{}", key.expose());
            let id = key_id(key.digest());
            eprintln!("key {id} of {workspace} is accepted as revision {revision}");
        }
        ["withdraw", workspace, id] => {
            let revision = editor
                .revoke_key(&WorkspaceName::new(workspace)?, id)
                .await?;
            println!("key {id} of {workspace} is withdrawn as of revision {revision}");
        }
        ["list", workspace] => {
            for id in editor.key_ids(&WorkspaceName::new(workspace)?).await? {
                println!("{id}");
            }
        }
        _ => {
            let message = "expected `new`, `withdraw` or `list`; see --help";
            return Err(lexopt::Error::from(message).into());
        }
    }
    Ok(ExitCode::SUCCESS)
}
