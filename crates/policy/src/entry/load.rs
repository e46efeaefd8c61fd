//! What one entry process believes of an upstream's load.
//!
//! A report is old when it comes and says nothing of what was sent since.
//! Other processes send work too, and see the same report at the same moment;
//! each therefore assumes that all of them sent as much as it did itself.

use crate::entry::EntryLimits;
use crate::{LoadReport, Timestamp, UpstreamFacts};
use std::collections::VecDeque;

/// Load of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamRecord {
    pub(crate) facts: UpstreamFacts,
    /// The number of its data centre.
    pub(crate) site: usize,
    report: Option<(Timestamp, LoadReport)>,
    /// Prompts in hand that haven't given a first token yet.
    own_prompt_tokens: u64,
    own_streams: u32,
    /// Prompt tokens and streams sent since the last report was true.
    fresh: VecDeque<(Timestamp, u64, u32)>,
    fresh_prompt_tokens: u64,
    fresh_streams: u32,
    /// Streams ended since the last report was true.
    ended: VecDeque<Timestamp>,
}

impl UpstreamRecord {
    pub(crate) fn new(facts: UpstreamFacts, site: usize) -> Self {
        Self {
            facts,
            site,
            report: None,
            own_prompt_tokens: 0,
            own_streams: 0,
            fresh: VecDeque::new(),
            fresh_prompt_tokens: 0,
            fresh_streams: 0,
            ended: VecDeque::new(),
        }
    }

    pub(crate) fn sent(&mut self, now: Timestamp, prompt_tokens: u64, streams: u32) {
        self.own_prompt_tokens += prompt_tokens;
        self.own_streams += streams;
        self.fresh.push_back((now, prompt_tokens, streams));
        self.fresh_prompt_tokens += prompt_tokens;
        self.fresh_streams += streams;
    }

    pub(crate) fn prompt_read(&mut self, prompt_tokens: u64) {
        self.own_prompt_tokens = self.own_prompt_tokens.saturating_sub(prompt_tokens);
    }

    pub(crate) fn stream_ended(&mut self, now: Timestamp) {
        self.own_streams = self.own_streams.saturating_sub(1);
        self.ended.push_back(now);
    }

    pub(crate) fn reported(&mut self, measured_at: Timestamp, report: LoadReport) {
        if self.report.is_some_and(|(at, _)| at >= measured_at) {
            return;
        }
        self.report = Some((measured_at, report));
        while let Some((_, prompt_tokens, streams)) =
            self.fresh.pop_front_if(|(at, _, _)| *at <= measured_at)
        {
            self.fresh_prompt_tokens -= prompt_tokens;
            self.fresh_streams -= streams;
        }
        while self.ended.pop_front_if(|at| *at <= measured_at).is_some() {}
    }

    /// Returns the load as a share of the bound; at 1 nothing more is sent.
    pub(crate) fn load(&self, now: Timestamp, limits: &EntryLimits) -> f64 {
        match self.facts.role {
            None => f64::from(self.own_streams) / f64::from(limits.service_requests),
            Some(_) => self.engine_load(now, limits),
        }
    }

    fn engine_load(&self, now: Timestamp, limits: &EntryLimits) -> f64 {
        let fresh_report = self
            .report
            .filter(|(at, _)| now.since(*at) <= limits.stale_after);
        let peers = f64::from(limits.entry_processes);
        let (prompt_tokens, streams) = match fresh_report {
            Some((measured_at, report)) => {
                let read = now.since(measured_at).as_secs_f64() * limits.prefill_tokens_per_second;
                let backlog = report.prefill_backlog_tokens as f64
                    + peers * self.fresh_prompt_tokens as f64
                    - read;
                let ended = self.ended.len() as f64;
                let streams = f64::from(report.active_streams)
                    + peers * (f64::from(self.fresh_streams) - ended);
                (
                    backlog.max(self.own_prompt_tokens as f64),
                    streams.max(f64::from(self.own_streams)),
                )
            }
            None => (
                peers * self.own_prompt_tokens as f64,
                peers * f64::from(self.own_streams),
            ),
        };
        let prompt_share = prompt_tokens / limits.prompt_backlog_tokens as f64;
        let stream_share = streams / f64::from(limits.streams);
        prompt_share.max(stream_share)
    }
}
