//! What gossip costs a governor as their number grows, and how soon a dead one is known to all: in made-up time,
//! on a made-up network, at the pace that governors keep.

#[path = "../tests/net/mod.rs"]
mod net;

use net::Net;
use wrenthread_talk::Note;
use wrenthread_talk::words::Standing;

fn main() {
    println!(
        "| governors | lost, % | bytes a governor and second | datagrams | longest, bytes | \
         first to know of a death, s | last, s | wrongly dead |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for governors in [3, 5, 10, 20, 50] {
        for lost in [0, 50] {
            let mut net = Net::new(governors, 11);
            net.lost = lost;
            net.run(10_000);
            (net.bytes, net.datagrams) = (0, 0);
            net.run(60_000);
            let a_second = 60.0 * governors as f64;
            let (bytes, datagrams) = (net.bytes as f64 / a_second, net.datagrams as f64 / a_second);
            let wrongly =
                net.notes.iter().filter(|(_, _, note)| matches!(note, Note::Stands(_, Standing::Dead)));
            let (wrongly, died) = (wrongly.count(), net.now);
            net.kill(0);
            net.run(40_000);
            let known = |(at, _, note): &(std::time::Duration, usize, Note)| {
                (*at > died && *note == Note::Stands("g0".into(), Standing::Dead))
                    .then(|| (*at - died).as_secs_f64())
            };
            let known: Vec<f64> = net.notes.iter().filter_map(known).collect();
            let first = known.iter().copied().fold(f64::INFINITY, f64::min);
            let last = known.iter().copied().fold(0.0, f64::max);
            assert!(known.len() >= governors - 1, "{} of {governors} know", known.len());
            println!(
                "| {governors} | {} | {bytes:.0} | {datagrams:.1} | {} | {first:.1} | {last:.1} | {wrongly} |",
                lost / 10,
                net.longest,
            );
        }
    }
}
