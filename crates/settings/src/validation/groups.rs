//! Validation of traffic groups and their routes.

use serde_json::Value;

use super::Validator;
use super::fields::Fields;
use crate::error::Problem;
use crate::model::{Group, PathRoute, Route};
use crate::script::Call;

/// The engine stores sets of traffic classes as 64-bit masks.
const MAX_GROUPS: usize = 64;

impl Validator<'_> {
    pub(super) fn groups(&mut self, calls: &[Call]) -> Vec<Group> {
        let mut groups = Vec::new();
        for call in calls {
            groups.extend(self.group(call, &groups));
        }
        if !(1..=MAX_GROUPS).contains(&groups.len()) && self.is_clean() {
            self.report(0, Problem::GroupCount { count: groups.len() });
        }
        groups
    }

    /// Validates one group; `None` if it has errors.
    fn group(&mut self, call: &Call, others: &[Group]) -> Option<Group> {
        let errors_before = self.errors.len();
        let fields = self.fields("group", Some(call));
        let (name, line) = (&call.name, call.line);
        self.check_group_name(line, name, others);
        let (budget, expiry) = (fields.number("latency_budget"), fields.number("expiry"));
        if budget > expiry && expiry > 0.0 {
            self.report(line, Problem::BudgetBeyondExpiry { name: name.clone(), budget, expiry });
        }
        let effect = fields.text("effect").unwrap_or_default();
        let (deduped_by, deduped_for) = (fields.text("deduped_by"), fields.value("deduped_for"));
        if (effect == "deduped") != (deduped_by.is_some() && deduped_for.is_some()) {
            self.report(line, Problem::IncompleteDeduplication { name: name.clone() });
        }
        let route = self.route(line, name, &fields);
        self.check_route_is_unique(line, name, route.as_ref(), others);
        if self.errors.len() > errors_before {
            return None;
        }
        Some(Group {
            name: name.clone(),
            idempotency: effect,
            deduplication_scope: deduped_by,
            deduplication_window: deduped_for.and_then(Value::as_f64),
            latency_objective: budget,
            request_deadline: expiry,
            priority_weight: fields.number("utility"),
            same_zone_only: fields.boolean("own_zone"),
            route: route?,
        })
    }

    fn check_group_name(&mut self, line: usize, name: &str, others: &[Group]) {
        if name.is_empty() {
            self.report(line, Problem::UnnamedGroup);
        }
        if others.iter().any(|other| other.name == name) {
            self.report(line, Problem::RepeatedGroup { name: name.to_string() });
        }
    }

    /// The route of a group, which is given by exactly one of `prefix`, `header` and `paths`.
    fn route(&mut self, line: usize, name: &str, fields: &Fields) -> Option<Route> {
        let texts = fields.text_list("paths");
        let mut paths = Vec::new();
        for text in &texts {
            match PathRoute::parse(text) {
                Ok(path) => paths.push(path),
                Err(error) => self.report(line, error.into()),
            }
        }
        let route = match (fields.text("prefix"), fields.text("header")) {
            (None, None) if !texts.is_empty() => Some(Route::Paths(paths)),
            _ if !texts.is_empty() => None,
            (Some(prefix), None) if prefix.starts_with('/') => Some(Route::Prefix(prefix)),
            (None, Some(header)) => header_route(&header),
            _ => None,
        };
        if route.is_none() {
            self.report(line, Problem::InvalidRoute { name: name.to_string() });
        }
        route
    }

    fn check_route_is_unique(&mut self, line: usize, name: &str, route: Option<&Route>, others: &[Group]) {
        let Some(route) = route else { return };
        let paths = route.paths();
        let has_same_route = |other: &&Group| {
            other.route == *route || other.route.paths().iter().any(|path| paths.contains(path))
        };
        if let Some(other) = others.iter().find(has_same_route) {
            let (name, other) = (name.to_string(), other.name.clone());
            self.report(line, Problem::SameRoute { name, other });
        }
    }
}

/// Parses a header route, written as `name: value`.
fn header_route(header: &str) -> Option<Route> {
    let (name, value) = header.split_once(':')?;
    let (name, value) = (name.trim().to_lowercase(), value.trim().to_string());
    let is_complete = !name.is_empty() && !value.is_empty();
    is_complete.then_some(Route::Header(name, value))
}
