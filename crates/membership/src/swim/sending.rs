//! Sending of datagrams, filled up with queued updates and load hints.

use super::*;

/// Maximum number of load hints of other members in a datagram.
pub(super) const LOAD_HINTS_PER_DATAGRAM: usize = 7;
/// Size of an encoded load hint, in bytes.
pub(super) const LOAD_HINT_BYTES: usize = 8;
/// Maximum number of entries requested in one datagram.
pub(super) const WANTS_PER_DATAGRAM: usize = 32;

impl<H: Host> Membership<H> {
    /// Returns the sender key for datagrams; 0 while the node has lost its name.
    pub(super) fn sender_key(&self) -> u64 {
        if self.has_name_conflict() {
            0
        } else {
            self.own_key.0
        }
    }

    /// Sends a datagram of the given kind to a member.
    pub(super) fn send_to(
        &mut self,
        at: ClockReading,
        to: MemberKey,
        kind: u32,
        number: u32,
        target: MemberKey,
        updates: Vec<MemberUpdate>,
    ) {
        if let Some(address) = self.member_table.get(to).map(|entry| entry.details.address) {
            let datagram = Datagram {
                from: self.sender_key(),
                kind,
                number,
                target: target.0,
                updates,
                ..Datagram::default()
            };
            self.send(at, address, datagram);
        }
    }

    /// Sends a payload of another package to a member once. The payload may be lost, delayed or
    /// reordered, but is not delivered twice. Returns false if the payload could not be sent: it is
    /// too large, the member is not present, or this node has lost its name.
    pub fn send_payload(
        &mut self,
        at: ClockReading,
        to: MemberKey,
        topic: u32,
        payload: &[u8],
    ) -> bool {
        let present_address = self
            .member_table
            .get(to)
            .filter(|entry| entry.liveness().is_present())
            .map(|e| e.details.address);
        let (Some(address), false) = (
            present_address,
            self.has_name_conflict() || payload.len() > messages::PAYLOAD_MAX,
        ) else {
            self.count("payloads that could not be sent", 1);
            return false;
        };
        let payload = payload.to_vec();
        let datagram = Datagram {
            from: self.own_key.0,
            kind: kind::PAYLOAD,
            topic,
            payload,
            ..Datagram::default()
        };
        self.send(at, address, datagram) > 0
    }

    /// Sends a datagram, filled up with queued updates and load hints; returns its size in bytes,
    /// or 0 if it was too large to send.
    pub(super) fn send(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        mut datagram: Datagram,
    ) -> usize {
        if datagram.from != 0 || datagram.kind == kind::PAGE {
            datagram.digest = self.member_table.digest();
        }
        let mut builder = DatagramBuilder::new(datagram);
        let carries_updates =
            matches!(builder.datagram.kind, kind::PING | kind::ACK | kind::GOSSIP);
        if carries_updates && !self.has_name_conflict() && self.dissemination_budget.is_open(at.now)
        {
            self.add_queued_updates(&mut builder);
        }
        if carries_updates && builder.datagram.from != 0 && !messages::LATER {
            builder.datagram.load_hints = self.load_hints();
        }
        let mut message = builder.datagram.encode_to_vec();
        if message.len() + messages::LATER_BYTES <= MESSAGE_MAX {
            message = messages::later(message);
        }
        if message.len() > MESSAGE_MAX {
            debug_assert!(
                false,
                "datagram of kind {} exceeds {MESSAGE_MAX} bytes",
                builder.datagram.kind
            );
            self.count("invariant: datagrams beyond their bound", 1);
            return 0;
        }
        let frame = self.datagram_auth.seal(at.unix_ms, &message);
        self.host.send(to, &frame);
        if messages::LATER && builder.datagram.kind == kind::GOSSIP {
            let from = builder.datagram.from;
            self.send(
                at,
                to,
                Datagram {
                    from,
                    kind: messages::LATER_KIND,
                    ..Datagram::default()
                },
            );
        }
        frame.len()
    }

    /// Fills a datagram with queued updates. For a member that is not alive the header is sent,
    /// which is enough for most recipients; those that lack the details request them.
    fn add_queued_updates(&mut self, builder: &mut DatagramBuilder) {
        let size_before = builder.size;
        let Membership {
            dissemination_queue,
            member_table,
            suspicions,
            ..
        } = self;
        dissemination_queue.take(member_table.counts().present(), |key| {
            let Some(entry) = member_table.get(key) else {
                return true;
            };
            let is_alive =
                entry.epoch.started_unix_ms > 0 && entry.liveness_state.liveness == Liveness::Alive;
            let update = if is_alive {
                entry.full_update(key)
            } else {
                entry.header_update(key)
            };
            builder.push_update(MemberUpdate {
                suspected_by: suspicions.latest(key).unwrap_or_default().0,
                ..update
            })
        });
        self.dissemination_budget.spend(builder.size - size_before);
    }

    /// Encodes this node's load hint and the most recently received ones of other members.
    fn load_hints(&mut self) -> Vec<u8> {
        let mut load_hints = Vec::with_capacity((LOAD_HINTS_PER_DATAGRAM + 1) * LOAD_HINT_BYTES);
        let mut push = |key: MemberKey, load_hint: LoadHint| {
            load_hints.extend_from_slice(&((key.0 >> 32) as u32).to_be_bytes());
            load_hints.extend_from_slice(&load_hint.number.to_be_bytes());
            load_hints.extend_from_slice(&[load_hint.capacity, load_hint.load]);
        };
        if self.load_hint.number > 0 {
            push(self.own_key, self.load_hint);
        }
        let hints = self
            .recent_load_hints
            .iter()
            .rev()
            .take(LOAD_HINTS_PER_DATAGRAM);
        hints
            .filter_map(|key| Some((*key, self.member_table.get(*key)?.load_hint)))
            .for_each(|(key, load_hint)| push(key, load_hint));
        load_hints
    }

    /// Sends the entries to exchange and requests the missing ones, in as many datagrams as needed
    /// and the byte rate allows.
    pub(super) fn send_entries(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        differences: &RangeExchange,
    ) {
        let mut wants = differences.wants.clone();
        wants.sort_unstable();
        wants.dedup();
        let mut updates: Vec<MemberUpdate> = Vec::new();
        for key in &differences.headers {
            updates.extend(self.member_table.get(*key).map(|e| e.header_update(*key)));
        }
        for key in &differences.complete {
            updates.extend(self.member_table.get(*key).map(|e| e.full_update(*key)));
        }
        if updates.is_empty() && wants.is_empty() {
            return;
        }
        let from = self.sender_key();
        let mut updates = updates.into_iter().peekable();
        let mut wants = wants.chunks(WANTS_PER_DATAGRAM);
        loop {
            let wants = wants
                .next()
                .unwrap_or_default()
                .iter()
                .map(|key| key.0)
                .collect::<Vec<_>>();
            if updates.peek().is_none() && wants.is_empty()
                || !self.comparison_budget.is_open(at.now)
            {
                return;
            }
            let mut builder = DatagramBuilder::new(Datagram {
                from,
                kind: kind::ENTRIES,
                wants,
                ..Datagram::default()
            });
            while let Some(next) =
                updates.next_if(|next| builder.fits(encoded_field_len(next.encoded_len())))
            {
                builder.push_update(next);
            }
            let bytes = self.send(at, to, builder.datagram);
            self.comparison_budget.spend(bytes);
        }
    }
}
