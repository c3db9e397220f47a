use super::*;
use nickelshed_config::{compile, load};

/// A digest that changed with the names of fields would make members of two builds look differently
/// configured.
#[test]
fn the_digest_of_the_example_is_that_of_the_first_release() {
    let example = include_str!("../../../../../../deploy/sidecar.toml");
    let sidecar = load(example.as_bytes()).into_valid().expect("the example is valid");
    let (settings, _) = compile::settings(&sidecar);
    assert_eq!(settings_digest(&settings), 0x8edc_86a9);
}

#[test]
fn changed_setting_changes_the_digest() {
    let example = include_str!("../../../../../../deploy/sidecar.toml");
    let sidecar = load(example.as_bytes()).into_valid().expect("the example is valid");
    let (settings, _) = compile::settings(&sidecar);
    let digest = settings_digest(&settings);
    let mut changed = settings.clone();
    changed.classes[0].target += 1;
    assert_ne!(settings_digest(&changed), digest);
    let mut changed = settings;
    changed.overload_window += 1;
    assert_ne!(settings_digest(&changed), digest);
}
