//! Checks that parse and validate single values.

use std::{net::IpAddr, ops::RangeInclusive, path::PathBuf, time::Duration};

use wire::HostId;

use crate::reader::Checked;

/// The longest allowed name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 100;

/// The highest host number: request ids have 12 bits for it.
const MAX_HOST: HostId = 4095;

/// The units of durations with their length in milliseconds, longest suffix first.
const UNITS: [(&str, u64); 5] =
    [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];

/// Checks the name of a service, call, model, adapter, version or failure domain.
pub(crate) fn name(text: &str) -> Checked<String> {
    let valid = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || "._-".contains(it);
    let first = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit();
    if !text.starts_with(first) || text.len() > MAX_NAME_BYTES || !text.chars().all(valid) {
        return Err(format!(
            "`{}` is no name; allowed: 1 to {MAX_NAME_BYTES} of a-z, 0-9, `.`, `_` and `-`, from a letter or digit on",
            text.escape_debug()
        ));
    }
    Ok(text.to_owned())
}

/// Returns a check for an integer within a range.
pub(crate) fn integer(allowed: RangeInclusive<u64>) -> impl Fn(&str) -> Checked<u64> {
    move |text| match text.parse() {
        Ok(number) if allowed.contains(&number) => Ok(number),
        _ => Err(format!(
            "`{text}` is not allowed; allowed: a whole number from {} to {}",
            allowed.start(),
            allowed.end()
        )),
    }
}

/// Returns a check for a count within a range.
pub(crate) fn count(allowed: RangeInclusive<u64>) -> impl Fn(&str) -> Checked<usize> {
    let check = integer(allowed);
    move |text| check(text).map(|it| it as usize)
}

/// Returns a check for a decimal number within a range.
pub(crate) fn decimal(allowed: RangeInclusive<f64>) -> impl Fn(&str) -> Checked<f64> {
    move |text| match text.parse() {
        Ok(number) if allowed.contains(&number) => Ok(number),
        _ => Err(format!(
            "`{text}` is not allowed; allowed: a number from {} to {}",
            allowed.start(),
            allowed.end()
        )),
    }
}

/// Checks a port number, from 1.
pub(crate) fn port(text: &str) -> Checked<u16> {
    integer(1..=u64::from(u16::MAX))(text).map(|it| it as u16)
}

/// Checks a host number, from 1 to [`MAX_HOST`].
pub(crate) fn host(text: &str) -> Checked<HostId> {
    integer(1..=u64::from(MAX_HOST))(text).map(|it| it as HostId)
}

/// Checks the IP address of a host: neither unspecified nor multicast.
pub(crate) fn ip(text: &str) -> Checked<IpAddr> {
    match text.parse::<IpAddr>() {
        Ok(ip) if !ip.is_unspecified() && !ip.is_multicast() => Ok(ip),
        _ => Err(format!(
            "`{text}` is not allowed; allowed: the IP address of one host, such as 10.0.0.1"
        )),
    }
}

/// Returns a check for a duration with its unit, within a range.
pub(crate) fn duration(allowed: RangeInclusive<Duration>) -> impl Fn(&str) -> Checked<Duration> {
    move |text| match parse_duration(text) {
        Some(duration) if allowed.contains(&duration) => Ok(duration),
        _ => Err(format!(
            "`{text}` is not allowed; allowed: a whole number with unit ms, s, m, h or d, from {:?} to {:?}",
            allowed.start(),
            allowed.end()
        )),
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    for (unit, millis) in UNITS {
        let Some(number) = text.strip_suffix(unit) else {
            continue;
        };
        let Ok(number) = number.trim_end().parse::<u64>() else {
            continue;
        };
        return number.checked_mul(millis).map(Duration::from_millis);
    }
    None
}

/// Checks a path in the file system; it need not exist.
pub(crate) fn file(text: &str) -> Checked<PathBuf> {
    if text.is_empty() {
        return Err("the value is empty; allowed: a path".to_owned());
    }
    Ok(PathBuf::from(text))
}

/// Checks the path of an HTTP request.
pub(crate) fn path(text: &str) -> Checked<String> {
    let valid = |it: char| it.is_ascii_graphic() && !"?#\\".contains(it);
    if !text.starts_with('/') || text.starts_with("//") || !text.chars().all(valid) {
        return Err(format!(
            "`{text}` is not allowed; allowed: a path from `/` on, without spaces, `?` and `#`"
        ));
    }
    Ok(text.to_owned())
}

/// Returns a check that maps one of the listed words to its value.
pub(crate) fn choice<T: Copy>(words: &[(&str, T)]) -> impl Fn(&str) -> Checked<T> {
    move |text| {
        for (word, value) in words {
            if *word == text {
                return Ok(*value);
            }
        }
        let allowed: Vec<_> = words.iter().map(|it| it.0).collect();
        Err(format!("`{text}` is not allowed; allowed: {}", allowed.join(", ")))
    }
}

/// Checks a list of distinct items that are separated by commas.
pub(crate) fn list<T: PartialEq>(
    text: &str,
    check: impl Fn(&str) -> Checked<T>,
) -> Checked<Vec<T>> {
    let mut items = Vec::new();
    for part in text.split(',') {
        let item = check(part.trim())?;
        if items.contains(&item) {
            return Err(format!("`{}` stands twice; allowed: once", part.trim()));
        }
        items.push(item);
    }
    Ok(items)
}
