//! Follows a governor by long poll and prints the tables that it receives:
//! `cargo run -p wrenthread-client --example follow -- http://127.0.0.1:15012 NAME ZONE GROUP ...`

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use wrenthread_client::poll::{Session, follow};
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{Observer, ProxyIdentity, UpdatedTables};

struct PrintingObserver;

impl Observer for PrintingObserver {
    fn update_received(&self, version: &str, entries: usize, tables: &UpdatedTables) {
        println!("version {version}, {entries} entries");
        for (group, (entries, admission_fraction)) in tables {
            println!("  {group}: admission fraction {admission_fraction}, {entries:?}");
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(base_url), Some(name), Some(zone)) = (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: follow http://HOST:PORT NAME ZONE GROUP ...");
        std::process::exit(2);
    };
    let cache = Rc::new(RefCell::new(TableCache::new(arguments.collect(), vec![], None)));
    let identity = ProxyIdentity { name, zone, requests_per_second: 1.0 };
    // The tables are kept across sessions; only the session is joined again.
    loop {
        match Session::join(&base_url, &identity, &cache).await {
            Ok(session) => {
                if let Err(error) = follow(&session, &cache, &PrintingObserver).await {
                    eprintln!("{error}");
                }
            }
            Err(error) => eprintln!("{error}"),
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}
