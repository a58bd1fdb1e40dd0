"""REFUSED: an endpoint runs a posting and answers 429 or 408 without the header
that says that it did not run. The caller gets 503, a promise that it never ran,
and books it again."""
import asyncio
import itertools
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in import (BROKEN, HELD, NOT_RUN, TROUBLE, Client, Endpoint,
                      Gateways, Store, config, keep_registered, main, route)

ENDPOINTS = 8
FAILING = 1          # share .125; the site file's largest is .14
FAILURE_SHARE = .45  # x of the site files' srv_grey
FAILURE_S = 6.5      # for_s of the site files' srv_grey
CLIENTS = 24
RETRIES = 2
PROMISES = (408, 421, 429, 503)


async def case(record):
    store = Store()
    await store.start()
    endpoints = [Endpoint(record, "disposals", slots=2)
                 for _ in range(ENDPOINTS)]
    for endpoint in endpoints:
        endpoint.work_s = .042  # the mean of the site's disposal-post
        await endpoint.start()
    await store.put("keyed.op", "config", config(
        1, {"post": route("/post/", "unsafe", "disposals")},
        {"disposals": {}}))
    reports = asyncio.create_task(keep_registered(store, endpoints))
    gateways = Gateways(record, store, ["zone-a"])
    numbers = itertools.count(1)
    answers = {}  # status by request id; None: no answer
    postings = {}  # ids of the attempts, by posting

    async def post(client, posting):
        """Sends a posting as the pages say: again only after a promise."""
        for _ in range(1 + RETRIES):
            request_id = f"{random.getrandbits(32):08x}-{next(numbers)}"
            postings.setdefault(posting, []).append(request_id)
            answer = await client.send("PUT", f"/post/{posting}", request_id,
                                       b"disposal of asset " +
                                       str(posting).encode())
            answers[request_id] = answer.status if answer else None
            if answer is None or answer.status not in PROMISES:
                return
            await asyncio.sleep(float(answer.get("Retry-After") or .1))
            client.close()

    async def desk(number, end):
        client = Client(record, gateways.front(0))
        for i in itertools.count():
            if time.monotonic() > end:
                break
            await post(client, f"{number}-{i}")
            await asyncio.sleep(.05)
        client.close()

    async def fail(endpoint, request):
        endpoint.begin(request)
        await asyncio.sleep(endpoint.work_s)
        if random.random() >= FAILURE_SHARE:
            return endpoint.reply(request, 200)
        return endpoint.reply(request, random.choice((429, 408)))

    try:
        gateways.start(0)
        if not await gateways.ready(0):
            return NOT_RUN
        await asyncio.sleep(3.5)  # in touch, in steady state
        end = time.monotonic() + 10
        desks = [asyncio.create_task(desk(i, end)) for i in range(CLIENTS)]
        await asyncio.sleep(1)
        if TROUBLE:
            for endpoint in endpoints[:FAILING]:
                endpoint.answer = fail
        await asyncio.sleep(FAILURE_S)
        for endpoint in endpoints:
            endpoint.answer = Endpoint.run
        await asyncio.gather(*desks)
        await asyncio.sleep(2)
    finally:
        reports.cancel()
        gateways.stop()

    runs = {}
    for endpoint in endpoints:
        for request_id in endpoint.runs:
            runs[request_id] = runs.get(request_id, 0) + 1
    broken = [request_id for request_id, status in answers.items()
              if status in PROMISES and request_id in runs]
    twice = [posting for posting, ids in postings.items()
             if sum(runs.get(request_id, 0) for request_id in ids) > 1]
    for request_id in broken:
        record(f"REFUSED: {request_id} was answered {answers[request_id]} "
               f"and ran")
    summary = (f"{len(answers)} requests, {sum(runs.values())} runs, "
               f"{len(broken)} answered with a promise although they ran, "
               f"{len(twice)} postings booked more than once by the retries")
    record(summary)
    print(summary)
    if len(answers) < 200:
        return NOT_RUN
    return BROKEN if broken else HELD


main(case)
