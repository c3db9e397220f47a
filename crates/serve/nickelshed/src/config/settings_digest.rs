//! Digest of a sidecar's settings. Members of a fleet publish it, so that different settings are noticed.

#[cfg(test)]
mod tests;

use nickelshed_policy::api::{Class, Settings};
use std::fmt;

/// Returns the CRC-32 of a text form of the settings.
///
/// The text keeps the field names of the first release, although some fields are named differently now:
/// members of different builds that run with the same settings must show the same digest.
pub(super) fn settings_digest(settings: &Settings) -> u32 {
    crc32fast::hash(format!("{:?}", SettingsText(settings)).as_bytes())
}

struct SettingsText<'a>(&'a Settings);

impl fmt::Debug for SettingsText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let settings = self.0;
        f.debug_struct("Settings")
            .field("classes", &settings.classes.iter().map(ClassText).collect::<Vec<_>>())
            .field("kinds", &settings.kinds)
            .field("tenants", &settings.tenants)
            .field("over_share_worth", &settings.over_quota_value)
            .field("halves", &settings.exponential_decay)
            .field("n_instances", &settings.sender_count)
            .field("zone", &settings.zone)
            .field("tick", &settings.tick)
            .field("slots", &settings.slots)
            .field("max_open", &settings.max_open)
            .field("max_attempts", &settings.max_attempts)
            .field("max_retry_after", &settings.max_retry_after)
            .field("may_duplicate", &settings.may_duplicate)
            .field("may_probe", &settings.may_probe)
            .field("may_cancel", &settings.may_cancel)
            .field("streams_per_conn", &settings.streams_per_conn)
            .field("idle_close", &settings.idle_timeout)
            .field("dial_timeout", &settings.dial_timeout)
            .field("hints", &settings.rate_hints)
            .field("reports", &settings.limit_reports)
            .field("rough_hints", &settings.estimated_hints)
            .field("start_capacity", &settings.start_capacity)
            .field("cold", &settings.slow_start_duration)
            .field("fall_multiple", &settings.overload_multiple)
            .field("overload_for", &settings.overload_window)
            .field("key_rest", &settings.key_hold_off)
            .field("price_handshake", &settings.price_handshake)
            .field("price_cross_zone", &settings.price_cross_zone)
            .field("price_refused", &settings.price_refused)
            .field("price_waste", &settings.price_waste)
            .field("route_fee", &settings.route_fee)
            .finish()
    }
}

struct ClassText<'a>(&'a Class);

impl fmt::Debug for ClassText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = self.0;
        f.debug_struct("Class")
            .field("aim", &class.target)
            .field("aim_stretch", &class.target_stretch)
            .field("deadline", &class.deadline)
            .field("effect", &class.effect)
            .field("scope", &class.dedup_scope)
            .field("window", &class.dedup_window)
            .field("worth", &class.value)
            .field("late_worth", &class.late_value)
            .field("in_order", &class.in_order)
            .finish()
    }
}
