//! Changes of the settings file while a host runs.

mod gatewayenv;

use gatewayenv::{
    Host,
    HostOptions,
    store_with_configuration, //
};

/// Guards against a host that keeps old settings because the file changed without
/// a signal to the process.
#[test]
fn settings_are_read_again_without_a_signal() {
    let store = store_with_configuration();
    let host = Host::start(&store, &HostOptions::default());

    host.replace_setting("cold_slack = 3", "cold_slack = 2");

    host.wait_log("settings reloaded");
}

/// Guards against a host that ends, or applies only a part of its settings,
/// because the file is invalid for some time.
#[test]
fn invalid_settings_leave_the_previous_ones_in_force() {
    let store = store_with_configuration();
    let host = Host::start(&store, &HostOptions::default());

    host.replace_setting("cold_slack = 3", "cold_slack = some");

    host.wait_log("settings were not reloaded");
    assert!(host.is_ready());
    assert!(!host.log().contains("settings reloaded"));
}
