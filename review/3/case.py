"""CONFIG: the store answers nobody for some seconds, and the configuration
changes just after its return. Gateways go on with the old configuration when
the store has been stable for stable_window."""
import asyncio
import itertools
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in import (BROKEN, HELD, NOT_RUN, TROUBLE, Client, Endpoint,
                      Gateways, Store, config, keep_registered, main, route)

ZONES = ["zone-a"] * 3 + ["zone-b"] * 3 + ["zone-c"] * 2 + ["zone-d"]
DOWN_S = 3.0          # the site has platform_down of 4.5 s and 8 s
CONFIG_APPLY_S = 2.5  # bounds of the site
STABLE_WINDOW_S = 3.0
EPISODES = 7


async def case(record):
    store = Store()
    await store.start()
    endpoints = [Endpoint(record, service)
                 for service in ("east", "west") for _ in range(3)]
    runs = {}  # time and service by request id

    def note(endpoint, request):
        runs[request.get("X-Balsamhall-Request-Id")] = \
            (time.monotonic(), endpoint.service)

    for endpoint in endpoints:
        endpoint.on_run = note
        await endpoint.start()
    version = 0
    acknowledged = []  # (time, service of the route) by version

    async def publish(service):
        nonlocal version
        version += 3
        await store.put("keyed.op", "config", config(
            version, {"post": route("/post/", "unsafe", service)},
            {"east": {}, "west": {}}))
        acknowledged.append((time.monotonic(), service))
        record(f"store acknowledges configuration {version}: "
               f"/post/ goes to {service}")

    await publish("east")
    reports = asyncio.create_task(keep_registered(store, endpoints))
    gateways = Gateways(record, store, ZONES)
    sent = {}  # time by request id
    returned = []  # when the store returned
    stopping = False

    async def desk(gateway):
        client = Client(record, gateways.front(gateway))
        for i in itertools.count():
            if stopping:
                return client.close()
            request_id = f"{random.getrandbits(32):08x}-{i}"
            sent[request_id] = time.monotonic()
            await client.send("POST", "/post/x", request_id, b"transfer")
            await asyncio.sleep(.04)

    try:
        for i in range(len(ZONES)):
            gateways.start(i)
        for i in range(len(ZONES)):
            if not await gateways.ready(i):
                return NOT_RUN
        await asyncio.sleep(6)
        running = [asyncio.create_task(desk(i)) for i in range(len(ZONES))]
        for episode in range(EPISODES):
            if TROUBLE:
                record("the store answers no more")
                store.down = True
            await asyncio.sleep(DOWN_S)
            store.down = False
            returned.append(time.monotonic())
            record("the store answers again")
            await asyncio.sleep(.05)
            await publish(["west", "east"][episode % 2])
            await asyncio.sleep(2 * STABLE_WINDOW_S)
        stopping = True
        await asyncio.gather(*running)
    finally:
        reports.cancel()
        gateways.stop()

    broken = 0
    for request_id, at in sent.items():
        if request_id not in runs:
            continue
        ran_at, service = runs[request_id]
        due = [i for i, (acked, _) in enumerate(acknowledged)
               if acked + CONFIG_APPLY_S < at]
        since = [at - end for end in returned if end <= at]
        in_touch = not since or (since[-1] > STABLE_WINDOW_S and
                                 since[-1] < 2 * STABLE_WINDOW_S)
        if not due or not in_touch:
            continue
        allowed = {name for acked, name in acknowledged[due[-1]:]
                   if acked <= ran_at}
        if service not in allowed:
            broken += 1
            late = at - acknowledged[due[-1]][0]
            record(f"CONFIG: {request_id}, sent {late:.3f} s after the "
                   f"acknowledgement, was run by {service}, as only an older "
                   "version allows")
    summary = f"{len(sent)} requests, {len(runs)} runs, " \
              f"{broken} as only an older version allows"
    record(summary)
    print(summary)
    if len(runs) < 300:
        return NOT_RUN
    return BROKEN if broken else HELD


main(case)
