//! Who dials: stampedes, messages in pieces, two streams of one proxy.

use super::*;

/// Places for sixteen unidentified peers, the fewest there are.
fn crowded(config: &mut Value) {
    config["limits"]["sockets"] = json!(256);
}

#[test]
fn a_fleet_that_dials_at_once_is_read_before_anyone_is_sent_away() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("stampede", &agent, crowded).await;
        // Nothing runs between these: all have said who they are before the first of them is accepted.
        let dial = |_| std::net::TcpStream::connect_timeout(&stage.address, Duration::from_secs(5)).unwrap();
        let mut peers: Vec<std::net::TcpStream> = (0..300).map(dial).collect();
        for (proxy, peer) in peers.iter_mut().enumerate() {
            use std::io::Write;
            peer.write_all(format!("{}\n", joining(proxy as u16)).as_bytes()).unwrap();
        }
        stage.until("all are served", |service| service.streams.len() == 300).await;
        assert_eq!(stage.discarded("unidentified"), 0);
    });
}

#[test]
fn those_who_say_nothing_make_room_for_one_who_has_begun() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("begun", &agent, crowded).await;
        let message = format!("{}\n", joining(7));
        let (first, rest) = message.split_at(40);
        let mut slow = stage.dial().await;
        slow.write(first.as_bytes());
        stage.held_until("it is read", |service| service.connections.incomplete_bytes() == first.len()).await;
        let mut silent = Vec::new();
        for _ in 0..64 {
            silent.push(stage.dial().await);
        }
        let sent_away = |service: &Service| {
            let faults = service.connections.discard_counts();
            faults.get("unidentified: evicted for others").is_some_and(|count| *count >= 49)
        };
        stage.until("the others are sent away", sent_away).await;
        // One whose first bytes are there, but not yet read, is not silent either.
        let mut unread = std::net::TcpStream::connect(stage.address).unwrap();
        std::io::Write::write_all(&mut unread, b"{\"@type\":").unwrap();
        let more: Vec<_> = (0..64).map(|_| std::net::TcpStream::connect(stage.address).unwrap()).collect();
        stage
            .held_until("it is read", |service| service.connections.incomplete_bytes() == first.len() + 9)
            .await;
        std::io::Write::write_all(&mut unread, &format!("{}\n", joining(8)).as_bytes()[9..]).unwrap();
        slow.write(rest.as_bytes());
        stage.until("both are served", |service| service.streams.len() == 2).await;
        assert!(stage.serves(7) && stage.serves(8));
        drop(more);
    });
}

#[test]
fn a_message_may_be_cut_anywhere() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("pieces", &agent, |_| {}).await;
        let message = format!("{}\n", joining(100));
        for cut in 1..message.len() {
            let mut peer = stage.dial().await;
            peer.write(&message.as_bytes()[..cut]);
            stage.held_until("it is read", |service| service.connections.incomplete_bytes() == cut).await;
            peer.write(&message.as_bytes()[cut..]);
            stage.held_until("it joins", |service| service.connection_events.len() == 1).await;
            peer.until_told(&mut stage, |order| order["whole"] == true).await;
        }
        // Two messages in one segment, and an end of line by itself.
        let mut peer = stage.dial().await;
        peer.write(format!("{}\n{}", joining(101), rate(101, 3)).as_bytes());
        stage.held_until("it joins", |service| service.connection_events.len() == 2).await;
        peer.write(b"\n");
        stage.held_until("it reports", |service| service.connection_events.len() == 3).await;
        peer.write(b"\n");
        peer.until_told(&mut stage, |order| order["whole"] == true).await;
        assert_eq!(stage.discarded("unreadable"), 0);
    });
}

#[test]
fn an_older_stream_that_joins_later_takes_nothing_from_the_newer() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("older", &agent, |_| {}).await;
        let mut older = stage.dial().await;
        // Its joining is held up while the proxy dials anew.
        let mut newer = stage.join(17).await;
        older.say(&joining(17));
        older.until_ended(&mut stage).await;
        assert_eq!(stage.discarded("stale: a proxy connected"), 1);
        stage.until("it watches", |_| agent.heard(&watch_from(1)) == 1).await;
        agent.tell(&watch_from(1), &[object(2, false, &[("r3", "draining")])]).await;
        newer.until_told(&mut stage, |order| takes_out(order, "r3")).await;
    });
}

#[test]
fn what_a_replaced_stream_said_does_not_count_for_the_newer() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("replaced", &agent, |_| {}).await;
        let mut older = stage.join(17).await;
        let mut newer = stage.dial().await;
        // The node takes in neither until both are there: the report stands behind the joining.
        newer.say(&joining(17));
        stage.held_until("it joins", |service| service.connection_events.len() == 1).await;
        older.say(&rate(17, 40_000));
        stage.held_until("it reports", |service| service.connection_events.len() == 2).await;
        let offered = stage.service.governor.state_estimate().offered_per_second;
        stage.step();
        assert_eq!(stage.service.governor.state_estimate().offered_per_second, offered);
        assert_eq!(stage.discarded("stale: a message"), 1);
        older.until_ended(&mut stage).await;
        newer.until_told(&mut stage, |order| order["whole"] == true).await;
    });
}

/// What an order counts for in the channel, as the platform counts, where a message has ten lines of its own.
fn channel_lines(order: &Value) -> usize {
    let rows = |field: &str| order[field].as_array().map_or(0, Vec::len);
    let marks = ["whole", "level", "ticket"].iter().filter(|field| order.get(**field).is_some()).count();
    let own = if order["more"] == true { 0 } else { 10 };
    own + rows("lines") + rows("out") + rows("back") + marks
}

#[test]
fn a_storm_of_joinings_stays_within_the_channel_and_all_are_served_in_the_end() {
    const MOST: usize = 5000;
    play(async || {
        let agent = Agent::start().await;
        let narrow = |config: &mut Value| {
            let extra = &mut config["settings"]["extra"];
            (extra["channel_rate"], extra["most_waiting"]) = (json!(1000.0), json!(MOST));
        };
        let mut stage = Stage::start("storm", &agent, narrow).await;
        let mut peers = Vec::new();
        for proxy in 0..300 {
            peers.push(stage.dial().await);
            peers[usize::from(proxy)].say(&joining(proxy));
        }
        stage.held_until("all have joined", |service| service.connection_events.len() == 300).await;
        // The channel sends as slowly as one in trouble does: a fifth of what it should.
        let (mut waiting, mut served, mut began) = (0.0, 0, Instant::now());
        while served < 300 {
            stage.pass(Duration::from_millis(20)).await;
            yield_now().await;
            waiting = f64::max(0.0, waiting - 200.0 * began.elapsed().as_secs_f64());
            began = Instant::now();
            for order in peers.iter_mut().flat_map(|peer| peer.read().0) {
                served += usize::from(order["whole"] == true);
                waiting += channel_lines(&order) as f64;
            }
            assert!(waiting <= MOST as f64, "{waiting} lines wait as {served} are served");
            assert!(stage.service.clock.up() < Duration::from_secs(60), "{served} are served");
        }
    });
}
