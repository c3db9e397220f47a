//! Parses the form of URL that notices can be posted to: plain HTTP, an IP address and a port.
use std::net::SocketAddr;

/// A URL that notices can be posted to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    pub address: SocketAddr,
    /// Starts with a slash; may include a query.
    pub path: String,
}

/// Parses a URL. A missing path becomes `/`.
///
/// # Errors
/// A description of the mistake that continues a sentence whose subject is the URL.
pub fn parse(text: &str) -> Result<Url, String> {
    let rest = text.strip_prefix("http://").ok_or("does not start with `http://`")?;
    let (address, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let address = address
        .parse()
        .map_err(|_| format!("has `{address}` where an IP address and a port are expected"))?;
    let path = if path.is_empty() { "/" } else { path };
    if let Some(invalid) = path.chars().find(|c| !c.is_ascii_graphic() || matches!(c, '#' | '"' | '<' | '>'))
    {
        return Err(format!("has {invalid:?} in its path"));
    }
    Ok(Url { address, path: path.to_string() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accepts_only_plain_http_to_an_address() {
        let url = parse("http://127.0.0.1:7500/reports?x=1").unwrap();
        assert_eq!((url.address, url.path.as_str()), (([127, 0, 0, 1], 7500).into(), "/reports?x=1"));
        assert_eq!(parse("http://[::1]:80").unwrap().path, "/");
        for invalid in [
            "",
            "127.0.0.1:80",
            "https://127.0.0.1:80/",
            "http://host:80/",
            "http://127.0.0.1/",
            "http://127.0.0.1:80/a b",
        ] {
            assert!(parse(invalid).is_err(), "{invalid}");
        }
    }
}
