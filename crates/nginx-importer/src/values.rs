//! Parsers for values in directives: durations, addresses and percentages.

use std::net::IpAddr;

/// Parses an nginx duration such as `90`, `1m30s` or `500ms`, in seconds.
pub fn parse_seconds(text: &str) -> Option<f64> {
    const UNITS: [(&str, f64); 8] = [
        ("ms", 0.001),
        ("s", 1.0),
        ("m", 60.0),
        ("h", 3600.0),
        ("d", 86_400.0),
        ("w", 604_800.0),
        ("M", 2_592_000.0),
        ("y", 31_536_000.0),
    ];
    let (mut rest, mut total, mut has_value) = (text.trim(), 0.0, false);
    while !rest.is_empty() {
        let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
        if digits == 0 || digits > 12 {
            return None;
        }
        let number: f64 = rest[..digits].parse().ok()?;
        rest = &rest[digits..];
        let unit = rest.bytes().take_while(u8::is_ascii_alphabetic).count();
        let scale = match &rest[..unit] {
            "" if rest.is_empty() => 1.0,
            unit => UNITS.iter().find(|(name, _)| *name == unit)?.1,
        };
        rest = rest[unit..].trim_start();
        (total, has_value) = (total + number * scale, true);
    }
    has_value.then_some(total)
}

/// The target of a `server` or `proxy_pass` directive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// An address, `host:port`.
    Address(String),
    /// A host name that has to be resolved, `host:port`.
    Name(String),
    /// The path of a Unix domain socket.
    Unix(String),
}

/// Parses an address with an optional port.
pub fn parse_target(text: &str, default_port: u16) -> Option<Target> {
    if let Some(path) = text.strip_prefix("unix:") {
        return (!path.is_empty()).then(|| Target::Unix(path.to_string()));
    }
    let (host, port) = match text.rfind(':') {
        Some(at) if !text.ends_with(']') => (&text[..at], text[at + 1..].parse::<u16>().ok()?),
        _ => (text, default_port),
    };
    let address = match host.strip_prefix('[').and_then(|host| host.strip_suffix(']')) {
        Some(ipv6) => ipv6.parse::<std::net::Ipv6Addr>().is_ok().then_some(true)?,
        None => host.parse::<IpAddr>().is_ok(),
    };
    let name = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    if port == 0 || host.is_empty() || !address && !host.bytes().all(name) {
        return None;
    }
    let text = format!("{host}:{port}");
    Some(if address { Target::Address(text) } else { Target::Name(text) })
}

/// Parses a percentage such as `12.5%` as a fraction.
pub fn parse_percentage(text: &str) -> Option<f64> {
    let number: f64 = text.strip_suffix('%')?.parse().ok()?;
    (0.0..=100.0).contains(&number).then_some(number / 100.0)
}

/// Reduces a text to lower-case letters, digits and `-`, for names of classes and fleets.
pub fn slugify(text: &str) -> String {
    let mut name = String::new();
    for byte in text.bytes() {
        match byte {
            byte if byte.is_ascii_alphanumeric() => name.push(char::from(byte.to_ascii_lowercase())),
            _ if name.ends_with('-') || name.is_empty() => {}
            _ => name.push('-'),
        }
    }
    name.truncate(48);
    name.trim_end_matches('-').to_string()
}

#[cfg(test)]
mod tests;
