"""A late second copy of a rejection is taken for the answer to the next try."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
RATE = 60            # requests a second
SHED = 0.05          # of an engine's requests; the site plays up to 0.45
SECOND = 0.03        # of an engine's answers, as in the site file
FROM_S, FOR_S = 4.0, 5.0   # the site plays "extra late" for 5 s
LENGTH_S = 12.0
LATE_S = 0.006       # how much later the second copy comes
EVENTS = 13
EVENT_S = 0.02


class Engine:
    """Rejects some requests, and sends some rejections twice."""

    def __init__(self, record, doubles):
        self.record = record
        self.doubles = doubles
        self.in_trouble = False
        self.random = random.Random(5)
        self.answers = 0
        self.second = 0
        self.rejections = 0
        self.runs = {}

    async def handle(self, replica, request, writer):
        name = request.get(s.ID)
        if self.in_trouble:
            self.answers += 1
        if self.in_trouble and self.random.random() < SHED:
            return self.reject(replica, name, writer)
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record.write("%s runs %s (run %d)" % (replica.name, name,
                                                   self.runs[name]))
        await asyncio.sleep(0.02)
        writer.write(s.stream_head(request))
        for number in range(1, EVENTS + 1):
            writer.write(s.event(number))
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True

    def reject(self, replica, name, writer):
        self.rejections += 1
        answer = s.response(503, [(s.ID, name), (s.NOT_EXECUTED, "1")])
        writer.write(answer)
        again = self.doubles and self.second + 1 <= SECOND * RATE * FOR_S
        self.record.write("%s rejects %s%s" % (
            replica.name, name, ", and says so twice" if again else ""))
        if again:
            self.second += 1
            asyncio.get_running_loop().call_later(
                LATE_S, lambda: writer.is_closing() or writer.write(answer))
        return True


async def main(record, files, processes):
    store = s.Store(record)
    expiry = asyncio.create_task(store.expire_leases())
    names = ["m%d" % i for i in range(9)]
    store.put_json("op/config", s.configuration(
        [s.route("/brief/", "streaming", "models")],
        [s.engine_service("models", [s.model(name) for name in names])]))
    engine = Engine(record, TROUBLE)
    sound = Engine(record, False)
    replicas = []
    for i in range(3):
        handler = engine.handle if i == 0 else sound.handle
        replicas.append(s.Replica(
            store, record, "i-%d" % i, "models", handler, slots=64,
            models={name: set() for name in names[3 * i:3 * i + 3]}))
        await replicas[-1].start()
    gateways = []
    for i in range(2):
        name = "edge-%d" % i
        gateways.append(s.Gateway(files, name, "127.0.0.%d" % (11 + i),
                                  await store.listen(name)))
        processes.append(gateways[-1])
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3.5)  # the machines are in touch from here on
    begun = s.now()
    record.show("traffic begins")
    answers = {}

    async def client(number):
        name = "c%05d" % number
        answer = await s.call(
            gateways[number % 2].callers, "POST", "/brief/2f",
            [("Host", "review.example"), (s.ID, name),
             ("X-Dragonflyglade-Model", names[0]),
             ("X-Dragonflyglade-Token-Usage", "298,52"),
             ("X-Dragonflyglade-Prompt-Prefix", "5c1e07a2:198,%x:100" % number),
             ("X-Dragonflyglade-Deadline-Ms", "5000")])
        answers[name] = answer.status if answer is not None else 0
        record.write("%s is answered %s%s" % (
            name, answers[name],
            " " + answer.body.decode()[:90] if answers[name] == 503 else ""))

    tasks = []
    number = 0
    while s.now() - begun < LENGTH_S:
        engine.in_trouble = FROM_S <= s.now() - begun < FROM_S + FOR_S
        tasks.append(asyncio.create_task(client(number)))
        number += 1
        await asyncio.sleep(max(0, begun + number / RATE - s.now()))
    engine.in_trouble = False
    await asyncio.gather(*tasks)
    expiry.cancel()
    wrong = [name for name, status in answers.items()
             if status in (408, 421, 429, 503) and engine.runs.get(name)]
    twice = [name for name, runs in engine.runs.items() if runs > 1]
    record.show("%d requests, %d answered 200" % (
        len(answers), sum(1 for v in answers.values() if v == 200)))
    record.show("i-0 in trouble: %d answers, %d of them rejections, %d came "
                "twice" % (engine.answers, engine.rejections, engine.second))
    for name in wrong:
        record.show("REFUSED: %s has run at i-0 and was answered %d" % (
            name, answers[name]))
    for name in twice:
        record.show("TWICE: %s ran %d times" % (name, engine.runs[name]))
    return s.BROKEN if wrong or twice else s.PASSED


s.run(main, FOLDER)
