//! Asks the daemons' admin addresses on behalf of an operator.
//!
//! A process that can't be reached is part of the answer, never a reason for
//! none: during an outage the operator needs to see the rest.

use crate::{ExplainQuery, ProcessStatus, RecordedDecision};
use futures::{StreamExt, stream};
use lagoonlift_types::{ProcessId, Revision};
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a process counts as out of reach.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Processes that are asked at the same time.
const CONCURRENT_QUESTIONS: usize = 64;

/// Where a process serves its admin pages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdminAddress {
    /// The process.
    pub process: ProcessId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Asks processes on their admin addresses.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: reqwest::Client,
    addresses: Vec<AdminAddress>,
}

/// What the processes said of themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Revision that is meant to be in force.
    pub expected: Revision,
    /// Processes that answered.
    pub statuses: Vec<ProcessStatus>,
    /// Processes that didn't.
    pub unreachable: Vec<AdminAddress>,
}

/// What the processes decided.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainReport {
    /// Their decisions, the oldest first.
    pub decisions: Vec<RecordedDecision>,
    /// Processes that didn't answer; they may know more.
    pub unreachable: Vec<AdminAddress>,
}

impl AdminClient {
    /// Creates a client that asks these processes.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be set up.
    pub fn new(mut addresses: Vec<AdminAddress>) -> Result<Self, reqwest::Error> {
        addresses.sort();
        let client = reqwest::Client::builder()
            .timeout(ANSWER_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self { client, addresses })
    }

    /// Returns those of `hosts` of which no process is asked.
    pub fn hosts_without_address(&self, hosts: &[String]) -> Vec<String> {
        let asked = |host: &String| {
            let mut addresses = self.addresses.iter();
            addresses.any(|address| address.process.host.as_str() == host)
        };
        hosts.iter().filter(|host| !asked(host)).cloned().collect()
    }

    /// Asks every process for its status.
    pub async fn status(&self, expected: Revision) -> StatusReport {
        let (statuses, unreachable) = self.ask("status").await;
        StatusReport {
            expected,
            statuses,
            unreachable,
        }
    }

    /// Asks every process for its decisions.
    pub async fn explain(&self, query: &ExplainQuery) -> ExplainReport {
        let path = format!("explain/{query}");
        let (answers, unreachable) = self.ask::<Vec<RecordedDecision>>(&path).await;
        let mut decisions: Vec<RecordedDecision> = answers.into_iter().flatten().collect();
        decisions.sort_by_key(|recorded| recorded.at);
        ExplainReport {
            decisions,
            unreachable,
        }
    }

    async fn ask<T: DeserializeOwned>(&self, path: &str) -> (Vec<T>, Vec<AdminAddress>) {
        let questions = self.addresses.iter().map(|address| async move {
            let answer = self.ask_one(address.address, path).await;
            answer.map_err(|_| address.clone())
        });
        let answers: Vec<Result<T, AdminAddress>> = stream::iter(questions)
            .buffered(CONCURRENT_QUESTIONS)
            .collect()
            .await;
        let mut reached = Vec::new();
        let mut unreachable = Vec::new();
        for answer in answers {
            match answer {
                Ok(answer) => reached.push(answer),
                Err(address) => unreachable.push(address),
            }
        }
        (reached, unreachable)
    }

    async fn ask_one<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, reqwest::Error> {
        let response = self
            .client
            .get(format!("http://{address}/{path}"))
            .send()
            .await?;
        response.error_for_status()?.json().await
    }
}

impl StatusReport {
    /// Returns whether any process answered and all that did go by the expected
    /// revision or a later one.
    pub fn is_in_force(&self) -> bool {
        let expected = self.expected;
        !self.statuses.is_empty()
            && self
                .statuses
                .iter()
                .all(|status| status.revision >= expected)
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "revision {} is accepted", self.expected)?;
        for status in &self.statuses {
            let readiness = match status.ready {
                true => "ready",
                false => "not ready",
            };
            let ProcessStatus {
                process,
                data_centre,
                revision,
                ..
            } = status;
            write!(
                f,
                "  {process} in {data_centre}: revision {revision}, {readiness}"
            )?;
            match status.epoch {
                Some(epoch) => writeln!(f, ", in charge at epoch {epoch}")?,
                None => writeln!(f)?,
            }
        }
        write_unreachable(f, &self.unreachable)
    }
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for decision in &self.decisions {
            writeln!(f, "{decision}")?;
        }
        if self.decisions.is_empty() {
            writeln!(f, "no process that answered remembers a decision about it")?;
        }
        write_unreachable(f, &self.unreachable)
    }
}

fn write_unreachable(f: &mut fmt::Formatter<'_>, unreachable: &[AdminAddress]) -> fmt::Result {
    for AdminAddress { process, address } in unreachable {
        writeln!(f, "  {process} at {address}: can't be reached")?;
    }
    Ok(())
}
