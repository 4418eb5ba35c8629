//! Sample configurations, realistic and hostile, each with its expected fleets and the report on every
//! directive. `WRITE=1 cargo test -p wrenthread-nginx --test corpus` rewrites the expected results, which
//! must be reviewed before they are committed.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

use proptest::prelude::*;
use wrenthread_nginx::blocks;
use wrenthread_nginx::directive_support::{Outcome, TABLE_DIRECTIVES};
use wrenthread_nginx::files::{self, Configuration, LocalFiles};
use wrenthread_nginx::fleet::{ImportResult, Routes, ZoneAssignment, import};
use wrenthread_nginx::syntax::{self, Body, Directive, MAX_DIRECTIVES};
use wrenthread_nginx::write::{self, DeploymentTerms};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

fn names() -> Vec<String> {
    let entries = std::fs::read_dir(folder()).unwrap().map(|entry| entry.unwrap().file_name());
    let mut names: Vec<String> = entries.map(|name| name.to_string_lossy().into_owned()).collect();
    names.retain(|name| name.ends_with(".conf"));
    names.sort();
    names
}

fn read(name: &str) -> (Configuration, ImportResult) {
    let mut configuration = files::read(&LocalFiles, &folder().join(name)).unwrap();
    // Makes origins relative to the corpus, so that they do not depend on its location.
    for file in &mut configuration.files {
        *file = file.strip_prefix(folder()).unwrap().to_path_buf();
    }
    let zones = if name == "zones.conf" { ZoneAssignment::Network } else { ZoneAssignment::One };
    let imported = import(&configuration, zones);
    (configuration, imported)
}

fn render(configuration: &Configuration, imported: &ImportResult) -> String {
    let mut text = String::new();
    for fleet in &imported.fleets {
        let warm = fleet.slow_start_seconds.map_or(String::new(), |span| format!(", warm after {span}"));
        let _ = writeln!(
            text,
            "fleet {} from {}, tries {}{warm}",
            fleet.name,
            fleet.origin,
            fleet.retry_policy.name()
        );
        for replica in &fleet.replicas {
            let backup = if replica.backup { " backup" } else { "" };
            let _ = writeln!(
                text,
                "  {} in {} weight {} {}{backup}",
                replica.id, replica.zone, replica.weight, replica.phase
            );
        }
        for class in &fleet.classes {
            let routes = match &class.routes {
                Routes::Paths(paths) => paths.join(" | "),
                Routes::Header(header) => format!("header {header}"),
            };
            let effect = if class.idempotent { "retriable" } else { "non-retriable" };
            let _ = writeln!(
                text,
                "  group {}: {routes}; {effect}, {} s of {} s, {}",
                class.name,
                class.latency_objective,
                class.request_deadline,
                class.retry_policy.name()
            );
        }
    }
    for entry in imported.report.entries(configuration) {
        let outcome = match (entry.support.outcome, entry.support.affects_routing) {
            (Outcome::Supported, _) => "carried",
            (Outcome::Partial, _) => "differs",
            (Outcome::Unsupported, true) => "LEFT",
            (Outcome::Unsupported, false) => "own",
        };
        let _ = writeln!(
            text,
            "{}:{} {}: {outcome}: {}",
            entry.at, entry.column, entry.directive, entry.support.reason
        );
    }
    text
}

/// Every directive, including included ones, without entries of tables.
fn all_directives(directives: &[Directive]) -> Vec<&Directive> {
    let mut found = Vec::new();
    for directive in directives {
        found.push(directive);
        match &directive.body {
            Body::Block(block) | Body::Included(block)
                if !TABLE_DIRECTIVES.contains(&&*directive.name.text()) =>
            {
                found.extend(all_directives(block));
            }
            _ => {}
        }
    }
    found
}

