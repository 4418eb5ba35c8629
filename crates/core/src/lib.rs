//! State machines between the decision module and its fronts. They open no socket and read no clock: times and names come
//! in as arguments, and the same inputs give the same outputs.
//!
//! [`engine::Engine`] holds one instance of the decision module. A host tells it what has happened, then pulls
//! [`engine::Engine::next_action`] until it gives `None`, and carries out each action. Fronts read what a proxy should
//! hold from [`engine::Engine::proxy`] and only translate it.
//!
//! | module | what it is for |
//! | --- | --- |
//! | [`engine`] | the face: inputs, actions, versions |
//! | [`roster`] | the replicas, their starts and drains, and whether an empty roster is believed |
//! | [`backup_replicas`] | replicas that are active only while no other is ready |
//! | [`fleet`] | which proxies are connected, what each holds, what was sent and not yet acknowledged |
//! | [`tables`] | what the module's decisions make of each proxy's tables |
//! | [`guard`] | what may not reach a proxy, whoever made it |
//! | [`send_limiter`] | which proxy may be written to next, and what waits |
//! | [`reports`] | load reports, aggregated to what the module is given |
//! | [`table_versions`], [`history`] | what was published, in versions, and the deltas between them |
//! | [`frozen_tables`] | tables that operators rolled back to, or that another governor handed over |
//! | [`overrides`] | operators' overrides of replicas |
//! | [`snapshot`] | what is known beyond a restart, and how much of it counts |
//! | [`recording`] | what was known at one moment, and tables tried against it |
//! | [`ownership`] | the order of governors for a proxy, keys, and signed proofs of whose tables it holds |
//! | [`fencing`] | which governor's updates a proxy accepts |
//! | [`failover`] | which governor a proxy connects to next, and when it goes back home |
//! | [`weights`] | weights as integers, without losing an entry |
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
