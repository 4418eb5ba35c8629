//! Converts the settings that the fronts need: zones, traffic classes and their routes.

use std::time::Duration;

use wrenthread_settings::{Group, PathRoute, Route, Settings};
use wrenthread_xds::{Path, TrafficClass, XdsConfig};

/// A setting in seconds as a duration; zero if it is not a valid one.
pub fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// The fronts' parameters from the settings, without the key for ownership proofs.
pub fn wire(settings: &Settings, epoch: u64) -> XdsConfig {
    XdsConfig {
        epoch,
        governor: settings.governor.clone(),
        key: None,
        zones: settings.zones.clone(),
        classes: settings.groups.iter().map(class).collect(),
        report_interval: seconds(settings.report_interval),
        load_metrics: settings.load_metrics.clone(),
        latency_metric: settings.answer_time_metric.clone(),
    }
}

fn class(class: &Group) -> TrafficClass {
    TrafficClass {
        name: class.name.clone(),
        route: route(&class.route),
        request_timeout: seconds(class.request_deadline),
    }
}

fn route(route: &Route) -> wrenthread_xds::Route {
    match route {
        Route::Prefix(prefix) => wrenthread_xds::Route::Prefix(prefix.clone()),
        Route::Header(name, value) => wrenthread_xds::Route::Header(name.clone(), value.clone()),
        Route::Paths(paths) => wrenthread_xds::Route::Paths(paths.iter().map(path).collect()),
    }
}

fn path(path: &PathRoute) -> Path {
    match path {
        PathRoute::Prefix(prefix) => Path::Prefix(prefix.clone()),
        PathRoute::Exact(path) => Path::Exact(path.clone()),
        PathRoute::PriorityPrefix(prefix) => Path::PriorityPrefix(prefix.clone()),
        PathRoute::Pattern(pattern) => Path::Pattern(pattern.clone(), false),
        PathRoute::CaseInsensitivePattern(pattern) => Path::Pattern(pattern.clone(), true),
    }
}
