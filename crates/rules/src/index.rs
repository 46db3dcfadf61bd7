//! Which rules may match a request, without evaluating each. Every rule whose condition is, or
//! joins by `&&`, an equality, a prefix or a set of addresses is filed under it; only those filed
//! under what a request brings, and those filed nowhere, are evaluated, in the order of the file. A
//! rule left out would not have matched: the part under which it is filed is false or errs, and
//! with it the whole.

mod trie;

use crate::address::{self, AddressSet, NETWORKS_FILED};
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

/// Sets of many networks are looked up as a whole, and at most this many such sets.
const SETS_ASKED: usize = 8;
/// About the bytes of a trie node for an IPv4 network, with its list.
const NETWORK_BYTES_V4: usize = 60;
/// The same for an IPv6 network.
const NETWORK_BYTES_V6: usize = 90;
/// The most values of one `in` list under which a rule is filed.
const VALUES_FILED: usize = 256;

/// A text of a request that rules compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Field {
    /// A fact.
    Fact(Name),
    /// A parameter.
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

/// What a rule is filed under.
#[derive(Clone, Debug, PartialEq)]
pub enum IndexKey {
    /// A field has one of these values.
    Equal(Field, Vec<Box<str>>),
    /// A field begins so.
    Prefix(Field, Box<str>),
    /// The caller's address is in this set.
    Within(Arc<AddressSet>),
    /// Nothing: it is always evaluated.
    Nothing,
}

