"""Availability during an outage of the log, and the time to recover from it.

One client account sends three kinds of requests in closed loops over real
processes: completions, calls that may be repeated, and calls with a key, which
may not. `served_share` is the mean of the shares of each kind that succeed
during the outage. It is not the share over all requests, because refusals are
fast and would weight a kind by its speed. `normal_after_ms` is the time from
the end of the outage until a call with a key succeeds and all instances apply
a bundle that was published right after the outage. The outage lasts 20 s by
default instead of the target's 60 s, so that three runs stay short;
`--outage-s 60` runs the full duration.
"""

import argparse
import base64
import itertools
import statistics
import threading
import time

import attrs
import tomli_w

from benchmarks._result import Result, print_result
from caroblug.node import BUNDLE_STREAM
from caroblug.transport._http import HttpResponse
from standins import demo
from standins.site import MODEL, Site, make_site

_RUNS = 3
_OUTAGE_S = 20
_TIMEOUT_S = 60.0
_POLL_S = 0.02
_MS_PER_S = 1000
_KINDS = ("stream", "repeatable", "once")

_numbers = itertools.count()


@attrs.define
class _Tally:
    """Number of sent and of successful requests of one kind."""

    total_requests: int = 0
    served: int = 0


class _Callers:
    """Closed loops, one for each kind of request."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self.tallies = {kind: _Tally() for kind in _KINDS}
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._loop, args=(kind,), daemon=True)
            for kind in _KINDS
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the loops."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(_TIMEOUT_S)

    def _loop(self, kind: str) -> None:
        while not self._stopped.is_set():
            served = send_request(self._site, kind)
            self.tallies[kind].total_requests += 1
            self.tallies[kind].served += served
            time.sleep(_POLL_S)


def send_request(site: Site, kind: str) -> bool:
    """Sends one request and returns whether it succeeded."""
    try:
        if kind == "stream":
            body = {
                "model": MODEL,
                "messages": [{"role": "user", "content": "night sky"}],
                "max_tokens": 8,
            }
            path = "/v1/chat/completions"
            response = site.call("entry-a", "school-1", "POST", path, body)
        else:
            response = _call_booking(site, kind)
    except ConnectionError:
        return False
    return response.status < 400


def _call_booking(site: Site, kind: str) -> HttpResponse:
    path = "/services/booking/seats"
    if kind == "repeatable":
        return site.call("entry-a", "school-1", "GET", path)
    headers = {"Idempotency-Key": f"outage-{next(_numbers)}"}
    return site.call("entry-a", "school-1", "POST", path, {"seats": 1}, headers)


def _sign_next(site: Site) -> dict[str, str]:
    """Signs a new bundle version; returns the body of its append request."""
    path = site.folder / "next.toml"
    record = site.folder / "next.record"
    site.bundle["limits"]["max_tokens"] = 99
    path.write_text(tomli_w.dumps(site.bundle))
    key = str(site.folder / "operator-0.key")
    site.run_bundle_command(
        "sign",
        str(path),
        "--key",
        key,
        "--out",
        str(record),
        *site.log_options(),
    )
    return {"data": base64.b64encode(record.read_bytes()).decode()}


def _version(site: Site, name: str) -> int:
    port = site.processes[name].http_port
    return site.http(port, "GET", "/status").json()["version"]


def _normal_after_ms(site: Site, version: int, append: dict[str, str]) -> float:
    """Publishes a bundle after the outage and waits for normal service.

    Args:
        site: The running site.
        version: Version of the bundle.
        append: Body of the append request.

    Returns:
        The time until a call with a key succeeds and all instances apply the
        bundle, in ms.
    """
    start_s = time.monotonic()
    names = [
        p.name for p in site.processes.values() if p.role in ("entry", "side")
    ]
    path = f"/streams/{BUNDLE_STREAM}"
    site.http(site.log_port, "POST", path, append)
    while not send_request(site, "once"):
        time.sleep(_POLL_S)
    while any(_version(site, name) < version for name in names):
        time.sleep(_POLL_S)
        if time.monotonic() - start_s > _TIMEOUT_S:
            raise TimeoutError("not all instances have the new bundle version")
    return (time.monotonic() - start_s) * _MS_PER_S


def measure(outage_s: float) -> tuple[dict[str, float], float]:
    """Measures one outage.

    Args:
        outage_s: Duration of the outage.

    Returns:
        The share of successful requests by kind, with their mean as `all`,
        and the time until normal service in ms.
    """
    with make_site() as site:
        demo.start(site)
        if not all(send_request(site, kind) for kind in _KINDS):
            raise RuntimeError("a request failed before the outage")
        append = _sign_next(site)
        site.control("log", {"down": True})
        callers = _Callers(site)
        time.sleep(outage_s)
        callers.stop()
        site.control("log", {"down": False})
        normal_ms = _normal_after_ms(site, 2, append)
    shares = {
        k: t.served / t.total_requests for k, t in callers.tallies.items()
    }
    return {**shares, "all": statistics.mean(shares.values())}, normal_ms


def main() -> None:
    """Measures several outages and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=_RUNS)
    parser.add_argument("--outage-s", type=float, default=_OUTAGE_S)
    options = parser.parse_args()
    shares, times = [], []
    for _ in range(options.runs):
        share, normal_ms = measure(options.outage_s)
        print(f"served {share}, normal after {normal_ms:.0f} ms", flush=True)
        shares.append(share)
        times.append(normal_ms)
    figures = {
        "served_share": statistics.median(s["all"] for s in shares),
        "normal_after_ms": round(statistics.median(times), 1),
    }
    for kind in _KINDS:
        figures[f"served_share_{kind}"] = statistics.median(
            s[kind] for s in shares
        )
    print_result(Result("log_outage", options.runs, figures))


if __name__ == "__main__":
    main()
