//! Index that finds the rules that may match a request without evaluating all of them.
//!
//! A rule whose condition is an equality, a prefix test or a membership test in a set of addresses,
//! or contains such a test as an operand of a top-level `&&`, is indexed under one such test. Only
//! the rules whose indexed test holds for the request, and the rules that are not indexed, are
//! evaluated, in the order of the file. A rule that is left out cannot match: its indexed test is
//! false or fails, and so the whole condition is false or fails.

mod trie;

use crate::address::{self, AddressSet, INDEXED_NETWORKS_MAX};
use crate::compile::Node;
use crate::facts::{Facts, Name};
use crate::syntax::Binary;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use trie::Trie;

/// Largest number of sets of more than [`INDEXED_NETWORKS_MAX`] networks that the index searches
/// for each request. Rules with further such sets are not indexed.
const LARGE_SETS_MAX: usize = 8;
/// Approximate size, in bytes, of a trie node for an IPv4 network with its list of rules.
const NETWORK_BYTES_V4: usize = 60;
/// Approximate size, in bytes, of a trie node for an IPv6 network with its list of rules.
const NETWORK_BYTES_V6: usize = 90;
/// Largest number of values of an `in` list under which a rule is indexed.
const INDEXED_VALUES_MAX: usize = 256;

/// A string of a request by which rules are indexed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Field {
    /// A fact of type string.
    Fact(Name),
    /// The parameter in a slot.
    Slot(u16),
}

impl Field {
    fn of(node: &Node) -> Option<Field> {
        match node {
            Node::Fact(name) if name.kind() == crate::value::Type::Text => Some(Field::Fact(*name)),
            Node::Slot(slot) => Some(Field::Slot(*slot)),
            _ => None,
        }
    }

    fn value<'a>(self, facts: &Facts<'a>) -> Option<&'a str> {
        match self {
            Field::Slot(slot) => facts.params.slot(slot).ok(),
            Field::Fact(name) => match facts.get(name)? {
                crate::value::Value::Text(text) => Some(text),
                _ => None,
            },
        }
    }
}

/// The test under which a rule is indexed.
#[derive(Clone, Debug, PartialEq)]
pub enum IndexKey {
    /// The field has one of these values.
    Equal(Field, Vec<Box<str>>),
    /// The field starts with this prefix.
    Prefix(Field, Box<str>),
    /// The address of the caller is in this set.
    Within(Arc<AddressSet>),
    /// The rule is not indexed and is evaluated for every request.
    Nothing,
}

/// Collects all tests under which a condition could be indexed.
fn index_keys(node: &Node, found: &mut Vec<IndexKey>) {
    match node {
        Node::And(all) => all.iter().for_each(|one| index_keys(one, found)),
        Node::Binary(Binary::Equal, sides) => {
            let (field, text) = match &**sides {
                (field, Node::Text(text)) | (Node::Text(text), field) => (Field::of(field), text),
                _ => return,
            };
            found.extend(field.map(|field| IndexKey::Equal(field, vec![text.clone()])));
        }
        Node::InTexts(of, set) if set.len() <= INDEXED_VALUES_MAX => {
            let mut values: Vec<_> = set.iter().cloned().collect();
            values.sort_unstable();
            found.extend(Field::of(of).map(|field| IndexKey::Equal(field, values)));
        }
        Node::Call(crate::compile::Function::StartsWith, nodes) => {
            if let [of, Node::Text(prefix)] = &**nodes
                && !prefix.is_empty()
            {
                found.extend(Field::of(of).map(|field| IndexKey::Prefix(field, prefix.clone())));
            }
        }
        Node::Binary(Binary::In, sides) => {
            if let (Node::Fact(Name::Address), Node::Set(set)) = &**sides {
                found.push(IndexKey::Within(Arc::clone(set)));
            }
        }
        _ => {}
    }
}

type RuleList = Vec<u32>;

/// Rules, by the test under which they are indexed. Lists hold rule numbers in ascending order.
#[derive(Debug, Default)]
pub struct Index {
    equal: Vec<(Field, HashMap<Box<str>, RuleList>)>,
    prefix: Vec<(Field, Trie)>,
    ipv4: PrefixMap<Ipv4Net, RuleList>,
    ipv6: PrefixMap<Ipv6Net, RuleList>,
    sets: Vec<(Arc<AddressSet>, RuleList)>,
    /// Rules without an indexed test, which are evaluated for every request.
    unindexed: RuleList,
    /// Position in [`KINDS`] of the kind of each rule's test, for explanations.
    kinds: Vec<u8>,
}

/// Kinds of indexed tests, as explanations show them.
const KINDS: [&str; 5] = [
    "equality",
    "prefix",
    "network",
    "set of addresses",
    "nothing",
];

