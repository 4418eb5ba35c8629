"""Stand-ins for one governor's surroundings: discovery's agent, collectors, proxies, the channel and replicas.

Everything runs in one asyncio loop on loopback addresses and the real clock. The governor is a process of its own,
started with the `run` command of deploy/balancer.toml. The protocol is that of `../given/kit/more/node/PROTOCOL.md`;
proxies do as `../given/docs/WIRE-wrenthread.md` ("Know what proxies do") says.
"""

import asyncio
import json
import math
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SLACK = 0.3  # "the time limits of the rules are 300 ms longer" (PROTOCOL.md, "The rules on sockets")


GOLDEN = 0.6180339887498949  # steps by this part of a circle fall evenly on it


class CannotRun(Exception):
    """The case could not run; no verdict."""


def now():
    return time.monotonic()  # the clock of asyncio's loop, too


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1", probe.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = now()

    def write(self, kind, **fields):
        fields = {"t": round(now() - self.started, 3), "what": kind, **fields}
        self.file.write(json.dumps(fields) + "\n")

    def close(self):
        self.file.close()


class Replica:
    """A replica: `up`, `draining` or `removed` for discovery; `alive` says whether its process takes requests."""

    def __init__(self, name, zone, weight=1.0, since_ms=0, capacity=None):
        self.name, self.zone, self.weight, self.since_ms = name, zone, weight, since_ms
        self.status = "up"
        self.alive = True
        self.answers = True  # false: it takes requests and answers none
        self.error_rate = 0.0
        self.slow = 1.0

    def row(self):
        return {"name": self.name, "address": "127.0.0.1:9", "zone": self.zone, "type": "m2", "group": 0,
                "status": self.status, "weight": self.weight, "since_ms": self.since_ms}


