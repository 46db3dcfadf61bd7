//! Radix tree of the prefixes under which rules are indexed.

/// A trie over bytes in which an edge holds several bytes where there is no fork.
#[derive(Debug, Default)]
pub(super) struct Trie {
    pub(super) nodes: Vec<TrieNode>,
}

#[derive(Debug, Default)]
pub(super) struct TrieNode {
    label: Box<[u8]>,
    pub(super) children: Vec<u32>,
    pub(super) rules: Vec<u32>,
}

impl Trie {
    pub(super) fn new() -> Trie {
        Trie {
            nodes: vec![TrieNode::default()],
        }
    }

    pub(super) fn insert(&mut self, mut key: &[u8], rule: u32) {
        let mut at = 0usize;
        loop {
            if key.is_empty() {
                return self.nodes[at].rules.push(rule);
            }
            let first = |trie: &Trie, child: u32| trie.nodes[child as usize].label[0];
            let place = self.nodes[at]
                .children
                .binary_search_by_key(&key[0], |&child| first(self, child));
            let child = match place {
                Err(place) => {
                    let new = self.nodes.len() as u32;
                    self.nodes.push(TrieNode {
                        label: key.into(),
                        children: Vec::new(),
                        rules: vec![rule],
                    });
                    return self.nodes[at].children.insert(place, new);
                }
                Ok(place) => self.nodes[at].children[place] as usize,
            };
            let label = &self.nodes[child].label;
            let shared = label.iter().zip(key).take_while(|(a, b)| a == b).count();
            if shared < label.len() {
                // The edge forks: its lower part becomes a new node.
                let (upper, lower) = (label[..shared].into(), label[shared..].into());
                let new = self.nodes.len() as u32;
                let node = &mut self.nodes[child];
                let below = TrieNode {
                    label: lower,
                    children: std::mem::replace(&mut node.children, vec![new]),
                    rules: std::mem::take(&mut node.rules),
                };
                node.label = upper;
                self.nodes.push(below);
            }
            key = &key[shared..];
            at = child;
        }
    }

    /// Passes the list of rules of each stored prefix of `text` to `sink`, shortest prefix first.
    pub(super) fn visit<'t>(&'t self, mut text: &[u8], mut sink: impl FnMut(&'t [u32])) {
        let mut at = &self.nodes[0];
        loop {
            if !at.rules.is_empty() {
                sink(&at.rules);
            }
            let Some(first) = text.first() else { return };
            let label = |child: &u32| self.nodes[*child as usize].label[0];
            let Ok(place) = at.children.binary_search_by_key(first, label) else {
                return;
            };
            let child = &self.nodes[at.children[place] as usize];
            let Some(rest) = text.strip_prefix(&*child.label) else {
                return;
            };
            (text, at) = (rest, child);
        }
    }

    /// Returns the approximate memory of the trie, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let of = |n: &TrieNode| {
            n.label.len() + 16 + 4 * (n.children.capacity() + n.rules.capacity()) + 32
        };
        self.nodes.capacity() * size_of::<TrieNode>() + self.nodes.iter().map(of).sum::<usize>()
    }
}
