//! What a running host does when its settings file changes.

mod gatewayenv;

use gatewayenv::{
    Host,
    HostOptions,
    store_with_configuration, //
};

/// Guards against a host that keeps old settings because their file changed
/// without a signal.
#[test]
fn settings_are_read_again_without_a_signal() {
    let store = store_with_configuration();
    let host = Host::start(&store, &HostOptions::default());

    host.replace_setting("cold_slack = 3", "cold_slack = 2");

    host.wait_log("settings reloaded");
}

/// Guards against a host that ends, or takes over half of its settings, because
/// their file is wrong for a while.
#[test]
fn wrong_settings_leave_the_earlier_ones_in_force() {
    let store = store_with_configuration();
    let host = Host::start(&store, &HostOptions::default());

    host.replace_setting("cold_slack = 3", "cold_slack = some");

    host.wait_log("settings were not reloaded");
    assert!(host.is_ready());
    assert!(!host.log().contains("settings reloaded"));
}
