"""Stand-ins for the platform that `wrenthread node` runs on, for the cases of the second review.

One asyncio process plays discovery's agent, the zones' collectors, the proxies and the replicas, on loopback addresses and the
real clock. The governor is the project's own program, started by the `run` line of the deploy file. What crosses the sockets is
written to a record, which the case's check reads.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ["kista", "solna", "akalla", "sundbyberg"]
CLASSES = [  # name, share, objective, deadline, worth, effect: gate-prod's
    ("plate-match", 0.63, 2.0, 5.0, 3.0, "retryable"),
    ("space-count", 0.19, 1.0, 2.5, 1.0, "retryable"),
    ("exit-charge", 0.18, 1.5, 5.0, 3.0, "fragile"),
]


class CannotRun(Exception):
    """The case could not be played; its exit code is 2."""


def settings(agents, classes=CLASSES, **changes):
    """The settings object, in the form and with the figures of the wire page's example."""
    extra = {
        "agents": agents, "bootstrap": 12, "by_zone": True, "channel_rate": 12900.0,
        "class_own_zone": [False] * len(classes), "cycle_us": 500000, "ejects": 3, "first_wait": 1.0, "hold_us": 300000,
        "in_flight_max_us": 5020000, "lb_method": "wheel", "level_kind": "ratio", "messages_over_us": 10000000,
        "most_waiting": 25800.0, "move_price": 0.01, "one_owner": False, "order_price": 0.02, "per_message": 10.0,
        "reports_per_s": 600.0, "retry_default": 0, "shards": 0, "smallest_conn_table": 124.0, "transit_us": 341000,
        "unserved_max_us": 5200000, "update_cap": 30, "warm_keys": False, "worst_transit_us": 852500,
        "write_lease_us": 2500000, "writers": [effect == "fragile" for *_, effect in classes],
    }
    extra.update(changes.pop("extra", {}))
    result = {
        "categories": [
            {"deadline_us": int(deadline * 1e6), "effect": effect, "group": "all", "key_ttl_us": 5000000, "late_worth": 0.1,
             "name": name, "objective_us": int(objective * 1e6), "worth": worth}
            for name, _, objective, deadline, worth, effect in classes],
        "extra": extra, "family": "control", "kinds": ["two-core", "one-core"],
        "limits": {"conn_idle_us": 15000000, "connect_timeout_us": 250000, "cpu_us_per_s": 508701, "max_streams": 32,
                   "may_tell": False, "probes": False},
        "membership_mode": "automatic", "my_number": 0,
        "penalties": {"connection": 0.02, "cross_zone": 0.08, "handshake": 0.04, "late_fail": 0.08, "peer": 0.0,
                      "probe": 0.0, "waste": 0.03},
        "report": {"fields": ["queue", "latency_ms"], "how": "answers"},
        "rules": {"cold_from": 0.22, "drain_grace_us": 2000000, "fall_multiple": 2.5, "must_ask_in_us": 10000000,
                  "overload_for_us": 1500000, "warm_after_us": 18000000},
        "siblings": 1, "tick_us": 4000, "weight_kind": "nominal", "worth_by": "request", "zone": 0, "zones": ZONES,
    }
    result.update(changes)
    return result


