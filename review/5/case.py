"""A replica that was drained while a proxy could not reach a governor, and a governor that was restarted meanwhile."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from world import ZONES, CannotRun, World, play, settings  # noqa: E402

REPLICAS_PER_ZONE = 6
PROXIES_PER_ZONE = 4
RATE = 12.0
SLACK = 0.3  # on sockets, the time limits of the rules are 300 ms longer
FIRST = 1.0  # and none of them begins earlier than 1 s after the governor first answered


async def case(record, trouble, folder):
    # The example of the wire page, with the grace that `lbsim draw` gives to gate-prod's days with 341 ms on the way.
    configuration = settings(agents=len(ZONES) * PROXIES_PER_ZONE)
    configuration["rules"]["drain_grace_us"] = 3600000
    grace = configuration["rules"]["drain_grace_us"] / 1e6
    world = World(record, configuration, folder)
    try:
        for zone in ZONES:
            for number in range(REPLICAS_PER_ZONE):
                await world.add_replica(f"s-{zone}-{number}", zone)
        await world.start()
        proxies = [world.add_proxy(zone, RATE) for zone in ZONES for _ in range(PROXIES_PER_ZONE)]
        await asyncio.sleep(5)
        # A quarter of the proxies, one of each zone, reach no governor for 16 s, and go on forwarding.
        cut = proxies[::PROXIES_PER_ZONE]
        if trouble:
            record.note("a proxy of each zone reaches no governor")
            for proxy in cut:
                proxy.cut()
        cut_at = record.now()
        await asyncio.sleep(1)
        # The busy hours are over: one replica of each zone is switched off, as planned.
        drained = [world.replicas[f"s-{zone}-0"] for zone in ZONES]
        await asyncio.gather(*[world.drain(replica, 4) for replica in drained])
        await asyncio.sleep(2)
        if trouble:
            record.note("a planned restart of the governor")
            await world.governor.stop(signal.SIGTERM)
            await asyncio.sleep(1)
            await world.governor.start()
        await asyncio.sleep(max(0.0, cut_at + 16 - record.now()))
        for proxy in cut:
            proxy.reachable = True
        record.note("all governors can be reached again")
        await asyncio.sleep(30)
    finally:
        await world.stop()
    return judge(record, [replica.name for replica in drained], grace)


def judge(record, drained, grace):
    """No joined proxy sends to such a replica more than the grace after the later of the news and its joining. The news counts
    from the moment at which discovery had written all of it to the governor."""
    told_at = record.of("told")[-1][0]
    ready = [at for at, _ in record.of("ready")]
    joined = {}
    broken = {}
    for at, kind, fields in record.events:
        if kind == "joined":
            joined[fields["proxy"]] = at
        elif kind == "left":
            joined.pop(fields["proxy"], None)
        elif kind == "sent" and fields["replica"] in drained and fields["proxy"] in joined:
            since = max(told_at, joined[fields["proxy"]], max((one for one in ready if one <= at), default=at) + FIRST)
            if at > since + grace + SLACK:
                broken.setdefault(fields["proxy"], []).append(round(at - since, 2))
    if not record.of("sent"):
        raise CannotRun("nothing was sent")
    for proxy, late in sorted(broken.items()):
        record.note(f"proxy {proxy} sent {len(late)} requests to a replica that was gone, {late[0]} s to {late[-1]} s after it had "
                    f"joined and its governor knew")
    return not broken


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
