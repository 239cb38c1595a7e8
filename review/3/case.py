"""Another writer's entry in the server list can't be read; then a desk drains.

The entry is what a Python program writes that has no bound for `Slots`:
`Infinity`, which isn't JSON.
"""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import BOUNDS, Client, Desk, main

RATE_PER_S = 20
ENTRY_S = 3
LEAVE_S = 7
EXIT_S = 12
"""The desk goes on serving for 5 s after its report; the pages allow for
`DrainMs` and at times many seconds more."""

LENGTH_S = 15


def write_foreign_entry(store, record) -> None:
    """Writes an entry that names no server to use."""
    entry = {
        "Service": "booking-desk",
        "Address": "127.0.0.1:9",
        "Zone": "muscat-a",
        "State": "ready",
        "Slots": float("inf"),
    }
    value = json.dumps(entry)
    store.put("keyed.servers", "capacity-report", value.encode())
    record.write(f"another writer puts servers/capacity-report: {value}")


async def run(deployment, record, trouble) -> int:
    """Runs the case; returns 1 if requests reached the drained desk."""
    await deployment.start(2, [Desk, Desk, Desk])
    leaving = deployment.desks[0]
    client = Client(record)

    async def disturb() -> None:
        await asyncio.sleep(ENTRY_S)
        if trouble:
            write_foreign_entry(deployment.store, record)
        await asyncio.sleep(LEAVE_S - ENTRY_S)
        leaving.leave()
        left_s.append(time.monotonic())
        await asyncio.sleep(EXIT_S - LEAVE_S)
        leaving.stop()

    left_s: list[float] = []
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks = [asyncio.create_task(disturb())]
    while loop.time() - began_s < LENGTH_S:
        gateway = deployment.gateways[len(tasks) % 2]
        kind = "look" if len(tasks) % 4 == 0 else "book"
        tasks.append(asyncio.create_task(client.send(gateway, kind)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)
    end_s = left_s[0] + BOUNDS["DrainMs"] / 1000
    late = [
        (arrived_s - left_s[0], request_id)
        for arrived_s, request_id in leaving.arrivals
        if arrived_s > end_s
    ]
    for after_s, request_id in late:
        record.write(f"DRAIN: {request_id} arrived {after_s:.2f} s after")
    runs = deployment.runs()
    lost = [
        request_id
        for request_id, (status, _, _) in client.answers.items()
        if status in (0, 502, 504) and request_id in runs
    ]
    for request_id in lost:
        record.write(
            f"{client.sent[request_id]} {request_id} ran, and its client got "
            f"{client.answers[request_id][0] or 'no answer'}"
        )
    served = sum(a[0] == 200 for a in client.answers.values())
    record.write(f"{len(client.sent)} requests sent, {served} answered 200")
    for gateway in deployment.gateways:
        for line in gateway.log_lines("OverflowError"):
            record.write(f"log of {gateway.name}: {line}")
    if served < len(client.sent) * 0.5:
        raise RuntimeError(f"only {served} of {len(client.sent)} were served")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main(run, str(pathlib.Path(__file__).parent)))