class Record:
    """What happened, in the order of time: one JSON object a line."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")
        self.events = []

    def __call__(self, kind, **fields):
        at = round(time.time() - self.start, 3)
        self.events.append((at, kind, fields))
        self.file.write(json.dumps({"at": at, "what": kind, **fields}) + "\n")

    def now(self):
        return time.time() - self.start

    def note(self, text):
        self("note", text=text)
        print(f"{self.now():7.2f}  {text}", flush=True)

    def of(self, kind):
        return [(at, fields) for at, what, fields in self.events if what == kind]


class Replica:
    """A server on a socket of its own. It answers each request after a fixed time, unless it hangs; one that drains completes
    what it has and declines the rest; one that was removed has no socket."""

    def __init__(self, record, name, zone, weight=1.0, since_ms=0, service=0.2):
        self.record, self.name, self.zone, self.weight = record, name, zone, weight
        self.since_ms, self.service = since_ms, service
        self.hanging = False
        self.draining = False
        self.address = None
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                asyncio.ensure_future(self.answer(line.decode().split(), writer))
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)

    async def answer(self, request, writer):
        number, proxy, name = request
        self.record("arrived", replica=self.name, request=int(number), proxy=int(proxy), route=name)
        result = "declined"
        if not self.draining:
            if self.hanging:
                return
            await asyncio.sleep(self.service)
            result = "ok"
        try:
            writer.write(f"{number} {result}\n".encode())
        except (ConnectionError, RuntimeError):
            pass

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.close()


class Discovery:
    """Discovery's agent for one governor: the whole list, and a watch of changes."""

    def __init__(self, record):
        self.record = record
        self.index = 41
        self.entries = {}
        self.changes = []  # (index, entry)
        self.watches = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def load(self, replicas):
        for replica in replicas:
            self.entries[replica.name] = self.entry(replica, "up")

    @staticmethod
    def entry(replica, status):
        return {"name": replica.name, "address": "%s:%d" % replica.address, "zone": replica.zone, "type": "two-core", "group": 0,
                "status": status, "weight": replica.weight, "since_ms": replica.since_ms}

    def list(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, replica, status):
        self.index += 1
        entry = self.entry(replica, status)
        if status == "removed":
            self.entries.pop(replica.name, None)
        else:
            self.entries[replica.name] = entry
        self.changes.append((self.index, entry))
        for event in list(self.watches):
            event.set()
        self.record("list", index=self.index, replica=replica.name, status=status)

    async def serve(self, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
            path, _, query = request.partition("?")
            assert path == "/registry/instances", request
            arguments = dict(part.split("=") for part in query.split("&") if part)
            if "watch" in arguments:
                await self.watch(int(arguments["from"]), writer)
            else:
                body = json.dumps(self.list()).encode()
                self.record("told", whole=True, index=self.index, replicas=sorted(self.entries))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def watch(self, version, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        event = asyncio.Event()
        self.watches.add(event)
        self.record("watch", version=version)
        try:
            while self.server.is_serving():
                event.clear()
                newest = {}
                for index, entry in self.changes:
                    if index > version:
                        newest[entry["name"]] = entry
                line = b"\n"
                if newest:
                    version = self.index
                    change = {"index": version, "snapshot": False, "endpoints": list(newest.values())}
                    line = json.dumps(change).encode() + b"\n"
                    self.record("told", whole=False, index=version,
                                entries=[[entry["name"], entry["status"]] for entry in newest.values()])
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(event.wait(), 2.0)
        finally:
            self.watches.discard(event)


class Governor:
    """The governor, as a process of the deploy file's `run` line."""

    def __init__(self, record, discovery, configuration, name="n0", folder=None):
        self.record, self.discovery, self.configuration, self.name = record, discovery, configuration, name
        self.folder = Path(folder or tempfile.mkdtemp(prefix="review-"))
        self.process = None
        self.known = None  # the list as this governor last had it
        self.logs = 0
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.listen = f"127.0.0.1:{self.port}"
        self.channel_free_at = 0.0
        self.lines_per_second = configuration["extra"]["channel_rate"]
        self.head = configuration["extra"]["per_message"]

    def write_config(self):
        """Writes the configuration, with the list as this governor last had it."""
        config = {"name": self.name, "listen": self.listen, "discovery": self.discovery.address, "seed": "%016x" % random.getrandbits(64),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": self.known or self.discovery.list(),
                  "settings": self.configuration}
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").replace(path)
        return path

    async def start(self):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if not (ROOT / "target/release/wrenthread").exists():
            raise CannotRun("the build of the deploy file has not been run")
        path = self.write_config()
        known = self.known or self.discovery.list()
        self.record("known", index=known["index"], replicas=sorted(entry["name"] for entry in known["endpoints"]))
        self.logs += 1
        log = open(self.folder / f"log-{self.logs}", "wb")
        environment = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN=self.listen, RELAY_DISCOVERY=self.discovery.address,
                           RELAY_CONFIG=str(path), TMPDIR=str(self.folder))
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"the governor ended at its start: {(self.folder / f'log-{self.logs}').read_text()[-500:]}")
            if await self.ping():
                self.record("ready", governor=self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the governor was not ready within 30 s")

    async def ping(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b'{"@type":"PING"}\n')
            answer = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
            return b"PONG" in answer
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self, number):
        if self.process and self.process.returncode is None:
            self.record("signal", governor=self.name, signal=signal.Signals(number).name)
            self.known = self.discovery.list()  # the agent writes each change at once
            self.process.send_signal(number)
            await self.process.wait()

    def log_text(self):
        return "".join((self.folder / f"log-{number}").read_text(errors="replace") for number in range(1, self.logs + 1))


