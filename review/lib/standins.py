"""Stand-ins for the platform of the review's scripts.

A store, replicas and clients that follow the users' pages, and the start and
end of gateway processes. Only the standard library is used. All addresses are
loopback addresses with free ports.
"""

import asyncio
import base64
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

ID = "X-Dragonflyglade-Attempt-Id"
SIGNATURE = "X-Dragonflyglade-Server-Signature"
NOT_EXECUTED = "X-Dragonflyglade-Not-Executed"
INSTANCE = "X-Dragonflyglade-Target-Instance"
STORE_ANSWER_S = 0.004
STARTED = time.monotonic()
PASSED, BROKEN, NOT_RUN = 0, 1, 2
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run into record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (now(), text))
        self.file.flush()

    def show(self, text):
        self.write(text)
        print(text, flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Message:
    """A request or response: its first line, fields and body."""

    def __init__(self, line, fields, body=b""):
        self.line = line
        self.fields = fields
        self.body = body
        self.complete = True

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.line.split()[1])


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1))
              for line in lines[1:] if ":" in line]
    return Message(lines[0], fields)


async def read_body(reader, message, on_bytes=None):
    """Reads the body by its framing. A cut clears message.complete."""
    take = on_bytes or (lambda data: None)
    try:
        if message.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                data = await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return
                message.body += data
                take(data)
        length = int(message.get("Content-Length", "0"))
        message.body = await reader.readexactly(length)
        take(message.body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False


async def read_request(reader):
    try:
        message = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    await read_body(reader, message)
    return message if message.complete else None


def response(status, fields=(), body=b""):
    reasons = {200: "OK", 202: "Accepted", 403: "Forbidden", 404: "Not Found",
               409: "Conflict", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "Status"))
    head += "".join("%s: %s\r\n" % field for field in fields)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode() + body


def json_response(status, document):
    body = json.dumps(document).encode()
    return response(status, [("Content-Type", "application/json")], body)


def query_of(target):
    path, _, query = target.partition("?")
    values = {}
    for item in query.split("&"):
        key, _, value = item.partition("=")
        data = bytearray()
        i = 0
        while i < len(value):
            if value[i] == "%":
                data.append(int(value[i + 1:i + 3], 16))
                i += 3
            else:
                data.append(ord(value[i]))
                i += 1
        values[key] = data.decode()
    return path, values


