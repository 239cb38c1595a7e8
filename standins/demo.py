"""Demo of one streamed completion and one booking over real processes."""

from gevent import monkey

monkey.patch_all()

import sys

from caroblug.entry._tokenizer import make_tokenizer
from standins import reference
from standins.site import (
    MODEL,
    EntrySpec,
    PlainSpec,
    Site,
    make_site,
    make_three_stages,
)

_TOKENS = 24
_SEED = 7
_PROMPT = "Draft a narration for the autumn sky show"


def start(site: Site) -> None:
    """Starts engines, plain services and entries in two data centres."""
    site.start_platform()
    site.add_account("school-1", group="schools")
    site.publish()
    for spec in make_three_stages():
        site.start_engine(spec)
    for place in ("a", "b"):
        site.start_plain(
            PlainSpec(name=f"booking-{place}", data_centre=f"muscat-{place}")
        )
        site.start_entry(
            EntrySpec(name=f"entry-{place}", data_centre=f"muscat-{place}")
        )
    site.wait_ready()


def print_completion(site: Site) -> bool:
    """Prints a streamed completion and returns whether it is correct."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": _PROMPT}],
        "max_tokens": _TOKENS,
        "seed": _SEED,
    }
    parts = []
    print("answer: ", end="")
    for chunk in site.stream("entry-a", "school-1", body):
        parts.append(chunk["choices"][0]["delta"].get("content", ""))
        print(parts[-1], end="", flush=True)
    print()
    model = site.bundle["models"][MODEL]
    tokenizer = make_tokenizer(model["vocabulary"])
    expected = reference.expected_tokens(
        tokenizer.encode(f"user: {_PROMPT}"),
        _TOKENS,
        model["layers"],
        model["vocabulary"],
        _SEED,
    )
    return "".join(parts) == tokenizer.decode(expected)


def print_booking(site: Site) -> bool:
    """Prints the response to a booking and returns whether it ran once."""
    response = site.call(
        "entry-b",
        "school-1",
        "POST",
        "/services/booking/seats",
        {"show": "autumn", "seats": 24},
        {"Idempotency-Key": "class-4b"},
    )
    print(f"booking: {response.status} {response.body.decode()}")
    return response.status == 201 and response.json()["run"] == 1


def main() -> int:
    """Runs the demo and returns its exit code."""
    with make_site() as site:
        start(site)
        for process in site.processes.values():
            place = process.data_centre or "platform"
            print(f"process: {process.role:10} {process.name} ({place})")
        completion_correct = print_completion(site)
        booked_once = print_booking(site)
    print(
        f"the completion is correct: {completion_correct};"
        f" booked once: {booked_once}"
    )
    return 0 if completion_correct and booked_once else 1


if __name__ == "__main__":
    sys.exit(main())
