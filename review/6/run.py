"""A gateway that returns from a partition makes another one use an endpoint that has left.

Two gateways in one zone. The one that reads the store for both is partitioned
from the store for 5.5 s. Meanwhile an endpoint is added and leaves again,
without reporting that it drains. The other gateway reads the store itself and
knows that the endpoint has left. After the partition it follows the first one
again, which lists the endpoint as ready.
"""
import asyncio
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins_2 import (Endpoint, Gateway, Link, Record, Store, configuration,  # noqa: E402
                         free_net, now, send_request, settings)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
DRAIN = 2.5  # seconds, bound of the settings and the site file
CUT = 5.5  # seconds, as core_cut in the site file
ADDED = 0.7  # seconds after the start of the cut
LEFT = 4.0
# Clients come in waves of half a second.
WAVE = 3.3
WAVE_LENGTH = 0.5
EXIT = 10.0
END = 12.0


async def main():
    record = Record()
    net = free_net()
    store = Store()
    await store.start(f"127.{net}.9.1")
    link = Link(store.address)
    await link.start(f"127.{net}.9.2")
    store.put("keyed.op", "config", configuration(
        7, {"lookup": True, "transfer": False}, {"/post/": ("unsafe", "transfer"), "/read/": ("safe", "lookup")}))
    endpoints = []

    async def add(name, service="transfer"):
        endpoint = Endpoint(name, service, "a", record, keyed=service == "lookup", work=0.1, slots=2)
        await endpoint.start(f"127.{net}.1.{len(endpoints) + 1}")
        endpoints.append(endpoint)
        store.put("keyed.servers", name, endpoint.entry())
        return endpoint

    for name in ("i-old1", "i-old2", "i-old3", "i-old4"):
        await add(name)
    for name in ("i-key1", "i-key2"):
        await add(name, "lookup")
    directory = tempfile.mkdtemp(prefix="case6-")
    gateways = []
    try:
        nodes = (("front-a-0", "a", link.address), ("front-a-1", "a", store.address), ("front-b-0", "b", store.address))
        for index, (name, zone, address) in enumerate(nodes):
            ip = f"127.{net}.2.{index + 1}"
            path = settings(directory, name, ip, zone, {"a": "r", "b": "r"}, address)
            gateways.append(await Gateway.start(path, ip, directory))
            await asyncio.sleep(1)
        cut, calm = gateways[:2]
        for _ in range(30):
            await asyncio.sleep(1)
            if await calm.follows(cut.name):
                break
        await asyncio.sleep(4)
        if not await calm.follows(cut.name):
            record.line("the calm gateway does not follow the other one")
            return record, None
        start = now()
        record.started = start
        record.line(f"start; trouble {TROUBLE}")
        sent = {}
        results = {}

        async def one(number):
            rid = f"r{number:05d}"
            sent[rid] = now()
            results[rid] = await send_request(calm.ip, "POST", f"/post/{number}", rid, b"x" * 20)

        async def traffic():
            number, tasks = 0, []
            while now() - start < END:
                if (now() - start) % WAVE < WAVE_LENGTH:
                    number += 1
                    tasks.append(asyncio.ensure_future(one(number)))
                await asyncio.sleep(0.007)
            await asyncio.gather(*tasks)

        flow = asyncio.ensure_future(traffic())
        if TROUBLE:
            link.hold = True
            record.line("gateway front-a-0 is partitioned from the store")
        await asyncio.sleep(start + ADDED - now())
        late = await add("i-new")
        record.line("endpoint i-new is added")
        await asyncio.sleep(start + LEFT - now())
        late.leaving = True  # Server-Leaving: 1 in all its answers from now on
        store.put("keyed.servers", late.id, b"")
        acknowledged = now()
        record.line("endpoint i-new leaves: the store has accepted the removal of its entry; it still serves")
        await asyncio.sleep(start + CUT - now())
        if TROUBLE:
            link.hold = False
            record.line("the partition ends")
        await asyncio.sleep(start + EXIT - now())
        late.stop()
        record.line("endpoint i-new exits")
        await flow
        breaches = 0
        used = 0
        for rid, runs in sorted(record.runs.items()):
            for at, endpoint, *_ in runs:
                if endpoint != late.id:
                    continue
                used += 1
                # Taken from the client and sent on later than the bound.
                if sent[rid] > acknowledged + DRAIN and at > acknowledged + DRAIN:
                    breaches += 1
                    record.line(f"DRAIN: request {rid}, sent at {sent[rid] - start:.3f}, reached i-new at {at - start:.3f}, "
                                f"{at - acknowledged:.3f} s after it had left; answer {results[rid]}")
        answered = sum(1 for status in results.values() if status == 200)
        record.line(f"requests {len(sent)}, answered 200: {answered}, run by i-new: {used}, of these late: {breaches}")
        if answered < len(sent) * 0.8 or used == 0:
            return record, None
        return record, breaches
    finally:
        for gateway in gateways:
            await gateway.stop()
        shutil.rmtree(directory, ignore_errors=True)


if __name__ == "__main__":
    try:
        result, count = asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}")
        sys.stdout.flush()
        os._exit(2)
    with open(os.path.join(HERE, "record.txt"), "w") as file:
        file.write("\n".join(result.lines) + "\n")
    print("could not run" if count is None else f"late requests: {count}")
    sys.stdout.flush()
    os._exit(2 if count is None else 1 if count else 0)
