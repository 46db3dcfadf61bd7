//! Text forms of durations and points in time, and the parts of a point in time, all in UTC.

/// Nanoseconds in a second.
const SECOND: i128 = 1_000_000_000;
/// Units of durations, in nanoseconds.
const UNITS: [(&str, f64); 6] = [
    ("ns", 1.0),
    ("us", 1e3),
    ("ms", 1e6),
    ("s", 1e9),
    ("m", 60e9),
    ("h", 3600e9),
];

/// Parses a duration such as `250ms`, `1h30m` or `-1.5s` to nanoseconds. Returns `None` if the text
/// is not a duration or does not fit in 64 bits.
pub fn span(text: &str) -> Option<i64> {
    let (negative, mut rest) = text
        .strip_prefix('-')
        .map_or((false, text), |rest| (true, rest));
    if rest == "0" {
        return Some(0);
    }
    let mut total = 0f64;
    if rest.is_empty() {
        return None;
    }
    while !rest.is_empty() {
        let digits = rest.find(|c: char| !c.is_ascii_digit() && c != '.')?;
        let number: f64 = rest[..digits].parse().ok()?;
        rest = &rest[digits..];
        let unit = rest
            .find(|c: char| !c.is_ascii_alphabetic())
            .unwrap_or(rest.len());
        let (_, factor) = UNITS.iter().find(|(name, _)| *name == &rest[..unit])?;
        total += number * factor;
        rest = &rest[unit..];
    }
    let total = if negative { -total } else { total };
    (total.abs() < 9.2e18).then_some(total.round() as i64)
}

/// Prints a duration in seconds, as CEL does, such as `1.5s`.
pub fn print_span(nanos: i64) -> String {
    let (whole, part) = (
        nanos.unsigned_abs() / 1_000_000_000,
        nanos.unsigned_abs() % 1_000_000_000,
    );
    let sign = if nanos < 0 { "-" } else { "" };
    let part = format!(".{part:09}");
    format!(
        "{sign}{whole}{}s",
        part.trim_end_matches('0').trim_end_matches('.')
    )
}

/// Returns the number of days from the Unix epoch to a date in the Gregorian calendar.
fn days_from_date(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let of_era = year.rem_euclid(400);
    let of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468
}

/// Returns the year, month and day of a number of days since the Unix epoch. Month and day count
/// from 1.
fn date_from_days(days: i64) -> (i64, i64, i64) {
    let z = days + 719_468;
    let era = z.div_euclid(146_097);
    let of_era = z.rem_euclid(146_097);
    let year = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let mp = (5 * of_year + 2) / 153;
    let month = if mp < 10 { mp + 3 } else { mp - 9 };
    (
        year + era * 400 + i64::from(month <= 2),
        month,
        of_year - (153 * mp + 2) / 5 + 1,
    )
}

/// Parses a time in RFC 3339 format to nanoseconds since the Unix epoch. Returns `None` if the text
/// is not such a time. CEL allows the years 1 to 9999; a time that does not fit in 64 bits of
/// nanoseconds is refused as well.
pub fn time(text: &str) -> Option<i64> {
    let number = |from: usize, to: usize| -> Option<i64> {
        let digits = text.get(from..to)?;
        digits
            .bytes()
            .all(|b| b.is_ascii_digit())
            .then(|| digits.parse().ok())?
    };
    let has_separator = |at: usize, c: &str| {
        text.get(at..at + 1)
            .is_some_and(|t| t.eq_ignore_ascii_case(c))
    };
    if !(has_separator(4, "-")
        && has_separator(7, "-")
        && has_separator(10, "T")
        && has_separator(13, ":")
        && has_separator(16, ":"))
    {
        return None;
    }
    let (year, month, day) = (number(0, 4)?, number(5, 7)?, number(8, 10)?);
    let (hour, minute, second) = (number(11, 13)?, number(14, 16)?, number(17, 19)?);
    let at = days_from_date(year, month, day);
    if !(1..=12).contains(&month)
        || date_from_days(at) != (year, month, day)
        || hour > 23
        || minute > 59
        || second > 59
    {
        return None;
    }
    let mut rest = text.get(19..)?;
    let mut nanos = 0i128;
    if let Some(part) = rest.strip_prefix('.') {
        let digits = part.find(|c: char| !c.is_ascii_digit())?;
        if digits == 0 || digits > 9 {
            return None;
        }
        nanos = format!("{:0<9}", &part[..digits]).parse().ok()?;
        rest = &part[digits..];
    }
    let offset = match rest.as_bytes() {
        [b'Z' | b'z'] => 0,
        [sign @ (b'+' | b'-'), h1, h0, b':', m1, m0]
            if [h1, h0, m1, m0].iter().all(|b| b.is_ascii_digit()) =>
        {
            let two = |a: &u8, b: &u8| i64::from(a - b'0') * 10 + i64::from(b - b'0');
            let (hours, minutes) = (two(h1, h0), two(m1, m0));
            if hours > 23 || minutes > 59 {
                return None;
            }
            (hours * 60 + minutes) * if *sign == b'+' { 60 } else { -60 }
        }
        _ => return None,
    };
    let seconds = at * 86_400 + hour * 3600 + minute * 60 + second - offset;
    i64::try_from(i128::from(seconds) * SECOND + nanos).ok()
}

/// Prints a time in RFC 3339 format, in UTC.
pub fn print_time(nanos: i64) -> String {
    let seconds = nanos.div_euclid(1_000_000_000);
    let (year, month, day) = date_from_days(seconds.div_euclid(86_400));
    let s = seconds.rem_euclid(86_400);
    let part = format!(".{:09}", nanos.rem_euclid(1_000_000_000));
    let part = part.trim_end_matches('0').trim_end_matches('.');
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}{part}Z",
        s / 3600,
        s / 60 % 60,
        s % 60
    )
}

/// A part of a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The year.
    Year,
    /// The month, from 0 as in CEL.
    Month,
    /// The day of the month, from 1.
    Date,
    /// The day of the week, from 0 for Sunday.
    WeekDay,
    /// Hours, from 0 to 23.
    Hours,
    /// Minutes, from 0 to 59.
    Minutes,
    /// Seconds, from 0 to 59.
    Seconds,
}

/// Returns a part of a time given in nanoseconds since the Unix epoch.
pub fn part(nanos: i64, part: Part) -> i64 {
    let seconds = nanos.div_euclid(1_000_000_000);
    let day = seconds.div_euclid(86_400);
    match part {
        Part::Year => date_from_days(day).0,
        Part::Month => date_from_days(day).1 - 1,
        Part::Date => date_from_days(day).2,
        Part::WeekDay => (day + 4).rem_euclid(7),
        Part::Hours => seconds.rem_euclid(86_400) / 3600,
        Part::Minutes => seconds.rem_euclid(3600) / 60,
        Part::Seconds => seconds.rem_euclid(60),
    }
}

#[cfg(test)]
mod tests;
