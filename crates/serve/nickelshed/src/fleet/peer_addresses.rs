//! Maps between members and the addresses at which this process reaches them. On the platform, each sender
//! has its own list of addresses for the same senders in the same order. Members therefore refer to one
//! another by the index in that list, encoded as a placeholder address.
use std::net::SocketAddr;

/// How this process reaches the other members.
pub enum PeerAddresses {
    /// All processes reach a member at the same address.
    Direct,
    /// This process's own addresses of the members, by index.
    Mapped(Vec<SocketAddr>),
}

impl PeerAddresses {
    /// The placeholder address for an index; no datagram is sent to it. None if the index does not fit into a
    /// port number.
    pub fn placeholder(index: usize) -> Option<SocketAddr> {
        let port = u16::try_from(index).ok()?.checked_add(1)?;
        Some(SocketAddr::from(([0, 0, 0, 0], port)))
    }

    /// The address to which datagrams for a member are sent; None if the list has no such index.
    pub fn address_of(&self, member: SocketAddr) -> Option<SocketAddr> {
        match self {
            PeerAddresses::Direct => Some(member),
            PeerAddresses::Mapped(addresses) if member.ip().is_unspecified() => {
                addresses.get(usize::from(member.port()).checked_sub(1)?).copied()
            }
            PeerAddresses::Mapped(_) => None,
        }
    }

    /// The member that sends from an address; None if the address is not in the list.
    pub fn member_at(&self, address: SocketAddr) -> Option<SocketAddr> {
        match self {
            PeerAddresses::Direct => Some(address),
            PeerAddresses::Mapped(addresses) => {
                PeerAddresses::placeholder(addresses.iter().position(|at| *at == address)?)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn indices_are_shared_and_each_member_maps_them_to_its_own_addresses() {
        let at = |text: &str| text.parse::<SocketAddr>().unwrap();
        let one = PeerAddresses::Mapped(vec![at("127.8.210.1:7946"), at("127.8.210.2:7946")]);
        let other = PeerAddresses::Mapped(vec![at("127.9.210.1:7946"), at("127.9.210.2:7946")]);
        let second = one.member_at(at("127.8.210.2:7946")).unwrap();
        assert_eq!(other.address_of(second), Some(at("127.9.210.2:7946")));
        assert_eq!((one.member_at(at("127.9.210.2:7946")), one.address_of(at("127.0.0.1:2"))), (None, None));
        assert_eq!(
            (one.address_of(PeerAddresses::placeholder(2).unwrap()), PeerAddresses::placeholder(65_535)),
            (None, None)
        );
        assert_eq!(
            (one.address_of(at("0.0.0.0:0")), PeerAddresses::Direct.address_of(at("127.0.0.1:2"))),
            (None, Some(at("127.0.0.1:2")))
        );
    }
}
