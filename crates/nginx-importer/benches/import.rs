//! Measures the duration of an import, the outcomes for the directives of the corpus, and the error of
//! integer weights. Run with `cargo bench -p wrenthread-nginx --bench import`.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Instant;

use wrenthread_nginx::directive_support::Outcome;
use wrenthread_nginx::files::{self, Configuration, LocalFiles};
use wrenthread_nginx::fleet::{ZoneAssignment, import};
use wrenthread_nginx::syntax::{self, MAX_DIRECTIVES};
use wrenthread_nginx::{blocks, write};

/// A configuration of about `lines` lines: upstreams of twenty servers, each with a location of its own.
fn large(lines: usize) -> String {
    let mut text = String::from("http {\n");
    for upstream in 0..lines / 24 {
        let _ = writeln!(text, "upstream u{upstream} {{");
        for server in 0..20 {
            let (a, b) = (upstream / 200, upstream % 200);
            let _ = writeln!(text, "    server 10.{a}.{b}.{server}:80 weight={};", 1 + server % 5);
        }
        let _ = writeln!(
            text,
            "}}\nserver {{ listen 80;\n    location /{upstream} {{ proxy_pass http://u{upstream}; }}\n}}"
        );
    }
    text + "}\n"
}

/// Peak memory of this process in MiB, from /proc/self/status.
fn peak_memory_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse::<f64>().ok()).unwrap_or(f64::NAN)
        / 1024.0
}

fn median(mut sorted: Vec<f64>) -> (f64, f64, f64) {
    sorted.sort_by(f64::total_cmp);
    (sorted[0], sorted[sorted.len() / 2], sorted[sorted.len() - 1])
}

fn main() {
    println!("lines  parse ms  import ms  write ms  (minimum, median, maximum of 7)");
    for lines in [500, 5000, 50_000] {
        let text = large(lines);
        let (mut parse, mut imports, mut writes) = (vec![], vec![], vec![]);
        for _ in 0..7 {
            let ms = |began: Instant| began.elapsed().as_secs_f64() * 1e3;
            let began = Instant::now();
            let directives = syntax::parse(text.as_bytes(), 0, MAX_DIRECTIVES)
                .expect("the generated configuration is valid");
            parse.push(ms(began));
            let configuration = Configuration { files: vec!["large.conf".into()], directives };
            let began = Instant::now();
            let imported = import(&configuration, ZoneAssignment::One);
            imports.push(ms(began));
            let began = Instant::now();
            let terms = write::DeploymentTerms::default();
            for (index, fleet) in imported.fleets.iter().enumerate() {
                std::hint::black_box((write::settings(fleet, index, &terms), write::roster(fleet)));
            }
            writes.push(ms(began));
        }
        let (parse, imports, writes) = (median(parse), median(imports), median(writes));
        println!(
            "{lines}  {parse:.1?}  {imports:.1?}  {writes:.1?}; {:.0} MiB peak memory",
            peak_memory_mib()
        );
    }

    let corpus = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let mut outcomes: BTreeMap<(Outcome, bool), usize> = BTreeMap::new();
    let mut entries: Vec<_> =
        std::fs::read_dir(corpus).expect("the corpus folder is readable").flatten().collect();
    entries.sort_by_key(std::fs::DirEntry::path);
    for entry in
        entries.iter().filter(|entry| entry.path().extension().is_some_and(|extension| extension == "conf"))
    {
        let configuration = files::read(&LocalFiles, &entry.path()).expect("the sample is readable");
        for entry in import(&configuration, ZoneAssignment::One).report.entries(&configuration) {
            *outcomes.entry((entry.support.outcome, entry.support.affects_routing)).or_default() += 1;
        }
    }
    println!("\ndirectives of the corpus by (outcome, affects routing): {outcomes:?}");

    println!("\ninteger weights for nginx: largest relative error of a share, by weight set");
    let sets: [(&str, Vec<f64>); 4] = [
        ("5 1 1", vec![5.0, 1.0, 1.0]),
        ("1 to 20", (1..=20).map(f64::from).collect()),
        ("solved, 60 replicas", (0..60).map(|at| 1.0 + (f64::from(at) * 0.618).fract()).collect()),
        ("one cold replica of 24", (0..24).map(|at| if at == 0 { 0.05 } else { 1.0 }).collect()),
    ];
    for (name, weights) in sets {
        let lines: Vec<(String, f64)> = weights.iter().map(|weight| (String::new(), *weight)).collect();
        let integers = blocks::integer_weights(&lines);
        let (sum, integer_sum): (f64, u64) = (weights.iter().sum(), integers.iter().sum());
        let error = |(weight, integer): (&f64, &u64)| {
            (weight / sum - *integer as f64 / integer_sum as f64).abs() / (weight / sum)
        };
        let worst = weights.iter().zip(&integers).map(error).fold(0.0, f64::max);
        println!("{name}: {worst:.2e} of the share");
    }
}
