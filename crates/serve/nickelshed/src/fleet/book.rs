//! By which address this member reaches which other one. On the platform each sender has a list of addresses of its own for
//! the same senders, in the same order; members speak of one another by the place in that order, written as an address.
use std::net::SocketAddr;

/// Members' addresses as they are, or as the platform leads them.
pub enum Book {
    /// Everybody reaches a member at the same address.
    Plain,
    /// By place.
    Led(Vec<SocketAddr>),
}

impl Book {
    /// The address that stands for a place; nobody ever sends to it. Places past the last port have none.
    pub fn place(number: usize) -> Option<SocketAddr> {
        let port = u16::try_from(number).ok()?.checked_add(1)?;
        Some(SocketAddr::from(([0, 0, 0, 0], port)))
    }

    /// Where a datagram for a member goes; nowhere if it is at no place of the list.
    pub fn to(&self, member: SocketAddr) -> Option<SocketAddr> {
        match self {
            Book::Plain => Some(member),
            Book::Led(led) if member.ip().is_unspecified() => {
                led.get(usize::from(member.port()).checked_sub(1)?).copied()
            }
            Book::Led(_) => None,
        }
    }

    /// Whose a datagram is that came from there; nobody's if the list does not have it.
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
