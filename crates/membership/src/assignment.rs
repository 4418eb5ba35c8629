//! Which governor a proxy belongs with: rendezvous hashing with bounded load.
//!
//! A proxy belongs with the governor that ranks first for it, of those that are there and are not full. None
//! takes more than its even part and a quarter. The ranking is the one by which proxies dial by themselves
//! ([`wrenthread_core::ownership::ranking`]), so what talk settles and what happens without talk differ only
//! by the bound.
//!
//! Nobody needs to know all proxies for that: each governor judges those that it has, by how many the others
//! say that they have. A governor that is over the bound sends away those that rank it lowest; one that has a
//! proxy which another ranks higher for, and that is not full, sends it there. [`assign`] is what this comes
//! to where everything is known.

use std::collections::BTreeSet;
use std::time::Duration;

use wrenthread_core::ownership::ranking;

/// How far beyond its even part a governor may go. Less means more moves whenever a governor comes or goes;
/// more, and the fullest has more to bear.
pub const CAPACITY_MARGIN_FRACTION: f64 = 0.25;
/// A proxy that has just come is left alone for so long.
pub const MIN_RESIDENCE: Duration = Duration::from_secs(2);

/// The most proxies that one of `governors` takes of `proxies` in all.
pub fn bound(proxies: usize, governors: usize) -> usize {
    (proxies as f64 * (1.0 + CAPACITY_MARGIN_FRACTION) / governors.max(1) as f64).ceil().max(1.0) as usize
}

/// Whom each proxy belongs with, by place in `governors`, where all are known: proxies ask governors in the
/// order of their ranking, and a full one keeps those that rank it highest. What comes out does not hang on
/// the order in which they ask.
pub fn assign(proxies: &[&str], governors: &[&str]) -> Vec<usize> {
    if governors.is_empty() {
        return Vec::new();
    }
    let most = bound(proxies.len(), governors.len());
    let ranked: Vec<Vec<usize>> = proxies.iter().map(|proxy| ranking(proxy, governors)).collect();
    let mut asked = vec![0; proxies.len()];
    // By governor: those that it keeps, the one that ranks it lowest last.
    let mut kept: Vec<BTreeSet<(usize, &str, usize)>> = vec![BTreeSet::new(); governors.len()];
    let mut asking: Vec<usize> = (0..proxies.len()).collect();
    while let Some(proxy) = asking.pop() {
        let place = asked[proxy];
        let governor = ranked[proxy][place];
        kept[governor].insert((place, proxies[proxy], proxy));
        if kept[governor].len() > most
            && let Some((place, _, turned)) = kept[governor].pop_last()
        {
            // There is room for all, so nobody ever asks in vain at the last.
            asked[turned] = (place + 1) % governors.len();
            asking.push(turned);
        }
    }
    (0..proxies.len()).map(|proxy| ranked[proxy][asked[proxy]]).collect()
}

/// A governor as a place for proxies.
#[derive(Debug, Clone, PartialEq)]
pub struct GovernorCapacity<'a> {
    pub name: &'a str,
    /// Proxies there, those on their way included.
    pub connected_proxies: usize,
}

/// One proxy here.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalProxy<'a> {
    pub name: &'a str,
    /// Places in `rooms`, best first; the place `rooms.len()` is this governor.
    pub ranking: &'a [usize],
    /// It may be moved: it has been here for [`MIN_RESIDENCE`], and no offer of it came to nothing a moment ago.
    pub movable: bool,
}