impl Index {
    /// Builds the index of rules with these conditions, given in the order of the file.
    pub fn new<'n>(conditions: impl Iterator<Item = &'n Node>) -> Index {
        let found: Vec<Vec<IndexKey>> = conditions
            .map(|node| {
                let mut found = Vec::new();
                index_keys(node, &mut found);
                found
            })
            .collect();
        // A rule is indexed under the value, prefix or set that the fewest rules name, so that each
        // list is short.
        let mut name_counts: BTreeMap<(Field, &str, bool), usize> = BTreeMap::new();
        for key in found.iter().flatten() {
            match key {
                IndexKey::Equal(field, values) => {
                    values
                        .iter()
                        .for_each(|v| *name_counts.entry((*field, v, false)).or_default() += 1);
                }
                IndexKey::Prefix(field, prefix) => {
                    *name_counts.entry((*field, prefix, true)).or_default() += 1
                }
                IndexKey::Within(_) | IndexKey::Nothing => {}
            }
        }
        let selectivity = |key: &IndexKey| match key {
            IndexKey::Equal(field, values) => (
                values
                    .iter()
                    .map(|v| name_counts[&(*field, &**v, false)])
                    .max()
                    .unwrap_or(0),
                values.len(),
            ),
            IndexKey::Prefix(field, prefix) => (
                name_counts[&(*field, &**prefix, true)] + 1,
                4 * prefix.len(),
            ),
            IndexKey::Within(set) => (2, set.len()),
            IndexKey::Nothing => (usize::MAX, 0),
        };
        let chosen: Vec<IndexKey> = found
            .iter()
            .map(|all| {
                all.iter()
                    .min_by_key(|a| selectivity(a))
                    .cloned()
                    .unwrap_or(IndexKey::Nothing)
            })
            .collect();
        let mut index = Index::default();
        for (rule, key) in chosen.into_iter().enumerate() {
            index.insert(rule as u32, key);
        }
        index
    }

    fn insert(&mut self, rule: u32, key: IndexKey) {
        let kind = match key {
            IndexKey::Equal(field, values) => {
                let place = self
                    .equal
                    .iter()
                    .position(|(f, _)| *f == field)
                    .unwrap_or_else(|| {
                        self.equal.push((field, HashMap::new()));
                        self.equal.len() - 1
                    });
                for value in values {
                    self.equal[place].1.entry(value).or_default().push(rule);
                }
                0
            }
            IndexKey::Prefix(field, prefix) => {
                let place = self
                    .prefix
                    .iter()
                    .position(|(f, _)| *f == field)
                    .unwrap_or_else(|| {
                        self.prefix.push((field, Trie::new()));
                        self.prefix.len() - 1
                    });
                self.prefix[place].1.insert(prefix.as_bytes(), rule);
                1
            }
            IndexKey::Within(set) => self.insert_set(rule, set),
            IndexKey::Nothing => {
                self.unindexed.push(rule);
                4
            }
        };
        self.kinds.push(kind);
    }

    fn insert_set(&mut self, rule: u32, set: Arc<AddressSet>) -> u8 {
        if let Some((_, rules)) = self
            .sets
            .iter_mut()
            .find(|(known, _)| Arc::ptr_eq(known, &set))
        {
            rules.push(rule);
            return 3;
        }
        if set.len() > INDEXED_NETWORKS_MAX {
            if self.sets.len() < LARGE_SETS_MAX {
                self.sets.push((set, vec![rule]));
                return 3;
            }
            self.unindexed.push(rule);
            return 4;
        }
        for net in set.networks() {
            match net {
                IpNet::V4(net) => self.ipv4.entry(*net).or_default().push(rule),
                IpNet::V6(net) => self.ipv6.entry(*net).or_default().push(rule),
            }
        }
        2
    }

    /// Returns the lists of rules that may match. A rule can be in two lists if networks of its set
    /// overlap.
    fn lists<'i>(&'i self, facts: &Facts<'_>) -> SmallVec<[&'i [u32]; 16]> {
        let mut lists: SmallVec<[&[u32]; 16]> = SmallVec::new();
        if !self.unindexed.is_empty() {
            lists.push(&self.unindexed);
        }
        for (field, values) in &self.equal {
            if let Some(rules) = field.value(facts).and_then(|value| values.get(value)) {
                lists.push(rules);
            }
        }
        for (field, trie) in &self.prefix {
            if let Some(value) = field.value(facts) {
                trie.visit(value.as_bytes(), |rules| lists.push(rules));
            }
        }
        if let Some(address) = facts.address.map(address::plain) {
            match address {
                IpAddr::V4(a) => {
                    lists.extend(self.ipv4.cover_values(&Ipv4Net::from(a)).map(Vec::as_slice))
                }
                IpAddr::V6(a) => {
                    lists.extend(self.ipv6.cover_values(&Ipv6Net::from(a)).map(Vec::as_slice))
                }
            }
            let sets = self.sets.iter().filter(|(set, _)| set.contains(address));
            lists.extend(sets.map(|(_, rules)| rules.as_slice()));
        }
        lists
    }

    /// Returns the rules that may match, in the order of the file and without duplicates.
    pub fn candidates(&self, facts: &Facts<'_>) -> impl Iterator<Item = u32> {
        let mut lists = self.lists(facts);
        std::iter::from_fn(move || {
            let next = lists
                .iter()
                .filter_map(|list| list.first())
                .min()
                .copied()?;
            for list in &mut lists {
                while let [first, rest @ ..] = list
                    && *first == next
                {
                    *list = rest;
                }
            }
            Some(next)
        })
    }

    /// Returns the kind of the test under which a rule is indexed.
    pub fn kind(&self, rule: usize) -> &'static str {
        self.kinds
            .get(rule)
            .map_or("nothing", |kind| KINDS[usize::from(*kind)])
    }

    /// Returns the worst-case cost, in units, of the rules evaluated for one request, given the
    /// cost of each rule: the sum over all rules that are not indexed and over the most expensive
    /// lists of each kind that one request can select.
    pub fn max_cost(&self, cost: impl Fn(u32) -> u64) -> u64 {
        let sum = |list: &[u32]| list.iter().map(|rule| cost(*rule)).sum::<u64>();
        let equal = self
            .equal
            .iter()
            .map(|(_, v)| v.values().map(|f| sum(f)).max().unwrap_or(0))
            .sum::<u64>();
        // Prefixes and networks nest, so one request can select the lists of a whole path.
        let prefix = self
            .prefix
            .iter()
            .map(|(_, trie)| Self::worst_path(trie, 0, &sum))
            .sum::<u64>();
        let ipv4 = costliest_chain(
            self.ipv4
                .iter()
                .map(|(net, rules)| (IpNet::V4(net), sum(rules))),
        );
        let ipv6 = costliest_chain(
            self.ipv6
                .iter()
                .map(|(net, rules)| (IpNet::V6(net), sum(rules))),
        );
        let sets = self.sets.iter().map(|(_, rules)| sum(rules)).sum::<u64>();
        sum(&self.unindexed) + equal + prefix + ipv4.max(ipv6) + sets
    }

    /// Returns the cost of the most expensive path from the root of a trie.
    fn worst_path(trie: &Trie, root: usize, sum: &impl Fn(&[u32]) -> u64) -> u64 {
        // The depth is bounded only by the longest prefix, so an explicit stack is used instead of
        // recursion.
        let (mut most, mut open) = (0, vec![(root, 0)]);
        while let Some((at, above)) = open.pop() {
            let here = above + sum(&trie.nodes[at].rules);
            most = most.max(here);
            open.extend(
                trie.nodes[at]
                    .children
                    .iter()
                    .map(|child| (*child as usize, here)),
            );
        }
        most
    }

    /// Returns the approximate memory of the index, in bytes.
    pub fn bytes(&self) -> usize {
        let list_bytes = |f: &RuleList| 4 * f.capacity() + 16;
        let values = |m: &HashMap<Box<str>, RuleList>| -> usize {
            m.capacity() * (size_of::<(Box<str>, RuleList)>() + 1)
                + m.iter()
                    .map(|(k, f)| k.len() + 16 + list_bytes(f))
                    .sum::<usize>()
        };
        let equal: usize = self.equal.iter().map(|(_, m)| values(m)).sum();
        let prefix: usize = self.prefix.iter().map(|(_, t)| t.bytes()).sum();
        let nets = self.ipv4.len() * NETWORK_BYTES_V4 + self.ipv6.len() * NETWORK_BYTES_V6;
        let sets: usize = self.sets.iter().map(|(_, f)| list_bytes(f) + 40).sum();
        equal + prefix + nets + sets + list_bytes(&self.unindexed) + self.kinds.len()
    }
}

/// Returns the cost of the most expensive chain of nested networks. The networks come in the order
/// of the trie, so each follows the networks that contain it.
fn costliest_chain(networks: impl Iterator<Item = (IpNet, u64)>) -> u64 {
    let (mut most, mut open): (u64, Vec<(IpNet, u64)>) = (0, Vec::new());
    for (net, cost) in networks {
        while open.pop_if(|(above, _)| !above.contains(&net)).is_some() {}
        let here = open.last().map_or(0, |(_, sum)| *sum) + cost;
        most = most.max(here);
        open.push((net, here));
    }
    most
}
