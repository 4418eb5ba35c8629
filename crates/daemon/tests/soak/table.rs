//! A proxy's table, computed from the messages it received by the rules of the platform's protocol.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// A proxy's table, and the replicas that are ejected for it.
#[derive(Debug, Clone, Default)]
pub struct ProxyTable {
    pub weights: BTreeMap<String, f64>,
    pub ejected: BTreeSet<String>,
}

impl ProxyTable {
    /// A default table with these replicas, all with the same weight.
    pub fn of(replicas: &[String]) -> ProxyTable {
        let weights = replicas.iter().map(|name| (name.clone(), 1.0)).collect();
        ProxyTable { weights, ejected: BTreeSet::new() }
    }

    pub fn apply(&mut self, message: &Value) {
        let names = |field: &str| -> Vec<String> {
            let row = message[field].as_array().cloned().unwrap_or_default();
            row.iter().filter_map(|name| Some(name.as_str()?.to_string())).collect()
        };
        if message["whole"] == true {
            self.weights.clear();
        }
        for line in message["lines"].as_array().into_iter().flatten() {
            let (Some(name), Some(weight)) = (line[0].as_str(), line[1].as_f64()) else { continue };
            self.weights.insert(name.to_string(), weight);
        }
        self.weights.retain(|_, weight| *weight > 0.0);
        self.ejected.extend(names("out"));
        for name in names("back") {
            self.ejected.remove(&name);
        }
    }

    /// The replicas that the proxy may send requests to.
    pub fn usable(&self) -> BTreeSet<&String> {
        self.weights.keys().filter(|name| !self.ejected.contains(*name)).collect()
    }
}
