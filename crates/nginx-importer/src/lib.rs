//! Imports nginx upstream and location blocks as a governor's settings and roster, with a report on each
//! directive. Also exports a proxy's tables as upstream blocks, for proxies that remain nginx.
//!
//! ```
//! use std::path::{Path, PathBuf};
//! use wrenthread_nginx::{files, fleet, write};
//!
//! let text = b"upstream gates { server 10.0.0.1:80 weight=2; server 10.0.0.2:80 backup; }
//!     server { location /entry { proxy_pass http://gates; proxy_read_timeout 2s; } }";
//! let directives = wrenthread_nginx::syntax::parse(text, 0, 1000).unwrap();
//! let configuration = files::Configuration { files: vec![PathBuf::from("gates.conf")], directives };
//! let imported = fleet::import(&configuration, fleet::ZoneAssignment::One);
//! let gates = &imported.fleets[0];
//! assert_eq!((gates.classes[0].name.as_str(), gates.replicas[0].weight), ("entry", 2.0));
//! assert!(write::settings(gates, 0, &write::DeploymentTerms::default()).contains("paths = [\"/entry\"]"));
//! assert_eq!(imported.report.routing_losses(), 0);
//! ```

pub mod access_log;
pub mod blocks;
pub mod difference;
pub mod directive_support;
pub mod files;
pub mod fleet;
pub mod syntax;
pub mod values;
pub mod write;
pub mod write_debouncer;
