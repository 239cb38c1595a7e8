"""What is served while the log is down, and how long until all is normal.

Over real processes, one client account in closed loops: streamed
completions, calls that may be repeated, and calls with a key that may not.
`served_share` is the mean of the three kinds' shares answered while the log
is down: a refusal comes at once, so that a common share would count speed;
`normal_after_ms` is the time from the log's return until a call that may not
be repeated is answered and a bundle published at once is in force
everywhere. The outage lasts 20 s by default, not the 60 s of the aim, so
that three runs stay short; `--outage-s 60` gives the whole.
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
    total_requests: int = 0
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
            thread.join(_TIMEOUT_S)

    def _loop(self, kind: str) -> None:
        while not self._stopped.is_set():
            served = send_request(self._site, kind)
            self.tallies[kind].total_requests += 1
            self.tallies[kind].served += served
            time.sleep(_POLL_S)


def send_request(site: Site, kind: str) -> bool:
    """Makes one request; returns whether it was answered."""
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
    """Signs a new version; returns the log's append of it."""
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
    """Returns the time until all is as before the outage."""
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
            raise TimeoutError("not normal after the outage")
    return (time.monotonic() - start_s) * _MS_PER_S


def measure(outage_s: float) -> tuple[dict[str, float], float]:
    """Returns the share served by kind, and the time until normal."""
    with make_site() as site:
        demo.start(site)
        if not all(send_request(site, kind) for kind in _KINDS):
            raise RuntimeError("not all is served before the outage")
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
