//! Estimate of the load of an upstream by one entry process.
//!
//! A load report is out of date when it arrives and doesn't include requests
//! sent since it was measured. Other entry processes send requests as well and
//! see the same report at the same time. Each process therefore assumes that
//! every other one has sent as much as itself since the report.

use crate::entry::EntryLimits;
use crate::{LoadReport, Timestamp, UpstreamFacts};
use std::collections::VecDeque;

/// An upstream with its estimated load.
#[derive(Debug)]
pub(crate) struct UpstreamRecord {
    pub(crate) facts: UpstreamFacts,
    /// Index of its data centre in `PoolIndex`.
    pub(crate) data_centre_index: usize,
    report: Option<(Timestamp, LoadReport)>,
    /// Prompt tokens of this process's attempts that haven't finished prefill.
    own_prompt_tokens: u64,
    /// Streams of this process on an engine that haven't ended, or its in-flight
    /// requests to a plain service.
    own_streams: u32,
    /// Attempts sent after the last report was measured: the time, the prompt
    /// tokens to prefill and the number of streams started, which is 0 for an
    /// attempt for prefill only and 1 otherwise.
    unreported_sends: VecDeque<(Timestamp, u64, u32)>,
    unreported_prompt_tokens: u64,
    unreported_streams: u32,
    /// End times of streams that ended after the last report was measured.
    unreported_ends: VecDeque<Timestamp>,
}

impl UpstreamRecord {
    pub(crate) fn new(facts: UpstreamFacts, data_centre_index: usize) -> Self {
        Self {
            facts,
            data_centre_index,
            report: None,
            own_prompt_tokens: 0,
            own_streams: 0,
            unreported_sends: VecDeque::new(),
            unreported_prompt_tokens: 0,
            unreported_streams: 0,
            unreported_ends: VecDeque::new(),
        }
    }

    pub(crate) fn add_load(&mut self, now: Timestamp, prompt_tokens: u64, streams: u32) {
        self.own_prompt_tokens += prompt_tokens;
        self.own_streams += streams;
        self.unreported_sends
            .push_back((now, prompt_tokens, streams));
        self.unreported_prompt_tokens += prompt_tokens;
        self.unreported_streams += streams;
    }

    /// Removes the prompt tokens of an attempt that finished its prefill, or that
    /// ended or was migrated before that.
    pub(crate) fn remove_prompt_tokens(&mut self, prompt_tokens: u64) {
        self.own_prompt_tokens = self.own_prompt_tokens.saturating_sub(prompt_tokens);
    }

    pub(crate) fn record_stream_end(&mut self, now: Timestamp) {
        self.own_streams = self.own_streams.saturating_sub(1);
        self.unreported_ends.push_back(now);
    }

    pub(crate) fn record_report(&mut self, measured_at: Timestamp, report: LoadReport) {
        if self.report.is_some_and(|(at, _)| at >= measured_at) {
            return;
        }
        self.report = Some((measured_at, report));
        while let Some((_, prompt_tokens, streams)) = self
            .unreported_sends
            .pop_front_if(|(at, _, _)| *at <= measured_at)
        {
            self.unreported_prompt_tokens -= prompt_tokens;
            self.unreported_streams -= streams;
        }
        while self
            .unreported_ends
            .pop_front_if(|at| *at <= measured_at)
            .is_some()
        {}
    }

    /// Returns the load as a share of the limit. At 1 the upstream gets no more
    /// requests.
    pub(crate) fn load(&self, now: Timestamp, limits: &EntryLimits) -> f64 {
        match self.facts.role {
            None => f64::from(self.own_streams) / f64::from(limits.max_service_requests),
            Some(_) => self.engine_load(now, limits),
        }
    }

    fn engine_load(&self, now: Timestamp, limits: &EntryLimits) -> f64 {
        let recent_report = self
            .report
            .filter(|(at, _)| now.since(*at) <= limits.stale_after);
        let entry_processes = f64::from(limits.entry_processes);
        let (prompt_tokens, streams) = match recent_report {
            Some((measured_at, report)) => {
                let prefilled_tokens =
                    now.since(measured_at).as_secs_f64() * limits.prefill_tokens_per_second;
                let backlog = report.prefill_backlog_tokens as f64
                    + entry_processes * self.unreported_prompt_tokens as f64
                    - prefilled_tokens;
                let ended_streams = self.unreported_ends.len() as f64;
                let streams = f64::from(report.active_streams)
                    + entry_processes * (f64::from(self.unreported_streams) - ended_streams);
                (
                    backlog.max(self.own_prompt_tokens as f64),
                    streams.max(f64::from(self.own_streams)),
                )
            }
            None => (
                entry_processes * self.own_prompt_tokens as f64,
                entry_processes * f64::from(self.own_streams),
            ),
        };
        let prompt_share = prompt_tokens / limits.max_prompt_backlog_tokens as f64;
        let stream_share = streams / f64::from(limits.max_streams);
        prompt_share.max(stream_share)
    }
}
