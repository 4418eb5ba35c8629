//! The state machines of a governor, between the decision module and the protocol front ends. They do no I/O
//! and read no clock: time and names are passed as arguments, and the same inputs produce the same outputs.
//!
//! [`engine::Engine`] wraps one instance of the decision module. A host passes events to it, then calls
//! [`engine::Engine::next_action`] until it returns `None` and carries out each action. Front ends read the
//! state that a proxy should hold from [`engine::Engine::proxy`] and only encode it.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`engine`] | the main interface: inputs, actions, versions |
//! | [`roster`] | the replicas, their start times and drains; delays the acceptance of an empty roster |
//! | [`backup_replicas`] | replicas that are active only while no primary is ready |
//! | [`fleet`] | connected proxies: their tables, sent versions and outstanding acknowledgements |
//! | [`tables`] | the table of each proxy that results from the module's decisions |
//! | [`guard`] | safety rules that every table must pass, whatever its source |
//! | [`send_limiter`] | rate limit and priority of updates to proxies |
//! | [`reports`] | load reports, aggregated for the module |
//! | [`table_versions`], [`history`] | published versions and the deltas between them |
//! | [`frozen_tables`] | tables that operators rolled back to, or that another governor handed over |
//! | [`overrides`] | operators' overrides of replicas |
//! | [`snapshot`] | state stored across restarts, and how it ages |
//! | [`recording`] | a recording of the current state, and dry runs of tables against it |
//! | [`ownership`] | the order of governors for a proxy, keys, and signed proofs of which governor issued its tables |
//! | [`fencing`] | which governor's updates a proxy accepts |
//! | [`failover`] | which governor a proxy connects to next, and when it returns to its preferred one |
//! | [`weights`] | conversion of weights to integers without losing an entry |
//! | `fault_injection` | faulty decision modules, for tests and rehearsals |

#![warn(missing_docs)]

pub mod backup_replicas;
pub mod engine;
pub mod failover;
#[cfg(any(test, feature = "suspect"))]
pub mod fault_injection;
pub mod fencing;
pub mod fleet;
pub mod frozen_tables;
pub mod guard;
pub mod history;
pub mod overrides;
pub mod ownership;
pub mod recording;
pub mod reports;
pub mod roster;
pub mod send_limiter;
pub mod snapshot;
pub mod table_versions;
pub mod tables;
pub mod weights;
