"""Another writer's entry in the server list has an address that is none."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import Client, Desk, main

RATE_PER_S = 20
ENTRY_S = 4
LENGTH_S = 12
TIMEOUT_S = 1.5
"""`TimeoutMs` of both routes; clients wait 5 s, their `Deadline-Ms`."""

DEADLINE_S = 5.0
LATE_S = 0.5


def write_foreign_entry(store, record) -> None:
    """Writes an entry that names no server to use: most fields are missing."""
    entry = {
        "Service": "booking-desk",
        "Address": "127.0.0.1:812000",
        "Zone": "muscat-a",
        "State": "ready",
        "Slots": 6,
    }
    value = json.dumps(entry)
    store.put("keyed.servers", "desk-inventory", value.encode())
    record.write(f"another writer puts servers/desk-inventory: {value}")


async def run(deployment, record, trouble) -> int:
    """Runs the case; returns 1 if requests stay unanswered."""
    await deployment.start(2, [Desk, Desk, Desk])
    client = Client(record)
    took_s: dict[str, float] = {}

    async def send(gateway, kind) -> None:
        began_s = time.monotonic()
        request_id, status = await client.send(gateway, kind, DEADLINE_S)
        took_s[request_id] = time.monotonic() - began_s if status else 1e9

    async def disturb() -> None:
        await asyncio.sleep(ENTRY_S)
        if trouble:
            write_foreign_entry(deployment.store, record)

    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks = [asyncio.create_task(disturb())]
    while loop.time() - began_s < LENGTH_S:
        gateway = deployment.gateways[len(tasks) % 2]
        kind = "look" if len(tasks) % 4 == 0 else "book"
        tasks.append(asyncio.create_task(send(gateway, kind)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)
    open_at_timeout = [k for k, s in took_s.items() if s > TIMEOUT_S]
    still_open = [k for k, s in took_s.items() if s > TIMEOUT_S + LATE_S]
    never = [k for k, s in took_s.items() if s > DEADLINE_S]
    record.write(
        f"{len(took_s)} requests sent, {len(open_at_timeout)} unanswered at "
        f"TimeoutMs, {len(still_open)} half a second later, {len(never)} never"
    )
    for gateway in deployment.gateways:
        for line in gateway.log_lines("Error")[:4]:
            record.write(f"log of {gateway.name}: {line}")
    if len(took_s) < RATE_PER_S * LENGTH_S * 0.8:
        raise RuntimeError(f"only {len(took_s)} requests were sent")
    return 1 if len(still_open) > len(open_at_timeout) / 2 else 0


if __name__ == "__main__":
    sys.exit(main(run, str(pathlib.Path(__file__).parent)))