#[test]
fn samples_import_as_expected() {
    for name in names() {
        let (configuration, imported) = read(&name);
        let (now, path) =
            (render(&configuration, &imported), folder().join(&name).with_extension("expected"));
        if std::env::var_os("WRITE").is_some() {
            std::fs::write(&path, &now).unwrap();
        }
        let expected = std::fs::read_to_string(&path).unwrap_or_default();
        assert!(now == expected, "{name}; it comes to\n{now}");
    }
}

#[test]
fn reports_every_directive_and_writes_valid_settings() {
    for name in names() {
        let (configuration, imported) = read(&name);
        for directive in all_directives(&configuration.directives) {
            let (at, name) = (directive.name.at, directive.name.text());
            assert!(imported.report.covers(at), "{}: `{name}`", configuration.origin(at));
        }
        for (index, fleet) in imported.fleets.iter().enumerate() {
            let script = write::settings(fleet, index, &DeploymentTerms::default());
            let settings = wrenthread_settings::parse(&name, &script).unwrap();
            assert_eq!(settings.groups.len(), fleet.classes.len(), "{name}");
            let marked = write::with_checksum(&script);
            assert!(
                write::is_unedited(&marked)
                    && !write::is_unedited(&marked.replace("proxies = 16", "proxies = 9"))
            );
            assert!(serde_json::from_str::<serde_json::Value>(&write::roster(fleet)).is_ok());
        }
        // A second import gives the same result.
        let again = read(&name).1;
        assert_eq!(again.fleets, imported.fleets, "{name}");
    }
}

#[test]
fn written_directives_import_as_the_same_fleets() {
    for name in names() {
        let (configuration, imported) = read(&name);
        let text = syntax::write(&configuration.directives);
        let directives = syntax::parse(&text, 0, MAX_DIRECTIVES).unwrap();
        let printed = Configuration { files: vec![name.clone().into()], directives };
        let zones = if name == "zones.conf" { ZoneAssignment::Network } else { ZoneAssignment::One };
        let again = import(&printed, zones);
        let identity = |imported: &ImportResult| {
            let fleets = imported.fleets.iter().map(|fleet| {
                let classes: Vec<_> =
                    fleet.classes.iter().map(|class| (class.name.clone(), class.routes.clone())).collect();
                let replicas =
                    fleet.replicas.iter().map(|replica| (replica.id.clone(), replica.weight, replica.phase));
                (fleet.name.clone(), classes, replicas.collect::<Vec<_>>())
            });
            fleets.collect::<Vec<_>>()
        };
        assert_eq!(identity(&again), identity(&imported), "{name}");
    }
}

/// An import of exported upstream blocks has the same replicas and shares.
#[test]
fn exported_blocks_import_as_the_same_shares() {
    let mut compared = 0;
    for name in names() {
        for fleet in read(&name).1.fleets {
            let ready =
                |item: &&wrenthread_nginx::fleet::ImportedReplica| item.phase == "ready" && !item.backup;
            let lines: Vec<(String, f64)> = fleet
                .replicas
                .iter()
                .filter(ready)
                .map(|replica| (replica.address.clone(), replica.weight))
                .collect();
            let tables: blocks::Tables = fleet
                .classes
                .iter()
                .map(|class| {
                    (
                        class.name.clone(),
                        blocks::UpstreamTable { servers: lines.clone(), admission_fraction: 0.75 },
                    )
                })
                .collect();
            let mut text = blocks::write(&tables, "a test").unwrap();
            for class in &fleet.classes {
                let to = blocks::upstream_name(&class.name);
                let _ = writeln!(text, "server {{ location /{} {{ proxy_pass http://{to}; }} }}", class.name);
            }
            let directives = syntax::parse(text.as_bytes(), 0, MAX_DIRECTIVES).unwrap();
            let again =
                import(&Configuration { files: vec!["again.conf".into()], directives }, ZoneAssignment::One);
            if lines.is_empty() {
                assert_eq!(again.fleets[0].replicas.iter().filter(ready).count(), 0, "{name}");
                continue;
            }
            // All classes have the same replicas, so that they form one pool again.
            assert_eq!(again.fleets.len(), 1, "{name}");
            let weight_sum: f64 = lines.iter().map(|(_, weight)| weight).sum();
            let replicas: Vec<_> = again.fleets[0].replicas.iter().filter(ready).collect();
            let sum: f64 = replicas.iter().map(|replica| replica.weight).sum();
            assert_eq!(replicas.len(), lines.len(), "{name}");
            for (replica, (address, weight)) in replicas.iter().zip(&lines) {
                assert_eq!(replica.address, *address, "{name}");
                assert!((replica.weight / sum - weight / weight_sum).abs() < 1e-4, "{name}: {address}");
                compared += 1;
            }
        }
    }
    assert!(compared > 40, "{compared}");
}