/// The next proxy to move, and where to.
///
/// `rooms`: the others that are there and are not draining; `here`, and `joined`, their number: those that
/// are not on their way out; `draining`: this governor hands all over.
pub fn next_move<'a>(
    rooms: &[GovernorCapacity<'a>],
    joined: usize,
    draining: bool,
    here: impl Iterator<Item = LocalProxy<'a>>,
) -> Option<(&'a str, &'a str)> {
    if rooms.is_empty() {
        return None;
    }
    let all: usize = joined + rooms.iter().map(|room| room.connected_proxies).sum::<usize>();
    let most = bound(all, rooms.len() + usize::from(!draining));
    let has_room = |place: &usize| rooms.get(*place).is_some_and(|room| room.connected_proxies < most);
    // Of those over the bound, the one that ranks this governor lowest goes first. Who will go elsewhere as
    // soon as it may be moved is no reason to send others away meanwhile: they would only come back.
    let (mut lowest, mut leaving): (Option<(usize, &str, usize)>, usize) = (None, 0);
    for one in here {
        let mine = one.ranking.iter().position(|place| *place == rooms.len()).unwrap_or(one.ranking.len());
        if !one.movable {
            leaving += usize::from(one.ranking.iter().take(mine).any(&has_room));
            continue;
        }
        if draining {
            let least = (0..rooms.len()).min_by_key(|place| rooms[*place].connected_proxies);
            let to = one.ranking.iter().copied().find(has_room).or(least)?;
            return Some((one.name, rooms[to].name));
        }
        if let Some(to) = one.ranking.iter().take(mine).copied().find(has_room) {
            return Some((one.name, rooms[to].name));
        }
        if joined > most
            && let Some(to) = one.ranking.iter().skip(mine + 1).copied().find(has_room)
            && lowest.is_none_or(|(worst, _, _)| mine > worst)
        {
            lowest = Some((mine, one.name, to));
        }
    }
    let over = joined.saturating_sub(leaving) > most;
    lowest.filter(|_| over).map(|(_, proxy, to)| (proxy, rooms[to].name))
}

