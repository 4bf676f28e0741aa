"""No instance leads after the store refused one call of the leader."""

import asyncio
import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
MODELS = ["m0", "m1", "m2"]
ADAPTERS = 39                     # of each model, of which an engine holds 5
ASKED = ["a%d" % n for n in (21, 24, 27, 30)]
FAIL_AT_S, DOWN_S = 3.0, 4.0      # the replicas of the plain service
BUSY_AT_S, BUSY_S = 3.7, 1.3      # the store
ASK_FROM_S, LENGTH_S = 16.0, 40.0
RATE = 40                         # plain requests a second
ASK_RATE = 12                     # requests for adapters a second


class Engine:
    def __init__(self, record):
        self.record = record

    async def handle(self, replica, request, writer):
        name = request.get(s.ID)
        model, _, adapter = request.get("X-Dragonflyglade-Model").partition("/")
        if adapter not in replica.models.get(model, set()):
            writer.write(s.response(421, [(s.ID, name)]))
            return True
        self.record.write("%s runs %s" % (replica.name, name))
        await asyncio.sleep(0.04)
        writer.write(s.stream_head(request))
        for number in range(1, 6):
            writer.write(s.event(number))
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        return True

    async def plain(self, replica, request, writer):
        await asyncio.sleep(0.06)
        writer.write(s.response(200, [(s.ID, request.get(s.ID)),
                                      (s.SIGNATURE, "3e1b.07")], b"x" * 800))
        return True


async def main(record, files, processes):
    store = s.Store(record)
    expiry = asyncio.create_task(store.expire_leases())
    store.put_json("op/config", s.configuration(
        [s.route("/chat/", "streaming", "models"),
         s.route("/tile/", "idempotent", "api", timeout_ms=1500,
                 target_latency_ms=300)],
        [s.engine_service("models", [s.model(m, adapters=ADAPTERS)
                                     for m in MODELS]),
         s.plain_service("api")]))
    engine = Engine(record)
    engines = [s.Replica(store, record, "e-%d" % i, "models", engine.handle,
                         slots=64, models={MODELS[i]: set()})
               for i in range(3)]
    plain = [s.Replica(store, record, "i-%d" % i, "api", engine.plain)
             for i in range(3)]
    for replica in engines + plain:
        await replica.start()
    gateways = []
    for i in range(3):
        name = "edge-%d" % i
        gateways.append(s.Gateway(files, name, "127.0.0.%d" % (91 + i),
                                  await store.listen(name)))
        processes.append(gateways[-1])
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(6)  # some instance leads
    record.show("leader: %s" % (store.leader() or {}).get("name"))
    begun = s.now()
    counts = collections.defaultdict(collections.Counter)

    async def tile(number):
        answer = await s.call(
            gateways[number % 3].callers, "GET", "/tile/%d" % number,
            [("Host", "review.example"), (s.ID, "t%05d" % number),
             ("X-Dragonflyglade-Deadline-Ms", "1500")])
        counts["tile"].update([answer.status if answer is not None else 0])

    async def chat(number):
        model = MODELS[number % 3]
        wanted = "%s/%s" % (model, ASKED[number // 3 % len(ASKED)])
        name = "c%05d" % number
        answer = await s.call(
            gateways[number % 3].callers, "POST", "/chat/2f",
            [("Host", "review.example"), (s.ID, name),
             ("X-Dragonflyglade-Model", wanted),
             ("X-Dragonflyglade-Token-Usage", "298,52"),
             ("X-Dragonflyglade-Prompt-Prefix", "5c1e07a2:198,%x:100" % number),
             ("X-Dragonflyglade-Deadline-Ms", "5000")])
        status = answer.status if answer is not None else 0
        counts[wanted].update([status])
        text = answer.body.decode()[:90] if status == 503 else ""
        record.write("%s for %s is answered %s %s" % (name, wanted, status,
                                                      text))

    async def traffic(send, rate, first, last):
        await asyncio.sleep(first)
        tasks = []
        at = s.now()
        while s.now() - begun < last:
            tasks.append(asyncio.create_task(send(len(tasks))))
            await asyncio.sleep(max(0, at + len(tasks) / rate - s.now()))
        await asyncio.gather(*tasks)

    async def fail():
        if not TROUBLE:
            return
        await asyncio.sleep(FAIL_AT_S)
        record.show("the replicas of one service lose power")
        for replica in plain:
            replica.crash()  # its entry would go after three heartbeats, 3.6 s
        await asyncio.sleep(BUSY_AT_S - FAIL_AT_S)
        record.show("the store answers 503")
        store.busy.update(gateway.name for gateway in gateways)
        for lease in store.leases.values():
            lease[1] += BUSY_S  # "leases either pause or expire": they pause
        await asyncio.sleep(BUSY_S)
        store.busy.clear()
        record.show("the store is back")
        await asyncio.sleep(FAIL_AT_S + DOWN_S - BUSY_AT_S - BUSY_S)
        for replica in plain:
            await replica.start()
        record.show("the replicas are back")

    await asyncio.gather(traffic(tile, RATE, 0, LENGTH_S), fail(),
                         traffic(chat, ASK_RATE, ASK_FROM_S, LENGTH_S))
    expiry.cancel()
    record.show("entry of the leader: %s" % (store.leader() or {}).get("name"))
    for gateway in gateways:
        for line in gateway.log_lines('"part":"duty"'):
            record.write(line.strip())
    record.show("plain requests: %s" % dict(counts.pop("tile")))
    never = [name for name, statuses in counts.items() if statuses[200] == 0]
    record.show("%d adapters were asked for from %.0f s on, some %d times "
                "each; never served: %d" % (
                    len(counts), ASK_FROM_S,
                    sum(sum(c.values()) for c in counts.values()) //
                    len(counts), len(never)))
    return s.BROKEN if len(never) > 1 + 0.1 * len(counts) else s.PASSED


s.run(main, FOLDER)