class Agent:
    """Discovery's agent: the list, and watches of its changes. `told` has when a governor was written a change."""

    def __init__(self, world):
        self.world = world
        self.version = 41
        self.changes = []  # (version, rows)
        self.watches = []
        self.servers = []

    def snapshot(self):
        rows = [replica.row() for replica in self.world.replicas.values() if replica.status != "removed"]
        return {"index": self.version, "snapshot": True, "endpoints": rows}

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            if "watch=1" not in path:
                self.chunk(writer, json.dumps(self.snapshot()).encode())
                writer.write(b"0\r\n\r\n")
                self.note_told([replica.row() for replica in self.world.replicas.values()])
                await writer.drain()
                return
            start = int(path.split("from=")[1].split("&")[0])
            rows = {}
            for version, changed in self.changes:
                if version > start:
                    rows.update({row["name"]: row for row in changed})
            if rows:
                self.send(writer, {"index": self.version, "snapshot": False, "endpoints": list(rows.values())})
                self.note_told(rows.values())
            self.watches.append(writer)
            while True:  # "As long as nothing changes, an empty line arrives every 2 s."
                await asyncio.sleep(2)
                self.chunk(writer, b"\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()

    @staticmethod
    def chunk(writer, data):
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    def send(self, writer, event):
        self.chunk(writer, json.dumps(event).encode() + b"\n")

    def change(self, replicas):
        """Publishes the present state of these replicas as one change."""
        self.version += 1
        rows = [replica.row() for replica in replicas]
        self.changes.append((self.version, rows))
        for writer in list(self.watches):
            self.send(writer, {"index": self.version, "snapshot": False, "endpoints": rows})
        if self.watches:
            self.note_told(rows)
        self.world.record.write("list", index=self.version,
                                rows=[[row["name"], row["status"], row["since_ms"]] for row in rows])

    def note_told(self, rows):
        for row in rows:
            if row["status"] == "up":
                self.world.told.pop(row["name"], None)
            else:
                self.world.told.setdefault(row["name"], now())


class Channel:
    """The governor's channel: messages leave one after the other at a rate of lines, then travel to the proxy.

    `waiting` counts the lines that wait in it, heads included.
    """

    def __init__(self, world, lines_per_s, head, transit, transit_worst):
        self.world, self.rate, self.head = world, lines_per_s, head
        self.transit, self.worst = transit, transit_worst
        self.queue = deque()
        self.waiting = 0
        self.most_waiting = 0
        self.slower = 1.0
        self.wake = asyncio.Event()

    def enter(self, proxy, stream, parts):
        lines = self.head + sum(message_lines(part) for part in parts)
        self.waiting += lines
        self.most_waiting = max(self.most_waiting, self.waiting)
        if self.waiting > self.world.settings["extra"]["most_waiting"]:
            self.world.breach("queue", lines=self.waiting)
        self.queue.append((now(), lines, proxy, stream, parts))
        self.wake.set()

    async def run(self):
        free_at = now()
        while True:
            if not self.queue:
                self.wake.clear()
                await self.wake.wait()
                continue
            entered, lines, proxy, stream, parts = self.queue.popleft()
            free_at = max(now(), free_at) + lines / self.rate * self.slower
            await asyncio.sleep(max(0.0, free_at - now()))
            self.waiting = max(0, self.waiting - lines)
            transit = min(self.worst, self.world.chance.uniform(0.5, 1.5) * self.transit)
            due = max(now() + transit, proxy.last_due + 1e-4)  # messages reach a proxy in order
            proxy.last_due = due
            asyncio.get_running_loop().call_at(due, proxy.apply, stream, parts, entered)


def message_lines(part):
    lines = len(part.get("lines", ())) + len(part.get("out", ())) + len(part.get("back", ()))
    lines += 1 if part.get("whole") else 0
    lines += len(part["classes"]) if "level" in part and "classes" in part else int("level" in part)
    return lines + int("ticket" in part)


class Proxy:
    """A proxy: tables by class, withdrawn replicas, levels; does as it is told."""

    def __init__(self, world, number, zone, rate):
        self.world, self.number, self.zone, self.rate = world, number, zone, rate
        self.start_over()
        self.joined_at = None
        self.stream = None
        self.writer = None
        self.last_due = 0.0
        self.messages = deque()
        self.bare_since = {name: None for name in world.class_names}
        self.avoid = {}
        self.failures = {}
        self.reachable = True  # false: it is kept from its governor
        self.cut = asyncio.Event()

    def start_over(self):
        """What a proxy's process starts with: a standing table drawn from the list, in its zone if three are there."""
        self.cold = True
        listed = [r for r in self.world.replicas.values() if r.status == "up"]
        own = [r for r in listed if r.zone == self.zone]
        pool = own if len(own) >= 3 else listed
        standing = self.world.chance.sample(pool, min(self.world.bootstrap, len(pool)))
        self.tables = {name: {r.name: r.weight for r in standing} for name in self.world.class_names}
        self.phase = self.world.chance.random()
        self.out = set()
        self.level = {name: 1.0 for name in self.world.class_names}

    async def run(self):
        await asyncio.sleep(self.world.chance.uniform(0.0, 0.9))
        while True:
            while not self.reachable:
                await asyncio.sleep(0.05)
            try:
                await self.stream_once()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            self.left()
            await asyncio.sleep(self.world.chance.uniform(*self.world.redial))

    def left(self):
        if self.joined_at is not None:
            self.world.record.write("left", proxy=self.number)
        self.joined_at = self.stream = self.writer = None

    async def stream_once(self):
        reader, writer = await asyncio.open_connection(*self.world.listen, limit=1 << 21)
        try:
            self.stream, self.writer = object(), writer
            self.send({"@type": "SUBSCRIBE", "node": self.number, "locality": self.zone, "w": self.rate,
                       "cold": self.cold})
            self.joined_at = now()
            self.messages.clear()
            self.bare_since = {name: None for name in self.world.class_names}
            self.world.record.write("joined", proxy=self.number, cold=self.cold)
            parts = []
            while line := await self.next_line(reader):
                if not line.endswith(b"\n"):
                    return
                part = json.loads(line)
                if part["@type"] != "CONFIG":
                    continue
                parts.append(part)
                if not part.get("more"):
                    self.arrived(parts)
                    parts = []
        finally:
            writer.close()

    async def next_line(self, reader):
        """The next line; nothing once the proxy's stream is to break or to fall silent."""
        reading = asyncio.ensure_future(reader.readline())
        breaking = asyncio.ensure_future(self.cut.wait())
        try:
            await asyncio.wait({reading, breaking}, return_when=asyncio.FIRST_COMPLETED)
            if not self.cut.is_set():
                return await reading
            self.left()
            while not self.reachable:
                await asyncio.sleep(0.05)
            return b""
        finally:
            reading.cancel()
            breaking.cancel()
            self.cut.clear()

    def break_stream(self):
        self.cut.set()

    def arrived(self, parts):
        self.messages.append(now())
        while self.messages[0] < now() - self.world.messages_over:
            self.messages.popleft()
        self.world.most_messages = max(self.world.most_messages, len(self.messages))
        cap = self.world.settings["extra"]["update_cap"]
        if cap and len(self.messages) > cap:
            self.world.breach("messages", proxy=self.number, count=len(self.messages))
        self.world.record.write("message", proxy=self.number, parts=parts)
        self.world.channel.enter(self, self.stream, parts)

    def send(self, message):
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(json.dumps(message).encode() + b"\n")

    def apply(self, stream, parts, entered):
        if stream is not self.stream:
            return  # "Messages en route to it are lost."
        for part in parts:
            classes = part.get("classes", self.world.class_names)
            if part.get("whole"):
                self.cold = False
                for name in classes:
                    self.tables[name], self.level[name] = {}, 1.0
            for replica, weight in part.get("lines", ()):
                for name in classes:
                    if weight > 0:
                        self.tables[name][replica] = weight
                    else:
                        self.tables[name].pop(replica, None)
            self.out.update(part.get("out", ()))
            self.out.difference_update(part.get("back", ()))
            if "level" in part:
                for name in classes:
                    self.level[name] = part["level"]
            if "ticket" in part:
                self.world.record.write("applied", proxy=self.number, nonce=part["ticket"])
                self.send({"@type": "ACK", "node": self.number, "nonce": part["ticket"],
                           "latency": round((now() - entered) * 1000, 1)})

    def lines(self, name):
        lines = {r: w for r, w in self.tables[name].items() if r not in self.out and w > 0}
        if name in self.world.own_zone:
            lines = {r: w for r, w in lines.items() if self.world.replicas[r].zone == self.zone}
        return lines

    def pick(self, name):
        """Evenly by weight; a replica at which its own tries failed in a row is avoided for some seconds."""
        lines = self.lines(name)
        kept = {r: w for r, w in lines.items() if self.avoid.get(r, 0.0) <= now()} or lines
        if not kept:
            return None
        self.phase = (self.phase + GOLDEN) % 1.0
        left = self.phase * sum(kept.values())
        for replica, weight in kept.items():
            left -= weight
            if left < 0:
                return replica
        return replica

    async def take_requests(self):
        while True:
            await asyncio.sleep(self.world.pause(self.rate))
            name = self.world.chance.choices(self.world.class_names, self.world.class_shares)[0]
            self.world.add(("RATE", self, name), 1, 0)
            if self.world.chance.random() >= self.level[name]:
                continue
            replica = self.pick(name)
            self.world.on_send(self, name, replica)
            if replica is None:
                self.world.add(("RATE", self, name), 0, 1)
            else:
                asyncio.get_running_loop().create_task(self.attempt(name, replica))

    async def attempt(self, name, replica):
        started, server = now(), self.world.replicas[replica]
        if not server.alive:
            await asyncio.sleep(0.002)  # refused
            good = False
        elif not server.answers:
            await asyncio.sleep(self.world.try_timeout)
            good = False
        else:
            good = self.world.chance.random() >= server.error_rate
            await asyncio.sleep(self.world.service_time() * server.slow if good else 0.01)
        self.world.met(self.zone, replica, good, now() - started)
        self.world.record.write("answer" if good else "failed", proxy=self.number, cls=name, by=replica,
                                ms=round((now() - started) * 1000))
        if good:
            self.failures[replica] = 0
        else:
            self.world.add(("RATE", self, name), 0, 1)
            self.failures[replica] = self.failures.get(replica, 0) + 1
            if self.world.ejects and self.failures[replica] >= self.world.ejects:
                self.failures[replica] = 0
                self.avoid[replica] = now() + self.world.chance.uniform(2.1, 8.0)


class World:
    """One governor with its surroundings."""

    def __init__(self, folder, settings, seed, *, trouble):
        self.folder, self.settings, self.trouble = Path(folder), settings, trouble
        self.record = Record(self.folder / "record.txt")
        self.chance = random.Random(seed)
        extra = settings["extra"]
        self.class_names = [c["name"] for c in settings["categories"]]
        self.class_shares = [1.0 for _ in self.class_names]
        self.own_zone = {name for name, own in zip(self.class_names, extra["class_own_zone"]) if own}
        self.bootstrap = extra["bootstrap"]
        self.ejects = extra["ejects"]
        self.redial = (0.45, 2.1)
        self.service = (0.2, 0.4)
        self.try_timeout = 2.0
        self.evenness = 0.0
        self.report_late = (0.6, 1.0)
        self.messages_over = extra.get("messages_over_us", 10_000_000) / 1e6
        self.grace = settings["rules"]["drain_grace_us"] / 1e6
        self.warm_after = settings["rules"]["warm_after_us"] / 1e6
        self.bare_limit = extra["unserved_max_us"] / 1e6
        self.replicas, self.proxies = {}, []
        self.told = {}  # replica -> when the governor was told that it drains or is gone
        self.ready_at = None
        self.agent = Agent(self)
        self.channel = Channel(self, extra["channel_rate"], extra["per_message"], extra["transit_us"] / 1e6,
                               extra["worst_transit_us"] / 1e6)
        self.process = None
        self.crashed = None
        self.sums, self.cycle_sums = {}, {}
        self.most_reports = 0.0
        self.collectors = {}
        self.started = now()
        self.cycle = extra["cycle_us"] / 1e6
        self.reports_per_s = extra["reports_per_s"]
        self.sent = 0
        self.most_messages = 0
        self.breaches = []
        self.bare_told = set()
        self.longest_bare = 0.0
        self.tmp = Path(tempfile.mkdtemp(prefix="wrenthread-review-"))
        self.tasks = []

    def pause(self, rate):
        """From one request at a proxy to the next: `evenness` 0 is Poisson's, 1 a steady stream."""
        return self.evenness / rate + (1 - self.evenness) * self.chance.expovariate(rate)

    def service_time(self):
        return self.chance.uniform(*self.service)

    # What proxies do.

    def on_send(self, proxy, name, replica):
        self.sent += 1
        self.record.write("send", proxy=proxy.number, cls=name, to=replica)
        told = self.told.get(replica)
        if proxy.joined_at is None or told is None or self.ready_at is None:
            return
        due = max(told, proxy.joined_at, self.ready_at + 1.0) + self.grace + SLACK
        if now() > due:
            self.breach("drain", proxy=proxy.number, replica=replica, told_s_ago=round(now() - told, 3),
                        over_by_s=round(now() - due, 3))

    def breach(self, rule, **fields):
        self.breaches.append((rule, fields))
        self.record.write("BREACH", rule=rule, **fields)

    def met(self, zone, replica, good, took):
        self.add(("LOAD", zone, replica), 1, int(not good), took if good else 0.0)

    async def check_bare(self):
        """Rule 1: a joined proxy with no line to pick for a class, while the list shows an open, warm replica."""
        while True:
            await asyncio.sleep(0.05)
            at, wall = now(), time.time()
            warm = {r.zone for r in self.replicas.values() if r.status == "up" and
                    (r.since_ms == 0 or wall - r.since_ms / 1000 >= self.warm_after)}
            for proxy in self.proxies:
                for name in self.class_names:
                    is_open = proxy.zone in warm if name in self.own_zone else bool(warm)
                    if proxy.joined_at is None or self.ready_at is None or not is_open or proxy.lines(name):
                        self.bare_ended(proxy, name)
                        continue
                    since = proxy.bare_since[name]
                    if since is None:
                        proxy.bare_since[name] = max(at, self.ready_at + 1.0)
                        self.record.write("bare", proxy=proxy.number, cls=name)
                    elif at - since > self.bare_limit + SLACK and (proxy, name) not in self.bare_told:
                        self.bare_told.add((proxy, name))
                        self.breach("bare", proxy=proxy.number, cls=name, for_s=round(at - since, 3))

    def bare_ended(self, proxy, name):
        since, proxy.bare_since[name] = proxy.bare_since[name], None
        self.bare_told.discard((proxy, name))
        if since is not None:
            self.longest_bare = max(self.longest_bare, now() - since)
            self.record.write("bare ended", proxy=proxy.number, cls=name, for_s=round(now() - since, 3))

    # Reports: sums over a cycle or more, late, and at most so many lines a second, the oldest first.

    def add(self, key, total, errors, seconds=0.0):
        sums = self.cycle_sums.setdefault(key, [0, 0, 0.0])
        sums[0] += total
        sums[1] += errors
        sums[2] += seconds

    async def report(self):
        """At the end of each cycle its sums join what still waits, and as many lines as allowed are sent, oldest first."""
        cycle = 0
        while True:
            cycle += 1
            await asyncio.sleep(max(0.0, self.started + cycle * self.cycle - now()))
            for key, (total, errors, seconds) in sorted(self.cycle_sums.items(), key=lambda item: item[0][0]):
                waiting = self.sums.setdefault(key, [0, 0, 0.0, cycle, cycle])
                waiting[0] += total
                waiting[1] += errors
                waiting[2] += seconds
                waiting[4] = cycle
            self.cycle_sums.clear()
            late = self.chance.uniform(*self.report_late)
            lines = int(self.reports_per_s * self.cycle)
            self.most_reports = max(self.most_reports, len(self.sums) / lines)
            for key in list(self.sums)[:lines]:
                sums = self.sums.pop(key)
                self.report_line(key, sums, (sums[4] - sums[3] + 1) * self.cycle * 1000, late)

    def report_line(self, key, sums, interval, late):
        total, errors, seconds = sums[:3]
        line = {"total": total, "errors": errors, "interval": interval}
        if key[0] == "RATE":
            _, proxy, name = key
            line = {"@type": "RATE", "node": proxy.number, "route": name, **line}
            asyncio.get_running_loop().call_later(late, self.late_usage, proxy, proxy.stream, line)
            return
        _, zone, replica = key
        line = {"@type": "LOAD", "locality": zone, "endpoint": replica, **line,
                "metrics": {"queue": 0.0, "latency_ms": 300.0}}
        if total > errors:
            line["rtt"] = seconds / (total - errors) * 1000
        asyncio.get_running_loop().call_later(late, self.late_load, zone, line)

    @staticmethod
    def late_usage(proxy, stream, message):
        if proxy.stream is stream:
            proxy.send(message)

    def late_load(self, zone, message):
        writer = self.collectors.get(zone)
        if writer is not None and not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    async def collect(self, zone):
        """Keeps a zone's collector connected."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(json.dumps({"@type": "SOURCE", "locality": zone}).encode() + b"\n")
                self.collectors[zone] = writer
                await reader.read()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.3)

    # The governor.

    def write_config(self, discovery, known):
        config = {"name": "n0", "listen": "%s:%d" % self.listen, "discovery": "%s:%d" % discovery,
                  "seed": "%016x" % self.chance.getrandbits(64),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": known, "settings": self.settings}
        (self.tmp / "config.json").write_text(json.dumps(config))

    async def start_governor(self):
        with open(ROOT / "deploy/balancer.toml", "rb") as deploy:
            command = tomllib.load(deploy)["run"]
        private = self.tmp / "private"
        shutil.rmtree(private, ignore_errors=True)
        private.mkdir()
        environment = {**os.environ, "TMPDIR": str(private), "RELAY_NAME": "n0",
                       "RELAY_LISTEN": "%s:%d" % self.listen, "RELAY_DISCOVERY": "%s:%d" % self.discovery,
                       "RELAY_CONFIG": str(self.tmp / "config.json")}
        with open(self.folder / "governor.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.record.write("governor started", command=command)
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun("the governor ended before it answered")
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b'{"@type":"PING"}\n')
                answer = await asyncio.wait_for(reader.readline(), 5)
                writer.close()
                if b"PONG" in answer:
                    self.ready_at = now()
                    self.record.write("governor ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the governor was not ready within 30 s")

    async def start(self):
        if not (ROOT / "target/release/wrenthread").exists():
            raise CannotRun("target/release/wrenthread is missing: run the deploy file's `build` first")
        (self.folder / "governor.log").unlink(missing_ok=True)
        self.listen = free_address()
        self.discovery = await self.agent.start()
        self.write_config(self.discovery, self.agent.snapshot())
        await self.start_governor()
        self.spawn(self.channel.run())
        self.spawn(self.check_bare())
        self.spawn(self.report())
        for zone in self.settings["zones"]:
            self.spawn(self.collect(zone))

    async def end_governor(self, how):
        """Ends the governor's process; what its channel held is lost with it."""
        self.record.write("governor ended", signal=how.name)
        self.process.send_signal(how)
        await self.process.wait()
        self.ready_at = None
        self.channel.queue.clear()
        self.channel.waiting = 0
        self.told.clear()

    async def restart_governor(self, known):
        """Starts it again; `known` is the list as it last had it."""
        self.write_config(self.discovery, known)
        for row in known["endpoints"]:
            if row["status"] != "up":
                self.told[row["name"]] = now()
        await self.start_governor()

    def add_proxies(self, count, rate_total, variation=0.0):
        """Adds proxies whose requests a second vary: most carry little traffic, some far more."""
        zones = self.settings["zones"]
        spread = math.sqrt(math.log(1 + variation ** 2))
        parts = [math.exp(self.chance.gauss(0.0, spread)) for _ in range(count)]
        for number, part in enumerate(parts):
            proxy = Proxy(self, number, zones[number % len(zones)], rate_total * part / sum(parts))
            self.proxies.append(proxy)
            self.spawn(proxy.run())
            self.spawn(proxy.take_requests())

    def spawn(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def check_alive(self):
        if self.process.returncode is not None:
            self.breach("crash", exit_code=self.process.returncode)
            return False
        return True

    def failed_tasks(self):
        return [task.exception() for task in self.tasks
                if task.done() and not task.cancelled() and task.exception()]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


def main(folder, settings, seed, setup, play, rule):
    """Calls `setup(world)`, starts the governor, runs `play(world)`, and exits with 1 if `rule` was broken, 0 if it
    held, 2 if the case couldn't run. Breaches of other rules are recorded, too; a crash always counts."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", seed))

    async def run():
        world = World(folder, settings, seed, trouble=trouble)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            world.record.write("case", trouble=trouble, seed=seed)
            setup(world)
            await world.start()
            await play(world)
            world.check_alive()
            for error in world.failed_tasks():
                raise CannotRun(f"a stand-in failed: {error!r}")
            if world.sent == 0:
                raise CannotRun("no request was sent")
            broken = [breach for breach in world.breaches if breach[0] in (rule, "crash")]
            others = sorted({other for other, _ in world.breaches} - {rule, "crash"})
            text = (f"rule {rule}: {'broken ' + str(len(broken)) + ' times' if broken else 'held'}; requests sent "
                    f"{world.sent}; most lines waiting {world.channel.most_waiting:.0f}; most messages to a proxy within "
                    f"{world.messages_over:.0f} s {world.most_messages}; longest without a line {world.longest_bare:.1f} s;"
                    f" report lines over those allowed {world.most_reports:.2f}; others broken: {others or 'none'}")
            world.record.write("verdict", text=text)
            print(text)
            for name, fields in broken[:5]:
                print("  ", name, fields)
            return 1 if broken else 0
        except CannotRun as error:
            world.record.write("could not run", reason=str(error))
            print("could not run:", error)
            return 2
        finally:
            await world.stop()
            world.record.close()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # a fault of the stand-ins is no verdict
        print("could not run:", repr(error))
        code = 2
    sys.exit(code)
