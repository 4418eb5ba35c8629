//! What stands between the decision module and the fronts, as state machines that open no socket and read no
//! clock: times and names come in as arguments, and the same inputs give the same outputs.
//!
//! [`engine::Engine`] holds one instance of the module. A host tells it what happened, then pulls
//! [`engine::Engine::next_action`] until it gives `None`, and carries out each step. Fronts read what a proxy should
//! hold from [`engine::Engine::proxy`] and only translate it.
//!
//! | module | what it keeps |
//! | --- | --- |
//! | [`roster`] | the list of replicas, their starts and drains, and whether an empty list is believed |
//! | [`fleet`] | who is joined under which number, what each holds, what is sent and not yet acknowledged |
//! | [`snapshot`] | what is known beyond a governor's life, and how much of it counts |
//! | [`backup_replicas`] | replicas that are on the list only while no other is ready |
//! | [`tables`] | what the module's decisions make of each proxy's tables |
//! | [`send_limiter`] | which proxy may be written to next, and what waits |
//! | [`reports`] | load reports, folded to what the module hears |
//! | [`guard`] | what may not reach a proxy, whoever made it |
//! | [`history`], [`table_versions`] | what was told, in versions, and the deltas between them |
//! | [`frozen_tables`] | tables that operators stepped back to, or that another governor handed over |
//! | [`overrides`] | what operators say of a replica for a while |
//! | [`recording`] | what was known at one moment, and tables tried against it |
//! | [`ownership`] | the order of governors for a proxy, keys, and signed proofs of whose tables it holds |
//! | [`fencing`] | which governor's updates a proxy accepts |
//! | [`failover`] | which governor a proxy connects to next, and when it goes back home |
//! | [`weights`] | weights as whole numbers, without losing a line |

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
