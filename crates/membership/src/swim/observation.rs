//! Read access from outside: member table, cluster view, counters, history, status pages.

use super::*;

/// Maximum number of changes in a status report.
const REPORTED_CHANGES: usize = 16;
/// Time without another known member after which the node reports that it is alone.
const ALONE_REPORT_DELAY: Nanos = 10 * SECOND;

impl<H: Host> Membership<H> {
    /// Returns the member table.
    pub fn member_table(&self) -> &MemberTable {
        &self.member_table
    }

    /// Returns the view of the cluster on which decisions are based.
    pub fn cluster_view(&self) -> &ClusterView {
        &self.cluster_view
    }

    /// Returns the history of the latest changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the event counters by name.
    pub fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }

    /// Returns whether another process holds this node's name, so that this node publishes nothing.
    pub fn has_name_conflict(&self) -> bool {
        self.name_conflict
            .as_ref()
            .is_some_and(|name_conflict| name_conflict.name_lost)
    }

    /// Adds `times` to the event counter named `what`.
    pub(super) fn count(&mut self, what: &'static str, times: u64) {
        *self.counters.entry(what).or_default() += times;
    }

    /// Reports a change to the host, adds it to the history and logs it if the rate limit allows.
    pub(super) fn record_change(
        &mut self,
        at: ClockReading,
        kind: ChangeKind,
        key: MemberKey,
        more: String,
    ) {
        self.host.member_changed(kind, key);
        let name = self
            .member_table
            .get(key)
            .map_or_else(|| Arc::from("?"), |entry| Arc::clone(&entry.name));
        let change = ChangeEvent {
            unix_ms: at.unix_ms,
            kind,
            name,
            more,
        };
        if let Some(line) = self.history.push(at.now, change) {
            self.host.log(kind.as_str(), &line);
        }
    }

    /// Recomputes the cluster view and reports its changes, and whether the node is alone.
    pub(super) fn refresh_cluster_view(&mut self, at: ClockReading) {
        let zone: Arc<str> = self.config.zone.as_str().into();
        let cluster_view = self.size_estimator.observe(
            at.now,
            &self.member_table,
            &zone,
            self.local_health.score(),
            self.has_name_conflict(),
        );
        match (self.cluster_view.unsure_since, cluster_view.unsure_since) {
            (None, Some(_)) => {
                let more = format!(
                    "{} of {} members alive, {} suspect",
                    cluster_view.cluster.low, self.cluster_view.cluster.size, cluster_view.suspects
                );
                self.record_change(at, ChangeKind::Unsure, self.own_key, more);
            }
            (Some(since), None) => {
                let more = format!(
                    "after {} s, {} members alive",
                    (at.now - since.min(at.now)) / SECOND,
                    cluster_view.cluster.low
                );
                self.record_change(at, ChangeKind::Sure, self.own_key, more);
            }
            _ => {}
        }
        if self.cluster_view != cluster_view {
            self.cluster_view = cluster_view;
            self.host.cluster_view_changed(&self.cluster_view);
        }
        if let Some(line) = self.history.suppressed_line(at.now) {
            self.host.log("more", &line);
        }
        let has_others = self.member_table.counts().present() > 1;
        match self.alone_since {
            Some(_) if has_others => {
                if std::mem::take(&mut self.alone_reported) {
                    self.record_change(at, ChangeKind::Company, self.own_key, String::new());
                }
                self.alone_since = None;
                self.former_addresses.clear();
            }
            None if !has_others => self.alone_since = Some(at.now),
            Some(since)
                if !self.alone_reported
                    && !self.join_addresses().is_empty()
                    && at.now >= since + ALONE_REPORT_DELAY =>
            {
                self.alone_reported = true;
                self.record_change(
                    at,
                    ChangeKind::Alone,
                    self.own_key,
                    "no seed replies".into(),
                );
            }
            _ => {}
        }
    }

    /// Replies to an observer's request with a page of another package's status, or with the node's
    /// report (cursor 0) and then the member table page by page.
    pub(super) fn on_show(&mut self, at: ClockReading, to: SocketAddr, datagram: &Datagram) {
        let mut builder = DatagramBuilder::new(Datagram {
            from: self.sender_key(),
            kind: kind::PAGE,
            number: datagram.number,
            ..Datagram::default()
        });
        if datagram.topic != 0 {
            let Some((page, next)) = self.host.status_page(datagram.topic, datagram.cursor) else {
                return;
            };
            if page.len() > messages::PAYLOAD_MAX {
                return self.count("status pages that are too large", 1);
            }
            (
                builder.datagram.topic,
                builder.datagram.payload,
                builder.datagram.cursor,
            ) = (datagram.topic, page, next);
            self.send(at, to, builder.datagram);
            return;
        }
        if datagram.cursor == 0 {
            builder.datagram.report = Some(self.node_report(at));
            builder.datagram.cursor = 1;
        } else {
            for (key, entry) in self.member_table.range(datagram.cursor..=u64::MAX) {
                if !builder
                    .fits(encoded_field_len(entry.full_update(key).encoded_len()) + LOAD_HINT_BYTES)
                {
                    builder.datagram.cursor = key.0;
                    break;
                }
                builder.push_update(entry.full_update(key));
                let load_hint = if key == self.own_key {
                    self.load_hint
                } else {
                    entry.load_hint
                };
                builder.size += LOAD_HINT_BYTES;
                builder
                    .datagram
                    .load_hints
                    .extend(((key.0 >> 32) as u32).to_be_bytes());
                builder
                    .datagram
                    .load_hints
                    .extend(load_hint.number.to_be_bytes());
                builder
                    .datagram
                    .load_hints
                    .extend([load_hint.capacity, load_hint.load]);
            }
        }
        self.send(at, to, builder.datagram);
    }

    /// Sends the reply to an operator's command. A reply larger than
    /// [`PAYLOAD_MAX`](messages::PAYLOAD_MAX) is dropped and counted.
    pub fn answer_command(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        number: u32,
        topic: u32,
        reply: &[u8],
    ) {
        if reply.len() > messages::PAYLOAD_MAX {
            return self.count("replies to commands that are too large", 1);
        }
        let (from, kind, payload) = (self.sender_key(), kind::COMMAND_REPLY, reply.to_vec());
        self.send(
            at,
            to,
            Datagram {
                from,
                kind,
                number,
                topic,
                payload,
                ..Datagram::default()
            },
        );
    }

    /// Returns the node's report about itself, with as many counters and changes as fit a datagram.
    fn node_report(&self, at: ClockReading) -> NodeReport {
        let (counts, cluster_view) = (self.member_table.counts(), &self.cluster_view);
        let elapsed_ms = |since: Nanos| (at.now.saturating_sub(since) / MILLISECOND).max(1);
        let mut report = NodeReport {
            name: self.config.name.clone(),
            size: cluster_view.cluster.size as u32,
            low: cluster_view.cluster.low as u32,
            high: cluster_view.cluster.high as u32,
            unsure_ms: cluster_view.unsure_since.map_or(0, elapsed_ms),
            local_health_score: cluster_view.local_health_score,
            suspects: counts.suspect as u32,
            dead: counts.dead as u32,
            zone: self.config.zone.clone(),
            has_name_conflict: self.has_name_conflict(),
            counters: Vec::new(),
            changes: Vec::new(),
        };
        let report_bytes_max = MESSAGE_MAX - 100;
        for (what, times) in &self.counters {
            report.counters.push(messages::CounterMessage {
                what: (*what).to_owned(),
                times: *times,
            });
            if report.encoded_len() > report_bytes_max * 2 / 3 {
                report.counters.pop();
                break;
            }
        }
        for change in self.history.latest().take(REPORTED_CHANGES) {
            let line = change.to_string();
            report.changes.push(messages::ChangeEvent {
                unix_ms: change.unix_ms,
                line,
            });
            if report.encoded_len() > report_bytes_max {
                report.changes.pop();
                break;
            }
        }
        report
    }

    /// Merges the entries of other members without dissemination. Simulations use this to start
    /// with a settled cluster.
    pub fn preload(&mut self, at: ClockReading, entries: &[MemberUpdate]) {
        for update in entries.iter().filter(|update| update.key != self.own_key.0) {
            if let MergeOutcome::Changed(change) = self.member_table.merge(at.now, update)
                && change.after.is_present()
            {
                self.probe_order
                    .insert(&mut self.rng, MemberKey(update.key));
            }
        }
        self.dissemination_queue = DisseminationQueue::default();
        self.alone_since = None;
    }

    /// Returns the complete entry of this node, which it sends to nodes that do not know it; `None`
    /// while it has lost its name.
    pub fn introduction(&self) -> Option<MemberUpdate> {
        self.own_entry(true)
    }

    /// Returns the epoch and the liveness state of a member in this node's table.
    pub fn liveness_state(&self, key: MemberKey) -> Option<(Epoch, LivenessState)> {
        self.member_table
            .get(key)
            .map(|entry| (entry.epoch, entry.liveness_state))
    }
}
