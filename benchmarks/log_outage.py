"""What is served while the log is down, and how long until all is normal.

Over real processes, one client account in closed loops: streamed
completions, calls that may be repeated, and calls that may not.
`served_share` is the share of all requests answered while the log is down;
`normal_after_ms` is the time from the log's return until a call that may not
be repeated is answered and a bundle published at once is in force
everywhere. The outage lasts 20 s by default, not the 60 s of the aim, so
that three runs stay short; `--outage-s 60` gives the whole.
"""

import argparse
import statistics
import threading
import time

import attrs

from benchmarks._result import Result, print_result
from standins import demo
from standins.site import MODEL, Site, make_site

_RUNS = 3
_OUTAGE_S = 20
_BOUND_S = 60.0
_POLL_S = 0.02
_MS_PER_S = 1000
_KINDS = ("stream", "repeatable", "once")


@attrs.define
class _Tally:
    asked: int = 0
    served: int = 0


class _Callers:
    """One closed loop for each kind of request."""

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
            thread.join(_BOUND_S)

    def _loop(self, kind: str) -> None:
        while not self._stopped.is_set():
            served = ask(self._site, kind)
            self.tallies[kind].asked += 1
            self.tallies[kind].served += served
            time.sleep(_POLL_S)


def ask(site: Site, kind: str) -> bool:
    """Makes one request; returns whether it was answered."""
    try:
        if kind == "stream":
            body = {
                "model": MODEL,
                "messages": [{"role": "user", "content": "night sky"}],
                "max_tokens": 8,
            }
            path = "/v1/chat/completions"
            answer = site.call("entry-a", "school-1", "POST", path, body)
        else:
            method = "GET" if kind == "repeatable" else "POST"
            path = "/services/booking/seats"
            body = None if kind == "repeatable" else {"seats": 1}
            answer = site.call("entry-a", "school-1", method, path, body)
    except ConnectionError:
        return False
    return answer.status < 400


def _version(site: Site, name: str) -> int:
    port = site.processes[name].http_port
    return site.http(port, "GET", "/status").json()["version"]


def _normal_after_ms(site: Site, version: int) -> float:
    """Returns the time until all is as before the outage."""
    began = time.monotonic()
    names = [
        p.name for p in site.processes.values() if p.role in ("entry", "side")
    ]
    site.publish()
    while not ask(site, "once"):
        time.sleep(_POLL_S)
    while any(_version(site, name) < version for name in names):
        time.sleep(_POLL_S)
        if time.monotonic() - began > _BOUND_S:
            raise TimeoutError("not normal after the outage")
    return (time.monotonic() - began) * _MS_PER_S


def measure(outage_s: float) -> tuple[dict[str, float], float]:
    """Returns the share served by kind, and the time until normal."""
    with make_site() as site:
        demo.start(site)
        if not all(ask(site, kind) for kind in _KINDS):
            raise RuntimeError("not all is served before the outage")
        site.control("log", {"down": True})
        callers = _Callers(site)
        time.sleep(outage_s)
        callers.stop()
        site.control("log", {"down": False})
        normal_ms = _normal_after_ms(site, version=2)
    shares = {k: t.served / t.asked for k, t in callers.tallies.items()}
    asked = sum(t.asked for t in callers.tallies.values())
    served = sum(t.served for t in callers.tallies.values())
    return {**shares, "all": served / asked}, normal_ms


def main() -> None:
    """Measures several outages."""
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