class Store:
    """The platform's store. Each machine calls it at an address of its own, so
    that it can turn single machines away."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.changes = []
        self.revision = 100
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        self.busy = set()  # names of machines that get 503
        self.servers = []

    async def listen(self, machine, ip="127.0.0.1"):
        server = await asyncio.start_server(
            lambda r, w: self.serve(machine, r, w), ip, 0, limit=1 << 22)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, machine, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await asyncio.sleep(STORE_ANSWER_S)
                if machine in self.busy:
                    self.record.write("store turns %s away: %s" %
                                      (machine, request.line))
                    writer.write(response(503))
                else:
                    writer.write(await self.answer(machine, request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, machine, request):
        method, target, _ = request.line.split(" ")
        path, query = query_of(target)
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return json_response(404, {})
            return json_response(200, dict(self.show(query["key"]),
                                           current_rev=self.revision))
        if path == "/-/kv-range":
            prefix = query.get("prefix", "")
            keys = sorted(key for key in self.items if key.startswith(prefix)
                          and key > query.get("after", ""))
            page = keys[:500]
            return json_response(200, {
                "items": [self.show(key) for key in page],
                "truncated": len(page) < len(keys),
                "current_rev": self.revision})
        if path == "/-/kv-watch":
            return await self.watch(machine, query)
        if path == "/-/kv-txn":
            return self.transact(machine, json.loads(request.body))
        if path == "/-/kv-lease":
            ttl = json.loads(request.body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl, now() + ttl / 1000]
            return json_response(200, {"lease": self.last_lease, "ttl_ms": ttl})
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return json_response(404, {})
            lease[1] = now() + lease[0] / 1000
            return json_response(200, {"ttl_ms": lease[0]})
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return json_response(200, {})
        return json_response(404, {})

    def show(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    async def watch(self, machine, query):
        prefix = query.get("prefix", "")
        after = int(query["after"])
        until = now() + int(query["wait_ms"]) / 1000
        while True:
            events = [event for event in self.changes
                      if event["revision"] > after
                      and event["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0 or machine in self.busy:
                return json_response(200, {"events": events,
                                           "current_rev": self.revision})
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, machine, call):
        for row in call.get("expected", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return json_response(412, {"items": []})
        for put in call.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return json_response(403, {})
            if put.get("lease") and put["lease"] not in self.leases:
                return json_response(404, {})
        for put in call.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]),
                     put.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        self.record.write("store commits for %s: puts %s deletes %s" % (
            machine, [p["key"] for p in call.get("puts", [])],
            call.get("deletes", [])))
        return json_response(200, {"revision": self.revision})

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.changes.append(self.show(key))
        self.changed.set()

    def put_json(self, key, document):
        self.put(key, json.dumps(document).encode())

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.changes.append({"key": key, "revision": self.revision,
                             "deleted": True})
        self.changed.set()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.delete(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [i for i, (_, end) in self.leases.items()
                          if end < now()]:
                self.record.write("store ends lease %d" % lease)
                self.end_lease(lease)

    def leader(self):
        item = self.items.get("dragonflyglade/duty/placement")
        return json.loads(item[0]) if item else None


class Replica:
    """A replica of a service: its entry, its report, its orders, and a handler
    for requests. The handler is given by the script."""

    def __init__(self, store, record, name, service, handler, ip="127.0.0.1",
                 zone="z-a", slots=6, models=None):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.handler = handler
        self.ip = ip
        self.zone = zone
        self.slots = slots
        self.models = dict(models or {})  # name: set of adapters
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.busy = False
        self.orders = []
        self.server = None
        self.writers = set()
        self.load_s = 0.5

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def entry(self, state="ready"):
        return {"service": self.service,
                "address": "%s:%d" % (self.ip, self.port),
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_remaining_ms": 0, "born": self.born,
                "stage": "prefill_decode", "sequence": 1,
                "models": self.model_list()}

    def model_list(self):
        return [{"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in sorted(self.models.items())]

    def register(self):
        self.store.put_json("servers/" + self.name, self.entry())

    def crash(self):
        """Ends as a killed process does: no listener, no connection."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if request.get(INSTANCE) not in ("", self.name):
                    writer.write(response(421))
                elif " /-/report" in request.line:
                    writer.write(json_response(200, {
                        "stage": "prefill_decode", "models": self.model_list(),
                        "busy": self.busy, "sequence": self.sequence,
                        "born": self.born, "waiting": 0, "running": 0,
                        "kv_used": 0, "kv_total": 232000, "handles": 0,
                        "pending": []}))
                elif " /-/order" in request.line:
                    writer.write(self.order(json.loads(request.body)))
                else:
                    keep = await self.handler(self, request, writer)
                    if keep is False:
                        break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def order(self, order):
        self.orders.append((now(), order))
        self.record.write("%s gets order %s" % (self.name, json.dumps(order)))
        model, adapter = order["model"], order.get("adapter")
        load = order["operation"] == "load"
        if order.get("expected", self.sequence) != self.sequence:
            return response(409)
        held = model in self.models and (
            adapter is None or adapter in self.models[model])
        if load and held:
            return response(200)
        if adapter is not None:
            if model not in self.models:
                return response(400)
            self.sequence += 1
            if load:
                self.models[model].add(adapter)
                return response(202)
            self.models[model].discard(adapter)
            return response(200)
        if self.busy:
            return response(409)
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.carry_out(load, model))
        return response(202)

    async def carry_out(self, load, model):
        await asyncio.sleep(self.load_s if load else 0.05)
        if load:
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.busy = False
        self.register()
        self.record.write("%s now holds %s" % (self.name,
                                               sorted(self.models)))


