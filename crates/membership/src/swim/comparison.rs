//! Anti-entropy exchanges: when one begins, and the replies to summaries.

use super::*;

/// Rate (bytes per second) and burst (bytes) of the datagrams that compare member tables.
pub(super) const COMPARISON_BYTES: (f64, f64) = (64e3, 256e3);
/// Shortest time between two comparisons that this node begins.
const COMPARISON_INTERVAL: Nanos = 200 * MILLISECOND;
/// Time after a digest mismatch for which gossip rounds continue even if no update is queued.
const UNSETTLED_TIME: Nanos = 2 * SECOND;
/// Time that a few queued updates have to arrive by gossip before member tables are compared.
const UPDATE_TRAVEL_TIME: Nanos = 600 * MILLISECOND;
/// Maximum number of summaries in one datagram, sent or read.
const SUMMARIES_PER_DATAGRAM: usize = 4;

impl<H: Host> Membership<H> {
    /// Begins a comparison of member tables with a member, if the interval and the byte rate allow
    /// it.
    pub(super) fn start_comparison(&mut self, at: ClockReading, with: MemberKey) {
        if !self.config.features.anti_entropy
            || at.now < self.last_comparison + COMPARISON_INTERVAL
            || !self.comparison_budget.is_open(at.now)
        {
            return;
        }
        self.last_comparison = at.now;
        let Some(to) = self
            .member_table
            .get(with)
            .map(|entry| entry.details.address)
        else {
            return;
        };
        let summaries = vec![anti_entropy::summary(&self.member_table)];
        self.count("comparisons begun", 1);
        let datagram = Datagram {
            from: self.sender_key(),
            kind: kind::SUMMARY,
            summaries,
            ..Datagram::default()
        };
        let bytes = self.send(at, to, datagram);
        self.comparison_budget.spend(bytes);
    }

    /// Begins a comparison with a sender whose member table differs, unless a few recent updates in
    /// dissemination may account for the difference.
    pub(super) fn on_digest_mismatch(&mut self, at: ClockReading, sender: MemberKey) {
        self.unsettled_until = at.now + UNSETTLED_TIME;
        let updates_in_flight = !self.dissemination_queue.is_empty()
            && self.dissemination_queue.len() <= UPDATES_PER_DATAGRAM
            && at.now < self.last_change + UPDATE_TRAVEL_TIME;
        if !updates_in_flight {
            self.start_comparison(at, sender);
        }
    }

    /// Replies to summaries with finer ones, and with the headers of ranges that hold few members.
    pub(super) fn on_summary(&mut self, at: ClockReading, to: SocketAddr, datagram: &Datagram) {
        let from = self.sender_key();
        for summary in datagram.summaries.iter().take(SUMMARIES_PER_DATAGRAM) {
            let first = self.rng.random_range(0..64);
            let reply = anti_entropy::reply_to_summary(&self.member_table, summary, first);
            let mut summaries = reply.summaries.into_iter().peekable();
            while summaries.peek().is_some() && self.comparison_budget.is_open(at.now) {
                let mut builder = DatagramBuilder::new(Datagram {
                    from,
                    kind: kind::SUMMARY,
                    ..Datagram::default()
                });
                while let Some(next) = summaries.next_if(|next| {
                    builder.datagram.summaries.len() < SUMMARIES_PER_DATAGRAM
                        && builder.fits(encoded_field_len(next.encoded_len()))
                }) {
                    builder.size += encoded_field_len(next.encoded_len());
                    builder.datagram.summaries.push(next);
                }
                let bytes = self.send(at, to, builder.datagram);
                self.comparison_budget.spend(bytes);
            }
            self.send_headers(at, to, reply.covered);
        }
    }

    /// Sends the headers of all members in the given ranges.
    fn send_headers(&mut self, at: ClockReading, to: SocketAddr, covered: Vec<messages::Range>) {
        let from = self.sender_key();
        let mut covered = covered
            .into_iter()
            .map(|range| (range, anti_entropy::headers(&self.member_table, &range)));
        let mut next = covered.next();
        let mut datagrams = Vec::new();
        while next.is_some() {
            let mut builder = DatagramBuilder::new(Datagram {
                from,
                kind: kind::HEADERS,
                ..Datagram::default()
            });
            while let Some((range, updates)) = next.take() {
                let bytes = encoded_field_len(range.encoded_len())
                    + updates
                        .iter()
                        .map(|update| encoded_field_len(update.encoded_len()))
                        .sum::<usize>();
                if !builder.fits(bytes) {
                    next = Some((range, updates));
                    break;
                }
                builder.size += bytes;
                builder.datagram.covered.push(range);
                builder.datagram.updates.extend(updates);
                next = covered.next();
            }
            if builder.datagram.covered.is_empty() {
                break; // cannot occur: a range has few members, whose headers fit a datagram
            }
            datagrams.push(builder.datagram);
        }
        for datagram in datagrams {
            if self.comparison_budget.is_open(at.now) {
                let bytes = self.send(at, to, datagram);
                self.comparison_budget.spend(bytes);
            }
        }
    }
}
