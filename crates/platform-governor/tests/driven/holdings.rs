//! What a proxy holds, according to the messages that it was sent.

use std::collections::BTreeSet;

use super::SentMessage;

/// What a proxy may send to, as far as its messages tell.
#[derive(Default)]
pub struct Holdings {
    /// It holds only tables of this governor; before that its replicas are not known.
    has_whole_table: bool,
    replicas: BTreeSet<String>,
    ejected: BTreeSet<String>,
}

impl Holdings {
    /// The holdings of a proxy with a known table.
    pub fn with_table(replicas: impl Iterator<Item = String>) -> Self {
        Holdings { has_whole_table: true, replicas: replicas.collect(), ejected: BTreeSet::new() }
    }

    /// The replicas of its table that it may send to.
    pub fn usable_replicas(&self) -> impl Iterator<Item = &String> {
        self.replicas.difference(&self.ejected)
    }

    /// Whether the proxy may send to a replica.
    pub fn may_use(&self, replica: &str) -> bool {
        !self.ejected.contains(replica) && (!self.has_whole_table || self.replicas.contains(replica))
    }

    /// Applies a message, as the proxy does when it arrives.
    pub fn apply(&mut self, message: &SentMessage) {
        for part in &message.parts {
            if part["whole"] == true {
                self.has_whole_table = true;
                self.replicas.clear();
            }
            for line in part["lines"].as_array().into_iter().flatten() {
                let name = line[0].as_str().unwrap().to_string();
                if line[1].as_f64().unwrap() > 0.0 {
                    self.replicas.insert(name);
                } else {
                    self.replicas.remove(&name);
                }
            }
            let names = |field: &str| -> Vec<String> {
                let names = part[field].as_array().into_iter().flatten();
                names.map(|name| name.as_str().unwrap().to_string()).collect()
            };
            self.ejected.extend(names("out"));
            for name in names("back") {
                self.ejected.remove(&name);
            }
        }
    }
}