class Gateway:
    """One gateway process, as the deploy file starts it."""

    def __init__(self, folder, name, ip, store_address, zone="z-a", **limits):
        self.folder = folder
        self.name = name
        self.ip = ip
        self.first_start = True
        ports = {key: free_port(ip) for key in
                 ("callers", "readiness", "directory", "metrics", "peers")}
        self.listen = {key: "%s:%d" % (ip, port)
                       for key, port in ports.items()}
        self.callers = (ip, ports["callers"])
        self.readiness = (ip, ports["readiness"])
        self.metrics = (ip, ports["metrics"])
        self.store_address = store_address
        self.zone = zone
        # As deploy/settings.json.template gives them for a small site.
        self.limits = {"quiet_between_holders_ms": 3000, "stop_within_s": 8,
                       "config_bound_ms": 2000, "quota_window_s": 8,
                       "quota_overage": 0.1, "quota_slack": 110000,
                       "retry_share": 0.2, "retry_slack": 52,
                       "load_window_s": 5, "load_overage": 1.1}
        self.limits.update(limits)
        self.process = None

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        settings = {"instance": self.name, "zone": self.zone,
                    "first_start": self.first_start, "listen": self.listen,
                    "machine": {"cores": 0.25, "link_mbps": 1000.0},
                    "store": {"address": self.store_address},
                    "limits": self.limits}
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/bin/dragonflyglade", "gateway", "--settings", path],
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.first_start = False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, seconds=10):
        until = now() + seconds
        while now() < until:
            answer = await call(self.readiness, "GET", "/-/readyz", [])
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " is not ready")

    def log_lines(self, text):
        with open(os.path.join(self.folder, self.name + ".log")) as file:
            return [line for line in file if text in line]


async def call(address, method, path, fields, body=b"", timeout=20,
               on_bytes=None):
    """Sends one request on a new connection. Returns the answer, or None."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address,
                                                       limit=1 << 22)
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            head += "".join("%s: %s\r\n" % field for field in fields)
            if body or method == "POST":
                head += "Content-Length: %d\r\n" % len(body)
            head += "Connection: close\r\n"
            if not any(name == "Host" for name, _ in fields):
                head += "Host: platform\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            answer = await read_head(reader)
            await read_body(reader, answer, on_bytes)
            return answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


def run(main, folder):
    """Runs main(record, folder for files, processes) and exits with its
    result. Ends every process that was started."""
    processes = []

    async def limited(record, files):
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are of no interest.
        loop.set_exception_handler(lambda *_: None)
        try:
            return await asyncio.wait_for(main(record, files, processes), 110)
        finally:
            for process in processes:
                process.kill()
            await asyncio.sleep(0.1)

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    code = NOT_RUN
    record = Record(folder)
    with tempfile.TemporaryDirectory(prefix="review-") as files:
        try:
            if not os.access("target/bin/dragonflyglade", os.X_OK):
                raise RuntimeError("target/bin/dragonflyglade is not built")
            code = asyncio.run(limited(record, files))
        except (Exception, KeyboardInterrupt) as error:
            record.show("could not run: %r" % error)
            code = NOT_RUN
        finally:
            for process in processes:
                process.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                os.makedirs(keep, exist_ok=True)
                for name in os.listdir(files):
                    with open(os.path.join(files, name), "rb") as source:
                        with open(os.path.join(keep, name), "wb") as copy:
                            copy.write(source.read())
    record.show("result: %s" % {PASSED: "the rule held",
                                BROKEN: "THE RULE WAS BROKEN",
                                NOT_RUN: "the case could not run"}[code])
    sys.exit(code)


def model(name, **more):
    """An entry of an engine's models, with the sizes of a small site."""
    return dict({"name": name, "weights_mb": 65500.0, "load_s": 5.2,
                 "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.38,
                 "disk_s": 1.0}, **more)


def engine_service(name, models):
    return {"name": name, "health_path": "/healthz", "max_connections": 360,
            "protocol": "h1", "tls": False, "engine": {
                "slots": 64, "kv_capacity_tokens": 232000,
                "kv_bytes": 327680, "link_mbps": 260000.0, "moves": True,
                "backups": True, "stride": 4, "cap": 12, "host_mb": 140000.0,
                "disk_mb": 410000.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
                "handle_s": 5.0, "weights_mb": 200000.0, "adapter_slots": 5,
                "loads_per_s": 2.1, "models": models}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 96,
            "protocol": "h1", "tls": False}


def route(prefix, kind, service, **more):
    return dict({"name": "r" + prefix.strip("/"), "host": "review.example",
                 "prefix": prefix, "type": kind, "timeout_ms": 5000,
                 "target_latency_ms": 800, "priority": 1, "service": service,
                 "max_attempts": 2, "public": False, "sticky": True,
                 "resumable": False, "gap_target_ms": 250}, **more)


def configuration(routes, services, tenants=None):
    document = {"version": 7, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 4194304,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(request):
    return ("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.07\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n" % (
                ID, request.get(ID), SIGNATURE)).encode()


def event(number, text="x"):
    return chunk(b"id: %d\ndata: %s\n\n" % (number, text.encode()))
