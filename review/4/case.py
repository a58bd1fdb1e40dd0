"""CONFIG: the gateway that reads the store for its zone stands still for some
seconds. Another one of the zone, undisturbed and with a sound path to the
store, goes on with a configuration that was replaced more than config_apply
ago."""
import asyncio
import itertools
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in import (BROKEN, HELD, NOT_RUN, TROUBLE, Client, Endpoint,
                      Gateways, Store, config, keep_registered, main, route)

# One of ten machines is the share of a node_freeze, 0.1.
ZONES = ["zone-a"] * 8 + ["zone-b"] * 2
FROZEN, OBSERVED = (0,), range(1, 8)
FREEZE_S = 4.0        # for_s of a node_freeze; 5 by default
CONFIG_APPLY_S = 2.5  # bounds of the site
STABLE_WINDOW_S = 3.0
EPISODES = 8


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
        running = [asyncio.create_task(desk(i)) for i in OBSERVED]
        for episode in range(EPISODES):
            await asyncio.sleep(STABLE_WINDOW_S + random.random())
            if TROUBLE:
                for i in FROZEN:
                    gateways.signal(i, signal.SIGSTOP)
            await publish(["west", "east"][episode % 2])
            await asyncio.sleep(FREEZE_S)
            if TROUBLE:
                for i in FROZEN:
                    gateways.signal(i, signal.SIGCONT)
            await asyncio.sleep(2)
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
        if not due:
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
