//! Sets of IP addresses, kept as merged ranges; a membership test is a binary search.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Largest number of networks of a set that the rule index stores one by one. The index searches a
/// larger set as a whole, because storing each network would take far more memory than the set.
pub const INDEXED_NETWORKS_MAX: usize = 64;

/// A set of IP addresses. IPv4 and IPv6 ranges are kept separately; an IPv4-mapped IPv6 address is
/// treated as its IPv4 address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressSet {
    ipv4: Vec<(u32, u32)>,
    ipv6: Vec<(u128, u128)>,
    networks: Vec<IpNet>,
}

/// Parses a network in CIDR notation, or a single address as a network that contains only this
/// address. Host bits are cleared. Returns `None` if the text is neither.
pub fn network(text: &str) -> Option<IpNet> {
    let net = text
        .parse()
        .ok()
        .or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))?;
    Some(net.trunc())
}

/// Returns the address as rules see it: an IPv4-mapped IPv6 address becomes an IPv4 address.
pub fn plain(address: IpAddr) -> IpAddr {
    address.to_canonical()
}

impl AddressSet {
    /// Creates the set of all addresses in the networks. Adjacent and nested networks are merged.
    pub fn new(networks: impl IntoIterator<Item = IpNet>) -> AddressSet {
        let (mut ipv4, mut ipv6) = (Vec::new(), Vec::new());
        for net in networks {
            match net {
                IpNet::V4(net) => ipv4.push(net),
                IpNet::V6(net) => ipv6.push(net),
            }
        }
        let (ipv4, ipv6) = (Ipv4Net::aggregate(&ipv4), Ipv6Net::aggregate(&ipv6));
        let is_small = ipv4.len() + ipv6.len() <= INDEXED_NETWORKS_MAX;
        let mut set = AddressSet {
            ipv4: ipv4
                .iter()
                .map(|n| (n.network().to_bits(), n.broadcast().to_bits()))
                .collect(),
            ipv6: ipv6
                .iter()
                .map(|n| (n.network().to_bits(), n.broadcast().to_bits()))
                .collect(),
            networks: Vec::new(),
        };
        if is_small {
            set.networks = ipv4
                .into_iter()
                .map(IpNet::V4)
                .chain(ipv6.into_iter().map(IpNet::V6))
                .collect();
        }
        set.ipv4.sort_unstable();
        set.ipv6.sort_unstable();
        set
    }

    /// Returns whether the address is in the set.
    pub fn contains(&self, address: IpAddr) -> bool {
        match plain(address) {
            IpAddr::V4(a) => within(&self.ipv4, Ipv4Addr::to_bits(a)),
            IpAddr::V6(a) => within(&self.ipv6, Ipv6Addr::to_bits(a)),
        }
    }

    /// Returns the merged networks if there are at most [`INDEXED_NETWORKS_MAX`] of them, and an
    /// empty slice otherwise.
    pub fn networks(&self) -> &[IpNet] {
        &self.networks
    }

    /// Returns the number of merged ranges.
    pub fn len(&self) -> usize {
        self.ipv4.len() + self.ipv6.len()
    }

    /// Returns whether the set contains no address.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the heap memory of the set, in bytes.
    pub fn bytes(&self) -> usize {
        self.ipv4.capacity() * 8
            + self.ipv6.capacity() * 32
            + self.networks.capacity() * size_of::<IpNet>()
    }
}

fn within<T: Ord + Copy>(ranges: &[(T, T)], address: T) -> bool {
    let after = ranges.partition_point(|&(first, _)| first <= address);
    after > 0 && ranges[after - 1].1 >= address
}

#[cfg(test)]
mod tests;