class Table:
    def __init__(self, lines):
        self.lines = dict(lines)
        self.credit = {}

    def pick(self, allowed):
        """Evenly by weight: smooth weighted round robin over the allowed lines."""
        weights = {name: weight for name, weight in self.lines.items() if allowed(name)}
        if not weights:
            return None
        for name, weight in weights.items():
            self.credit[name] = self.credit.get(name, 0.0) + weight
        best = max(weights, key=lambda name: self.credit[name])
        self.credit[best] -= sum(weights.values())
        return best


class Proxy:
    """A proxy: follows its tables and nothing more."""

    def __init__(self, world, number, zone, rate):
        self.world, self.record, self.number, self.zone, self.rate = world, world.record, number, zone, rate
        self.chance = random.Random(1000 + number)
        self.cold = True
        self.out = set()
        self.levels = {name: (1.0, 0) for name, *_ in self.world.classes}
        listed = [entry for entry in world.discovery.entries.values()]
        own = [entry for entry in listed if entry["zone"] == zone]
        pool = own if len(own) >= 3 else listed
        drawn = self.chance.sample(pool, min(len(pool), world.settings["extra"]["bootstrap"]))
        lines = {entry["name"]: entry["weight"] for entry in drawn}
        table = Table(lines)  # the standing one, of all classes
        self.tables = {name: table for name, *_ in self.world.classes}
        self.joined_at = None
        self.stream = None
        self.governor = None  # of the present stream
        self.reachable = True
        self.failures = {}
        self.avoided = {}
        self.links = {}
        self.counts = {}

    # The stream to the governor.

    async def follow(self):
        await asyncio.sleep(self.chance.uniform(0.1, 1.0))
        while True:
            # Its own zone's governor first, another one if need be.
            governors = self.world.governors
            home = self.world.settings["zones"].index(self.zone) % len(governors)
            for governor in governors[home:] + governors[:home]:
                if self.reachable:
                    try:
                        await self.connected(governor)
                        break
                    except (OSError, asyncio.IncompleteReadError):
                        pass
            await asyncio.sleep(self.chance.uniform(0.45, 2.1))

    async def connected(self, governor):
        reader, writer = await asyncio.open_connection("127.0.0.1", governor.port)
        self.governor, self.stream = governor, writer
        self.send({"@type": "SUBSCRIBE", "node": self.number, "locality": self.zone, "w": self.rate, "cold": self.cold})
        self.joined_at = self.record.now()
        self.record("joined", proxy=self.number, governor=governor.name, cold=self.cold, lines=sorted(self.tables[self.world.classes[0][0]].lines), out=sorted(self.out))
        queue = asyncio.Queue()
        applying = asyncio.ensure_future(self.apply_messages(queue, writer))
        parts = []
        ended = "by the governor"
        try:
            while line := await reader.readline():
                message = json.loads(line)
                if message["@type"] != "CONFIG":
                    self.record("received", proxy=self.number, message=message)
                    continue
                parts.append(message)
                if not message.get("more"):
                    queue.put_nowait((self.record.now(), self.due(parts), parts))
                    self.record("received", proxy=self.number, message=parts)
                    parts = []
        except OSError as error:
            ended = repr(error)
        finally:
            applying.cancel()
            self.stream = None
            self.joined_at = None
            self.record("left", proxy=self.number, ended=ended)
            writer.close()

    def due(self, parts):
        """When a message that has entered the channel now takes effect: after those before it, and its way."""
        governor = self.governor
        lines = governor.head
        for part in parts:
            lines += len(part.get("lines", [])) + len(part.get("out", [])) + len(part.get("back", []))
            lines += sum(1 for field in ("level", "ticket", "whole") if field in part)
        governor.channel_free_at = max(self.record.now(), governor.channel_free_at) + lines / governor.lines_per_second
        transit = self.world.settings["extra"]["transit_us"] / 1e6
        return governor.channel_free_at + transit * self.chance.uniform(0.6, 1.4)

    async def apply_messages(self, queue, writer):
        last = 0.0
        while True:
            entered, due, parts = await queue.get()
            last = max(last, due)
            await asyncio.sleep(max(0.0, last - self.record.now()))
            tickets = [self.apply(part) for part in parts]
            self.record("applied", proxy=self.number)
            for ticket in tickets:
                if ticket is not None:
                    latency = round(1000 * (self.record.now() - entered), 1)
                    self.send({"@type": "ACK", "node": self.number, "nonce": ticket, "latency": latency}, writer)

    def apply(self, part):
        names = part.get("classes") or [name for name, *_ in self.world.classes]
        whole = Table({})
        for name in names:
            table = self.tables[name]
            if part.get("whole"):
                table = self.tables[name] = whole
                self.levels[name] = (1.0, self.world.settings["extra"]["retry_default"])
                self.cold = False
            for replica, weight in part.get("lines", []):
                self.cold = False
                if weight > 0:
                    table.lines[replica] = weight
                else:
                    table.lines.pop(replica, None)
            if "level" in part:
                self.levels[name] = (part["level"], part["retry"])
        self.out.update(part.get("out", []))
        self.out.difference_update(part.get("back", []))
        return part.get("ticket")

    def send(self, message, writer=None):
        writer = writer or self.stream
        if writer and not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    def cut(self):
        """The way to all governors is cut: the stream breaks and no other comes up."""
        self.reachable = False
        if self.stream:
            self.stream.transport.abort()

    # Requests.

    def usable(self, name):
        return name not in self.out and self.avoided.get(name, 0.0) <= self.record.now()

    async def offer(self):
        """A steady client: requests at even intervals, with a little jitter."""
        due = self.record.now() + self.chance.uniform(0.0, 1.0) / self.rate
        while True:
            await asyncio.sleep(max(0.0, due - self.record.now()))
            due += self.chance.uniform(0.9, 1.1) / self.rate
            name = self.chance.choices([name for name, *_ in self.world.classes], [share for _, share, *_ in self.world.classes])[0]
            asyncio.ensure_future(self.request(name))

    async def request(self, name):
        counts = self.counts.setdefault(name, [0, 0])
        counts[0] += 1
        level, retry = self.levels[name]
        if self.chance.random() >= level:
            self.record("refused", proxy=self.number, route=name, why="level")
            return
        tried = set()
        for attempt in range(2 if retry else 1):
            replica = self.tables[name].pick(lambda other: self.usable(other) and other not in tried)
            if replica is None:
                if not tried:
                    self.record("refused", proxy=self.number, route=name, why="no replica",
                                listed=not [line for line in self.tables[name].lines if line not in self.out])
                break
            tried.add(replica)
            result = await self.attempt(replica, name)
            if result == "ok":
                return
            if result != "declined":  # no proof that it never ran
                break
        counts[1] += 1

    async def attempt(self, replica, name):
        number = self.world.next_request()
        self.record("sent", proxy=self.number, replica=replica, request=number, route=name, joined=self.joined_at is not None)
        deadline = next(deadline for other, _, _, deadline, *_ in self.world.classes if other == name)
        started = self.record.now()
        try:
            result = await asyncio.wait_for(self.exchange(replica, number, name), deadline)
        except asyncio.TimeoutError:
            result = "late"
        self.record("answered", request=number, result=result)
        if self.stream:
            self.world.collect((self.governor, self.zone), replica, result == "ok", self.record.now() - started)
        if result == "ok":
            self.failures[replica] = 0
        else:
            self.failures[replica] = self.failures.get(replica, 0) + 1
            if self.failures[replica] >= self.world.settings["extra"]["ejects"]:
                self.failures[replica] = 0
                self.avoided[replica] = self.record.now() + self.chance.uniform(2.1, 8.0)
        return result

    async def exchange(self, replica, number, name):
        link = self.links.get(replica)
        if link is None or link[0].is_closing():
            address = self.world.replicas[replica].address
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 0.25)
            except (OSError, asyncio.TimeoutError):
                return "declined"  # refused: it never ran
            link = self.links[replica] = (writer, {})
            asyncio.ensure_future(self.answers(reader, link))
        writer, waiting = link
        answer = waiting[number] = asyncio.get_running_loop().create_future()
        writer.write(f"{number} {self.number} {name}\n".encode())
        try:
            return await answer
        finally:
            waiting.pop(number, None)

    async def answers(self, reader, link):
        writer, waiting = link
        try:
            while line := await reader.readline():
                number, result = line.decode().split()
                answer = waiting.get(int(number))
                if answer and not answer.done():
                    answer.set_result(result)
        except ConnectionError:
            pass
        writer.close()
        for answer in list(waiting.values()):
            if not answer.done():
                answer.set_result("broken")

    async def usage(self):
        period = self.world.settings["extra"]["cycle_us"] / 1e6
        while True:
            await asyncio.sleep(period)
            counts, self.counts = self.counts, {}
            stream = self.stream
            if stream:
                asyncio.ensure_future(self.report(stream, counts, 1000 * period))

    async def report(self, stream, counts, interval):
        await asyncio.sleep(self.chance.uniform(0.6, 0.9))
        for name, (total, errors) in counts.items():
            self.send({"@type": "RATE", "node": self.number, "route": name, "total": total, "errors": errors, "interval": interval},
                      stream)


