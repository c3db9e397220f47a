//! Maps between members and the addresses at which this process reaches them. On the platform, each sender
//! has its own list of addresses for the same senders in the same order. Members therefore refer to one
//! another by the index in that list, encoded as a placeholder address.
use std::net::SocketAddr;

/// How this process reaches the other members.
pub enum Book {
    /// All processes reach a member at the same address.
    Plain,
    /// This process's own addresses of the members, by index.
    Led(Vec<SocketAddr>),
}

impl Book {
    /// The placeholder address for an index; no datagram is sent to it. None if the index does not fit into a
    /// port number.
    pub fn place(number: usize) -> Option<SocketAddr> {
        let port = u16::try_from(number).ok()?.checked_add(1)?;
        Some(SocketAddr::from(([0, 0, 0, 0], port)))
    }

    /// The address to which datagrams for a member are sent; None if the list has no such index.
    pub fn to(&self, member: SocketAddr) -> Option<SocketAddr> {
        match self {
            Book::Plain => Some(member),
            Book::Led(led) if member.ip().is_unspecified() => {
                led.get(usize::from(member.port()).checked_sub(1)?).copied()
            }
            Book::Led(_) => None,
        }
    }

    /// The member that sends from an address; None if the address is not in the list.
    pub fn from(&self, address: SocketAddr) -> Option<SocketAddr> {
        match self {
            Book::Plain => Some(address),
            Book::Led(led) => Book::place(led.iter().position(|at| *at == address)?),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn members_speak_of_places_and_each_reaches_them_by_its_own_list() {
        let at = |text: &str| text.parse::<SocketAddr>().unwrap();
        let one = Book::Led(vec![at("127.8.210.1:7946"), at("127.8.210.2:7946")]);
        let other = Book::Led(vec![at("127.9.210.1:7946"), at("127.9.210.2:7946")]);
        let second = one.from(at("127.8.210.2:7946")).unwrap();
        assert_eq!(other.to(second), Some(at("127.9.210.2:7946")));
        assert_eq!((one.from(at("127.9.210.2:7946")), one.to(at("127.0.0.1:2"))), (None, None));
        assert_eq!((one.to(Book::place(2).unwrap()), Book::place(65_535)), (None, None));
        assert_eq!(
            (one.to(at("0.0.0.0:0")), Book::Plain.to(at("127.0.0.1:2"))),
            (None, Some(at("127.0.0.1:2")))
        );
    }
}