/// Whether a governor lets a proxy come that another offers: not while it drains; and not beyond the bound,
/// unless the other drains and has to put it somewhere.
pub fn admits(joined: usize, rooms: &[GovernorCapacity], draining: bool, giver_drains: bool) -> bool {
    let all: usize = joined + rooms.iter().map(|room| room.connected_proxies).sum::<usize>();
    !draining && (giver_drains || joined < bound(all, rooms.len() + 1))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    fn names(of: &str, count: usize) -> Vec<String> {
        (0..count).map(|n| format!("{of}-{n}")).collect()
    }

    fn counts(assigned: &[usize], governors: usize) -> Vec<usize> {
        (0..governors).map(|one| assigned.iter().filter(|to| **to == one).count()).collect()
    }

    proptest! {
        #[test]
        fn none_takes_more_than_the_bound_and_the_order_of_asking_is_all_one(
            proxies in 1usize..400, governors in 1usize..9, turn in 0usize..400,
        ) {
            let (proxies, governors) = (names("relay", proxies), names("g", governors));
            let mut some: Vec<&str> = proxies.iter().map(String::as_str).collect();
            let others: Vec<&str> = governors.iter().map(String::as_str).collect();
            let assigned = assign(&some, &others);
            let most = bound(some.len(), others.len());
            prop_assert!(counts(&assigned, others.len()).iter().all(|count| *count <= most));
            let by_name: BTreeMap<&str, usize> = some.iter().copied().zip(assigned).collect();
            let turn = turn % some.len();
            some.rotate_left(turn);
            some.reverse();
            let again: BTreeMap<&str, usize> = some.iter().copied().zip(assign(&some, &others)).collect();
            prop_assert_eq!(by_name, again);
        }

        #[test]
        fn few_move_when_one_goes(proxies in 50usize..400, governors in 3usize..9, gone in 0usize..9) {
            let (proxies, governors) = (names("relay", proxies), names("g", governors));
            let gone = gone % governors.len();
            let some: Vec<&str> = proxies.iter().map(String::as_str).collect();
            let before: Vec<&str> = governors.iter().map(String::as_str).collect();
            let after: Vec<&str> = before.iter().copied().filter(|one| *one != before[gone]).collect();
            let (then, now) = (assign(&some, &before), assign(&some, &after));
            let moved = then.iter().zip(&now).filter(|(then, now)| before[**then] != after[**now]).count();
            let had = counts(&then, before.len())[gone];
            // Its own must move; besides them those that a full governor had turned away, and who stand back.
            prop_assert!(moved >= had && moved <= had + some.len() / 5 + 3, "{moved} moved of {had}");
        }
    }

    /// A fleet whose governors each judge their own: until nobody moves.
    fn settled(mut at: Vec<usize>, governors: &[String], draining: &[bool]) -> (Vec<usize>, usize) {
        let proxies = names("relay", at.len());
        for moves in 0..10_000 {
            let joined = counts(&at, governors.len());
            let mut moved = false;
            for me in 0..governors.len() {
                let others: Vec<usize> =
                    (0..governors.len()).filter(|one| *one != me && !draining[*one]).collect();
                let rooms: Vec<GovernorCapacity> = others
                    .iter()
                    .map(|one| GovernorCapacity { name: &governors[*one], connected_proxies: joined[*one] })
                    .collect();
                let listed: Vec<&str> =
                    rooms.iter().map(|room| room.name).chain([governors[me].as_str()]).collect();
                let ranked: Vec<Vec<usize>> = proxies.iter().map(|proxy| ranking(proxy, &listed)).collect();
                let mine = (0..at.len()).filter(|proxy| at[*proxy] == me);
                let here =
                    mine.map(|one| LocalProxy { name: &proxies[one], ranking: &ranked[one], movable: true });
                if let Some((proxy, to)) = next_move(&rooms, joined[me], draining[me], here) {
                    let proxy = proxies.iter().position(|one| one == proxy).unwrap();
                    at[proxy] = governors.iter().position(|one| one == to).unwrap();
                    moved = true;
                    break;
                }
            }
            if !moved {
                return (at, moves);
            }
        }
        panic!("it never settles");
    }

    #[test]
    fn governors_that_judge_only_their_own_come_to_the_bound_and_to_rest() {
        let governors = names("g", 4);
        // All at one, as after the others were dead.
        let (at, moves) = settled(vec![0; 90], &governors, &[false; 4]);
        let joined = counts(&at, 4);
        assert!(joined.iter().all(|count| *count <= bound(90, 4)), "{joined:?}");
        assert!(moves <= 90, "{moves}: nobody moves twice");
        let proxies = names("relay", 90);
        let (some, others): (Vec<&str>, Vec<&str>) =
            (proxies.iter().map(String::as_str).collect(), governors.iter().map(String::as_str).collect());
        let alike = assign(&some, &others).iter().zip(&at).filter(|(one, other)| one == other).count();
        assert!(alike >= 80, "{alike} of 90 are where they would be if all were known");
        // At rest it stays at rest.
        assert_eq!(settled(at.clone(), &governors, &[false; 4]).1, 0);
        let drained = settled(at, &governors, &[false, true, false, false]).0;
        let joined = counts(&drained, 4);
        assert!(joined[1] == 0 && joined.iter().all(|count| *count <= bound(90, 3)), "{joined:?}");
    }

    #[test]
    fn who_has_just_come_and_belongs_elsewhere_is_no_reason_to_send_others_away() {
        let rooms = [
            GovernorCapacity { name: "back", connected_proxies: 0 },
            GovernorCapacity { name: "other", connected_proxies: 25 },
        ];
        let here = |newcomers: usize| {
            (0..31).map(move |n| match n < newcomers {
                true => LocalProxy { name: "new", ranking: &[0, 2, 1], movable: false },
                false => LocalProxy { name: "own", ranking: &[2, 0, 1], movable: true },
            })
        };
        // At most 24 of 56 belong here.
        assert_eq!(next_move(&rooms, 31, false, here(7)), None);
        assert_eq!(next_move(&rooms, 31, false, here(6)), Some(("own", "back")));
    }

    #[test]
    fn a_draining_governor_puts_its_proxies_somewhere_and_takes_none() {
        let room = |name, joined| GovernorCapacity { name, connected_proxies: joined };
        let here = || LocalProxy { name: "p", ranking: &[0, 2, 1], movable: true };
        let full = [room("a", 900), room("b", 100)];
        assert_eq!(next_move(&full, 1, true, [here()].into_iter()), Some(("p", "b")));
        assert_eq!(next_move(&full, 1, true, [LocalProxy { movable: false, ..here() }].into_iter()), None);
        assert_eq!(next_move(&[], 1, true, [here()].into_iter()), None, "nobody to hand it to");
        assert!(admits(50, &full, false, true) && !admits(1, &full, true, true));
        assert!(!admits(438, &full, true, false) && admits(437, &full, false, false));
        assert!(!admits(900, &full, false, false));
    }
}
