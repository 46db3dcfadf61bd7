//! Sets of addresses: merged ranges, of which a membership test takes a binary search.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Sets of more networks than this are looked into as a whole by the index: filing each network
/// would take far more memory than the set.
pub const NETWORKS_FILED: usize = 64;

/// A set of IP addresses. IPv4 and IPv6 are apart: an IPv4 address that is written as IPv6 is taken
/// for IPv4.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressSet {
    four: Vec<(u32, u32)>,
    six: Vec<(u128, u128)>,
    networks: Vec<IpNet>,
}

/// Reads one network, or one address as a network of itself alone.
pub fn network(text: &str) -> Option<IpNet> {
    let net = text
        .parse()
        .ok()
        .or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))?;
    Some(net.trunc())
}

/// The address as rules see it: IPv4 in IPv6 is IPv4.
pub fn plain(address: IpAddr) -> IpAddr {
    address.to_canonical()
}

impl AddressSet {
    /// The set of all addresses in these networks. Networks that lie in others are merged.
    pub fn new(networks: impl IntoIterator<Item = IpNet>) -> AddressSet {
        let (mut four, mut six) = (Vec::new(), Vec::new());
        for net in networks {
            match net {
                IpNet::V4(net) => four.push(net),
                IpNet::V6(net) => six.push(net),
            }
        }
        let (four, six) = (Ipv4Net::aggregate(&four), Ipv6Net::aggregate(&six));
        let few = four.len() + six.len() <= NETWORKS_FILED;
        let mut set = AddressSet {
            four: four
                .iter()
                .map(|n| (n.network().to_bits(), n.broadcast().to_bits()))
                .collect(),
            six: six
                .iter()
                .map(|n| (n.network().to_bits(), n.broadcast().to_bits()))
                .collect(),
            networks: Vec::new(),
        };
        if few {
            set.networks = four
                .into_iter()
                .map(IpNet::V4)
                .chain(six.into_iter().map(IpNet::V6))
                .collect();
        }
        set.four.sort_unstable();
        set.six.sort_unstable();
        set
    }

    /// Whether an address is in the set.
    pub fn contains(&self, address: IpAddr) -> bool {
        match plain(address) {
            IpAddr::V4(a) => within(&self.four, Ipv4Addr::to_bits(a)),
            IpAddr::V6(a) => within(&self.six, Ipv6Addr::to_bits(a)),
        }
    }

    /// The networks, merged, where they are few enough for the index to file each; else none.
    pub fn networks(&self) -> &[IpNet] {
        &self.networks
    }

    /// Ranges in it.
    pub fn len(&self) -> usize {
        self.four.len() + self.six.len()
    }

    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.four.capacity() * 8
            + self.six.capacity() * 32
            + self.networks.capacity() * size_of::<IpNet>()
    }
}

fn within<T: Ord + Copy>(ranges: &[(T, T)], address: T) -> bool {
    let after = ranges.partition_point(|&(first, _)| first <= address);
    after > 0 && ranges[after - 1].1 >= address
}

#[cfg(test)]
mod tests;
