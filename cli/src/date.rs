//! Formats the times of audit entries.

const DAY_MS: u64 = 86_400_000;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;
/// Days in an era of 400 years, after which the Gregorian calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// Formats milliseconds since the epoch as a date and time in UTC, to the second.
pub(crate) fn utc(millis: u64) -> String {
    let (year, month, day) = date(millis / DAY_MS);
    let seconds = millis % DAY_MS / 1000;
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since the epoch to year, month and day. Counts in years that start in March, so
/// that a leap day is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let era = days / ERA_DAYS;
    let day = days % ERA_DAYS;
    let leap_days = day / 1460 + day / 146_096 - day / 36_524;
    let year = (day - leap_days) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (year, month) = if month < 10 { (year, month + 3) } else { (year + 1, month - 9) };
    (era * 400 + year, month, day)
}