#[test]
fn reports_classes_beyond_the_limit_of_a_governor() {
    let text = std::fs::read_to_string(folder().join("many-groups.conf")).unwrap();
    let many: String = (1..70)
        .map(|at| {
            format!("server {{ location /{at} {{ proxy_pass http://gates; proxy_read_timeout {at}s; }} }}\n")
        })
        .collect();
    let directives = syntax::parse((text + &many).as_bytes(), 0, MAX_DIRECTIVES).unwrap();
    let configuration = Configuration { files: vec!["many.conf".into()], directives };
    let imported = import(&configuration, ZoneAssignment::One);
    assert_eq!((imported.fleets[0].classes.len(), imported.report.routing_losses()), (64, 12));
    assert!(render(&configuration, &imported).contains("a governor has 64 groups at the most"));
}

#[test]
fn imports_a_large_configuration() {
    let mut text = String::from("http {\n");
    for upstream in 0..500 {
        let _ = writeln!(text, "upstream u{upstream} {{");
        for server in 0..40 {
            let _ = writeln!(text, "    server 10.{}.{}.{server}:80;", upstream / 250, upstream % 250);
        }
        let _ = writeln!(text, "}}\nserver {{ location /{upstream} {{ proxy_pass http://u{upstream}; }} }}");
    }
    text += "}\n";
    let directives = syntax::parse(text.as_bytes(), 0, MAX_DIRECTIVES).unwrap();
    let imported =
        import(&Configuration { files: vec!["large.conf".into()], directives }, ZoneAssignment::One);
    assert_eq!((imported.fleets.len(), imported.fleets[499].replicas.len()), (500, 40));
    let replicas: BTreeMap<_, _> =
        imported.fleets.iter().flat_map(|fleet| &fleet.replicas).map(|replica| (&replica.id, 1)).collect();
    assert_eq!(replicas.len(), 20_000);
}

proptest! {
    /// A sample with bytes changed, inserted or cut off is imported or rejected, and never causes a panic.
    #[test]
    fn mutated_samples_never_panic(
        sample in 0usize..20,
        mutations in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0u8..3), 1..6),
    ) {
        let names = names();
        let mut text = std::fs::read(folder().join(&names[sample % names.len()])).unwrap();
        for (at, byte, how) in mutations {
            if text.is_empty() {
                break;
            }
            let at = at.index(text.len());
            match how {
                0 => text[at] = byte,
                1 => text.truncate(at),
                _ => text.insert(at, byte),
            }
        }
        if let Ok(directives) = syntax::parse(&text, 0, MAX_DIRECTIVES) {
            let configuration = Configuration { files: vec!["x.conf".into()], directives };
            let imported = import(&configuration, ZoneAssignment::Network);
            prop_assert!(imported.report.entries(&configuration).len() >= configuration.directives.len());
            for (index, fleet) in imported.fleets.iter().enumerate() {
                let script = write::settings(fleet, index, &DeploymentTerms::default());
                prop_assert!(wrenthread_settings::parse("x", &script).is_ok());
            }
        }
    }
}