class World:
    def __init__(self, record, configuration, folder, classes=CLASSES):
        self.record, self.settings, self.folder, self.classes = record, configuration, folder, classes
        self.discovery = Discovery(record)
        self.replicas = {}
        self.proxies = []
        self.governors = []
        self.requests = 0
        self.sums = {}
        self.tasks = []
        self.failed = False

    def next_request(self):
        self.requests += 1
        return self.requests

    async def add_replica(self, name, zone, **kind):
        replica = Replica(self.record, name, zone, **kind)
        await replica.start()
        self.replicas[name] = replica
        return replica

    @property
    def governor(self):
        return self.governors[0]

    async def start(self, governors=1):
        await self.discovery.start()
        self.discovery.load(self.replicas.values())
        for number in range(governors):
            configuration = dict(self.settings, siblings=governors, my_number=number)
            folder = Path(self.folder) / f"n{number}"
            folder.mkdir()
            governor = Governor(self.record, self.discovery, configuration, f"n{number}", folder)
            self.governors.append(governor)
            await governor.start()
            for zone in self.settings["zones"]:
                self.spawn(self.collector(governor, zone))

    def add_proxy(self, zone, rate):
        proxy = Proxy(self, len(self.proxies), zone, rate)
        self.proxies.append(proxy)
        for loop in (proxy.follow, proxy.offer, proxy.usage):
            self.spawn(loop())
        return proxy

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self.check_task)
        self.tasks.append(task)

    def check_task(self, task):
        if not task.cancelled() and task.exception():
            print("a stand-in failed:", repr(task.exception()), file=sys.stderr, flush=True)
            self.record("stand-in failed", error=repr(task.exception()))
            self.failed = True

    def collect(self, source, replica, succeeded, took):
        total = self.sums.setdefault(source, {}).setdefault(replica, [0, 0, 0.0])
        total[0] += 1
        total[1] += not succeeded
        total[2] += took if succeeded else 0.0

    async def collector(self, governor, zone):
        """The zone's collector: each period's sums, late."""
        period = self.settings["extra"]["cycle_us"] / 1e6
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", governor.port)
                writer.write(json.dumps({"@type": "SOURCE", "locality": zone}).encode() + b"\n")
                closed = asyncio.ensure_future(reader.read())
                while not closed.done():
                    await asyncio.sleep(period)
                    sums = self.sums.pop((governor, zone), {})
                    asyncio.ensure_future(self.forward(writer, zone, sums, 1000 * period))
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.5)

    async def forward(self, writer, zone, sums, interval):
        await asyncio.sleep(0.6)
        for replica, (total, errors, took) in sums.items():
            good = total - errors
            message = {"@type": "LOAD", "locality": zone, "endpoint": replica, "total": total, "errors": errors, "interval": interval}
            if good:
                message["rtt"] = round(1000 * took / good, 1)
                message["metrics"] = {"queue": 0.0, "latency_ms": 1000 * self.replicas[replica].service}
            if not writer.is_closing():
                writer.write(json.dumps(message).encode() + b"\n")

    async def drain(self, replica, seconds):
        """A planned removal: the replica is listed as draining, completes what it has, and is then gone."""
        self.record.note(f"{replica.name} is listed as draining")
        replica.draining = True
        self.discovery.change(replica, "draining")
        await asyncio.sleep(seconds)
        self.record.note(f"{replica.name} is removed")
        self.discovery.change(replica, "removed")
        replica.stop()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for governor in self.governors:
            await governor.stop(signal.SIGKILL)
        for replica in self.replicas.values():
            replica.stop()
        if self.failed:
            raise CannotRun("a stand-in failed")


def play(folder, case, limit=115):
    """Plays `case(record, trouble, temporary)`, which returns whether the rule held, and exits with the script's code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    temporary = tempfile.mkdtemp(prefix="review-")
    code = 2

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, trouble, temporary), limit)

    try:
        code = 0 if asyncio.run(run()) else 1
    except (Exception, asyncio.CancelledError) as error:  # also a fault of a stand-in: only the check may say that the rule was broken
        record.note(f"the case could not run: {error!r}")
    finally:
        for log in sorted(Path(temporary).glob("**/log-*")):
            for line in log.read_text(errors="replace").splitlines():
                record("governor's log", line=line)
        record.file.close()
        shutil.rmtree(temporary, ignore_errors=True)
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code], flush=True)
    sys.exit(code)
