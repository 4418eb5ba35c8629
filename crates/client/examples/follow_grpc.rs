//! Follows a governor by xDS, reports load at the requested interval, and prints the tables that it receives:
//! `cargo run -p wrenthread-client --example follow_grpc -- http://127.0.0.1:15010 NAME ZONE GROUP ...`

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::LocalSet;
use wrenthread_client::grpc::{self, Reports, Versions};
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{Error, Governor, Observer, ProxyIdentity, UpdatedTables};

struct PrintingObserver;

impl Observer for PrintingObserver {
    fn update_received(&self, nonce: &str, entries: usize, tables: &UpdatedTables) {
        println!("{nonce}: {entries} entries");
        for (group, (entries, admission_fraction)) in tables {
            println!("  {group}: admission fraction {admission_fraction}, {entries:?}");
        }
    }
}

async fn send_reports(
    uri: &str,
    identity: &ProxyIdentity,
    cache: &Rc<RefCell<TableCache>>,
) -> Result<(), Error> {
    let mut reports = Reports::open(uri, identity, cache).await?;
    let mut last_report = Instant::now();
    loop {
        reports.wait().await?;
        let stats = cache.borrow_mut().take_counters();
        let groups = cache.borrow().classes().to_vec();
        let request = grpc::load_stats_request(&groups, last_report.elapsed(), &stats, &["waiting"]);
        last_report = Instant::now();
        reports.sender().send(request).await.map_err(|_| Error::StreamEnded)?;
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(uri), Some(name), Some(zone)) = (arguments.next(), arguments.next(), arguments.next()) else {
        eprintln!("usage: follow_grpc http://HOST:PORT NAME ZONE GROUP ...");
        std::process::exit(2);
    };
    let cache = Rc::new(RefCell::new(TableCache::new(arguments.collect(), vec![], None)));
    let identity = ProxyIdentity { name, zone, requests_per_second: 1.0 };
    let versions = Rc::new(RefCell::new(Versions::default()));
    let governor = Governor { grpc: uri.clone(), ..Governor::default() };
    let following = async {
        loop {
            // The tables and their versions are kept across streams.
            if let Err(error) =
                grpc::follow(&governor, &identity, true, &cache, &versions, &PrintingObserver).await
            {
                eprintln!("{error}");
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    let reporting = async {
        loop {
            if let Err(error) = send_reports(&uri, &identity, &cache).await {
                eprintln!("reports: {error}");
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    LocalSet::new().run_until(async { tokio::join!(following, reporting) }).await;
}