/// All that a condition could be filed under.
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
        Node::InTexts(of, set) if set.len() <= VALUES_FILED => {
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

/// Rules by what they are filed under.
#[derive(Debug, Default)]
pub struct Index {
    equal: Vec<(Field, HashMap<Box<str>, RuleList>)>,
    prefix: Vec<(Field, Trie)>,
    ipv4: PrefixMap<Ipv4Net, RuleList>,
    ipv6: PrefixMap<Ipv6Net, RuleList>,
    sets: Vec<(Arc<AddressSet>, RuleList)>,
    rest: RuleList,
    /// What each rule is filed under, by a number of its kind; for explanations.
    kinds: Vec<u8>,
}

const KINDS: [&str; 5] = [
    "equality",
    "prefix",
    "network",
    "set of addresses",
    "nothing",
];

impl Index {
    /// Files conditions, in their order.
    pub fn new<'n>(conditions: impl Iterator<Item = &'n Node>) -> Index {
        let found: Vec<Vec<IndexKey>> = conditions
            .map(|node| {
                let mut found = Vec::new();
                index_keys(node, &mut found);
                found
            })
            .collect();
        // A rule goes where the fewest others could: under the value, prefix or set that the fewest
        // rules name.
        let mut named: BTreeMap<(Field, &str, bool), usize> = BTreeMap::new();
        for key in found.iter().flatten() {
            match key {
                IndexKey::Equal(field, values) => {
                    values
                        .iter()
                        .for_each(|v| *named.entry((*field, v, false)).or_default() += 1);
                }
                IndexKey::Prefix(field, prefix) => {
                    *named.entry((*field, prefix, true)).or_default() += 1
                }
                IndexKey::Within(_) | IndexKey::Nothing => {}
            }
        }
        let sharing = |key: &IndexKey| match key {
            IndexKey::Equal(field, values) => (
                values
                    .iter()
                    .map(|v| named[&(*field, &**v, false)])
                    .max()
                    .unwrap_or(0),
                values.len(),
            ),
            IndexKey::Prefix(field, prefix) => {
                (named[&(*field, &**prefix, true)] + 1, 4 * prefix.len())
            }
            IndexKey::Within(set) => (2, set.len()),
            IndexKey::Nothing => (usize::MAX, 0),
        };
        let chosen: Vec<IndexKey> = found
            .iter()
            .map(|all| {
                all.iter()
                    .min_by_key(|a| sharing(a))
                    .cloned()
                    .unwrap_or(IndexKey::Nothing)
            })
            .collect();
        let mut index = Index::default();
        for (rule, key) in chosen.into_iter().enumerate() {
            index.file(rule as u32, key);
        }
        index
    }

    fn file(&mut self, rule: u32, key: IndexKey) {
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
            IndexKey::Within(set) => self.file_set(rule, set),
            IndexKey::Nothing => {
                self.rest.push(rule);
                4
            }
        };
        self.kinds.push(kind);
    }

    fn file_set(&mut self, rule: u32, set: Arc<AddressSet>) -> u8 {
        if let Some((_, filed)) = self
            .sets
            .iter_mut()
            .find(|(known, _)| Arc::ptr_eq(known, &set))
        {
            filed.push(rule);
            return 3;
        }
        if set.len() > NETWORKS_FILED {
            if self.sets.len() < SETS_ASKED {
                self.sets.push((set, vec![rule]));
                return 3;
            }
            self.rest.push(rule);
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

    /// Lists of rules that may match; a rule may be in two lists if networks of its set overlap.
    fn lists<'i>(&'i self, facts: &Facts<'_>) -> SmallVec<[&'i [u32]; 16]> {
        let mut lists: SmallVec<[&[u32]; 16]> = SmallVec::new();
        if !self.rest.is_empty() {
            lists.push(&self.rest);
        }
        for (field, values) in &self.equal {
            if let Some(filed) = field.value(facts).and_then(|value| values.get(value)) {
                lists.push(filed);
            }
        }
        for (field, trie) in &self.prefix {
            if let Some(value) = field.value(facts) {
                trie.visit(value.as_bytes(), |filed| lists.push(filed));
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
            lists.extend(sets.map(|(_, filed)| filed.as_slice()));
        }
        lists
    }

    /// The rules that may match, in the order of the file.
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

    /// The kind of what a rule is filed under.
    pub fn kind(&self, rule: usize) -> &'static str {
        self.kinds
            .get(rule)
            .map_or("nothing", |kind| KINDS[usize::from(*kind)])
    }

    /// The most that the rules evaluated for one request may cost, given the cost of each: the sum
    /// over all rules filed nowhere and the dearest list of each other kind.
    pub fn max_cost(&self, cost: impl Fn(u32) -> u64) -> u64 {
        let sum = |list: &[u32]| list.iter().map(|rule| cost(*rule)).sum::<u64>();
        let equal = self
            .equal
            .iter()
            .map(|(_, v)| v.values().map(|f| sum(f)).max().unwrap_or(0))
            .sum::<u64>();
        // Prefixes and networks nest, so that the lists of a whole path come together.
        let prefix = self
            .prefix
            .iter()
            .map(|(_, trie)| Self::worst_path(trie, 0, &sum))
            .sum::<u64>();
        let ipv4 = nested(
            self.ipv4
                .iter()
                .map(|(net, filed)| (IpNet::V4(net), sum(filed))),
        );
        let ipv6 = nested(
            self.ipv6
                .iter()
                .map(|(net, filed)| (IpNet::V6(net), sum(filed))),
        );
        let sets = self.sets.iter().map(|(_, filed)| sum(filed)).sum::<u64>();
        sum(&self.rest) + equal + prefix + ipv4.max(ipv6) + sets
    }

    fn worst_path(trie: &Trie, root: usize, sum: &impl Fn(&[u32]) -> u64) -> u64 {
        // Depth is bounded by the longest prefix, so that a stack of its own is used and no
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

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        let filed = |f: &RuleList| 4 * f.capacity() + 16;
        let values = |m: &HashMap<Box<str>, RuleList>| -> usize {
            m.capacity() * (size_of::<(Box<str>, RuleList)>() + 1)
                + m.iter()
                    .map(|(k, f)| k.len() + 16 + filed(f))
                    .sum::<usize>()
        };
        let equal: usize = self.equal.iter().map(|(_, m)| values(m)).sum();
        let prefix: usize = self.prefix.iter().map(|(_, t)| t.bytes()).sum();
        let nets = self.ipv4.len() * NETWORK_BYTES_V4 + self.ipv6.len() * NETWORK_BYTES_V6;
        let sets: usize = self.sets.iter().map(|(_, f)| filed(f) + 40).sum();
        equal + prefix + nets + sets + filed(&self.rest) + self.kinds.len()
    }
}

/// The dearest chain of networks that lie in each other, of networks in the order of the trie.
fn nested(networks: impl Iterator<Item = (IpNet, u64)>) -> u64 {
    let (mut most, mut open): (u64, Vec<(IpNet, u64)>) = (0, Vec::new());
    for (net, cost) in networks {
        while open.pop_if(|(above, _)| !above.contains(&net)).is_some() {}
        let here = open.last().map_or(0, |(_, sum)| *sum) + cost;
        most = most.max(here);
        open.push((net, here));
    }
    most
}
