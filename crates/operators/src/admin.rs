//! Queries the daemons' admin addresses on behalf of an operator.
//!
//! During an outage the operator needs the state of the processes that still
//! respond. An unreachable process is therefore listed in the report and doesn't
//! fail the query.

use crate::{ExplainQuery, ProcessStatus, RecordedDecision};
use futures::{StreamExt, stream};
use lagoonlift_types::{ProcessId, Revision};
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a process counts as unreachable.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the number of processes that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// The admin address of a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdminAddress {
    /// The process.
    pub process: ProcessId,
    /// Address of its admin HTTP server.
    pub address: SocketAddr,
}

/// HTTP client for the admin addresses of several processes.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: reqwest::Client,
    addresses: Vec<AdminAddress>,
}

/// The status of each queried process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Revision that should be in force.
    pub expected: Revision,
    /// Statuses of the processes that responded.
    pub statuses: Vec<ProcessStatus>,
    /// Processes that failed to respond.
    pub unreachable: Vec<AdminAddress>,
}

/// The decisions of the queried processes.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainReport {
    /// Recorded decisions, oldest first.
    pub decisions: Vec<RecordedDecision>,
    /// Processes that failed to respond; they may have recorded more decisions.
    pub unreachable: Vec<AdminAddress>,
}

impl AdminClient {
    /// Creates a client that queries the processes at `addresses`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be initialized.
    pub fn new(mut addresses: Vec<AdminAddress>) -> Result<Self, reqwest::Error> {
        addresses.sort();
        let client = reqwest::Client::builder()
            .timeout(RESPONSE_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self { client, addresses })
    }

    /// Returns the names in `hosts` for which the client has no admin address.
    pub fn hosts_without_address(&self, hosts: &[String]) -> Vec<String> {
        let has_address = |host: &String| {
            let mut addresses = self.addresses.iter();
            addresses.any(|address| address.process.host.as_str() == host)
        };
        hosts
            .iter()
            .filter(|host| !has_address(host))
            .cloned()
            .collect()
    }

    /// Queries the status of every process; `expected` is the revision that
    /// should be in force.
    pub async fn status(&self, expected: Revision) -> StatusReport {
        let (statuses, unreachable) = self.query_all("status").await;
        StatusReport {
            expected,
            statuses,
            unreachable,
        }
    }

    /// Queries every process for its decisions that match `query`.
    pub async fn explain(&self, query: &ExplainQuery) -> ExplainReport {
        let path = format!("explain/{query}");
        let (responses, unreachable) = self.query_all::<Vec<RecordedDecision>>(&path).await;
        let mut decisions: Vec<RecordedDecision> = responses.into_iter().flatten().collect();
        decisions.sort_by_key(|recorded| recorded.at);
        ExplainReport {
            decisions,
            unreachable,
        }
    }

    async fn query_all<T: DeserializeOwned>(&self, path: &str) -> (Vec<T>, Vec<AdminAddress>) {
        let queries = self.addresses.iter().map(|address| async move {
            let response = self.query_process(address.address, path).await;
            response.map_err(|_| address.clone())
        });
        let responses: Vec<Result<T, AdminAddress>> = stream::iter(queries)
            .buffered(MAX_CONCURRENT_QUERIES)
            .collect()
            .await;
        let mut reached = Vec::new();
        let mut unreachable = Vec::new();
        for response in responses {
            match response {
                Ok(response) => reached.push(response),
                Err(address) => unreachable.push(address),
            }
        }
        (reached, unreachable)
    }

    async fn query_process<T: DeserializeOwned>(
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
    /// Returns whether at least one process responded and every process that
    /// responded uses the expected revision or a later one.
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
            writeln!(
                f,
                "no process that responded has a record of a decision about it"
            )?;
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
