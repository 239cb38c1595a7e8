"""Time from the log's acceptance of a bundle until all instances apply it.

Up to 25 followers run in a process, over real sockets. The log service and
the instance list are stand-ins. `p100_ms_N` is the time to the last of N
instances, as the median over the changes. `bytes_per_node` is the data that
an instance sends for one change, without idle traffic, at the last size (200
by default). The lines before the result show messages, log reads and idle
traffic.
"""

import argparse
import base64
import statistics
import subprocess
import sys
import threading
import time

import attrs
import orjson
import tomli_w

from benchmarks._result import Result, print_result
from caroblug.core.state import hash_key
from standins.site import HOST, SHARED_KEY, Site, make_site

_SIZES = (10, 50, 200)
_CHANGES = 5
_PER_PROCESS = 25
_DATA_CENTRE_COUNT = 4
_ACCOUNTS = 1800
_IDLE_S = 5.0
_TIMEOUT_S = 60.0
_MS_PER_S = 1000
_US_PER_MS = 1000


@attrs.define
class _Totals:
    """Totals that a follower process prints, in the order of its fields."""

    bytes: float = 0.0
    frames: float = 0.0
    reads: float = 0.0
    ready: float = 0.0
    links: float = 0.0
    cpu_ms: float = 0.0

    def per_node(self, before: "_Totals", nodes: int) -> "_Totals":
        """Returns the mean increase per node since earlier totals."""
        return _Totals(
            *(
                (getattr(self, f.name) - getattr(before, f.name)) / nodes
                for f in attrs.fields(_Totals)
            )
        )


class _FollowerFleet:
    """Followers of the bundles in several processes."""

    def __init__(self, site: Site, count: int) -> None:
        self.count = count
        self._in_force_ms: dict[int, dict[str, float]] = {}
        self._totals: list[_Totals] = []
        self._changed = threading.Condition()
        self._processes = []
        tables = [self._settings(site, number) for number in range(count)]
        for table in tables:
            self._list_instance(site, table)
        for first in range(0, count, _PER_PROCESS):
            self._start(tables[first : first + _PER_PROCESS])

    def _settings(self, site: Site, number: int) -> dict:
        return {
            "instance": f"node-{number:03d}",
            "data_centre": f"place-{number % _DATA_CENTRE_COUNT}",
            "host": HOST,
            "peer_port": site.ports.take(),
            "http_port": 0,
            "shared_key": SHARED_KEY,
            "operators": site.operator_keys,
            "log": {"host": HOST, "port": site.log_port},
            "instance_list": {"host": HOST, "port": site.instance_list_port},
        }

    def _list_instance(self, site: Site, table: dict) -> None:
        record = {
            "instance": table["instance"],
            "role": "side",
            "host": HOST,
            "port": table["peer_port"],
            "data_centre": table["data_centre"],
            "state": "live",
        }
        site.http(site.instance_list_port, "POST", "/instances", record)

    def _start(self, tables: list[dict]) -> None:
        process = subprocess.Popen(
            [sys.executable, "-m", "standins.followers"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        process.stdin.write(orjson.dumps(tables) + b"\n")
        process.stdin.flush()
        self._processes.append(process)
        threading.Thread(
            target=self._read, args=(process,), daemon=True
        ).start()

    def _read(self, process: subprocess.Popen) -> None:
        for line in process.stdout:
            fields = line.split()
            with self._changed:
                if fields[0] == b"sent":
                    self._totals.append(_Totals(*map(float, fields[1:])))
                else:
                    seen = self._in_force_ms.setdefault(int(fields[0]), {})
                    seen[fields[1].decode()] = float(fields[2])
                self._changed.notify_all()

    def wait_last_ms(self, version: int) -> float:
        """Waits until every node applied a version; returns the last time."""

        def _all() -> bool:
            return len(self._in_force_ms.get(version, ())) == self.count

        with self._changed:
            if not self._changed.wait_for(_all, _TIMEOUT_S):
                raise TimeoutError(
                    f"version {version} is not in force everywhere"
                )
            return max(self._in_force_ms[version].values())

    def read_totals(self) -> _Totals:
        """Returns the totals over all nodes so far."""
        with self._changed:
            self._totals.clear()
        for process in self._processes:
            process.stdin.write(b"bytes\n")
            process.stdin.flush()

        def _all() -> bool:
            return len(self._totals) == len(self._processes)

        with self._changed:
            if not self._changed.wait_for(_all, _TIMEOUT_S):
                raise TimeoutError("a follower process did not respond")
            rows = [attrs.astuple(a) for a in self._totals]
        return _Totals(*(sum(column) for column in zip(*rows, strict=True)))

    def close(self) -> None:
        """Ends every process."""
        for process in self._processes:
            process.kill()
            process.wait()


def _publish(site: Site, number: int) -> float:
    """Publishes a change of one account; returns when the log accepted it."""
    rules = site.bundle["client_accounts"]
    rules["account-7"]["streams"] = number
    path = site.folder / "bundle.toml"
    record = site.folder / f"bundle-{number}.record"
    path.write_text(tomli_w.dumps(site.bundle))
    key = str(site.folder / "operator-0.key")
    options = site.log_options()
    site.run_bundle_command(
        "sign", str(path), "--key", key, "--out", str(record), *options
    )
    data = record.read_bytes()
    body = {"data": base64.b64encode(data).decode()}
    response = site.http(
        site.log_port, "POST", "/streams/caroblug.bundles", body
    )
    if response.status != 201:
        raise RuntimeError(f"log append failed: status {response.status}")
    return time.monotonic() * _MS_PER_S


def _wait_ready(nodes: _FollowerFleet) -> None:
    end = time.monotonic() + _TIMEOUT_S
    while nodes.read_totals().ready < nodes.count:
        if time.monotonic() > end:
            raise TimeoutError("not all nodes are ready")
        time.sleep(0.5)


@attrs.frozen
class SizeResult:
    """Figures of one number of nodes.

    Attributes:
        last_ms: Median time to the last node.
        change_bytes: Bytes that a node sends for one change.
        idle_bytes_s: Bytes that an idle node sends per second.
        idle_us_s: Processor time of an idle node, in µs per second.
    """

    last_ms: float
    change_bytes: float
    idle_bytes_s: float
    idle_us_s: float


def measure(count: int, changes: int) -> SizeResult:
    """Measures a number of changes with a number of nodes."""
    with make_site() as site:
        site.start_platform()
        for number in range(_ACCOUNTS):
            name = f"account-{number}"
            key_hash = hash_key(f"{name}:key", f"{number:016x}")
            site.bundle["client_accounts"][name] = {"key_hashes": [key_hash]}
        nodes = _FollowerFleet(site, count)
        try:
            _publish(site, 1)
            nodes.wait_last_ms(1)
            _wait_ready(nodes)
            time.sleep(_IDLE_S)
            first = nodes.read_totals()
            time.sleep(_IDLE_S)
            idle = nodes.read_totals().per_node(first, count)
            times = []
            before, began = nodes.read_totals(), time.monotonic()
            for number in range(2, 2 + changes):
                accepted_ms = _publish(site, number)
                times.append(nodes.wait_last_ms(number) - accepted_ms)
            duration_s = time.monotonic() - began
            after = nodes.read_totals()
            change = after.per_node(before, count)
        finally:
            nodes.close()
    idle_bytes_s = idle.bytes / _IDLE_S
    per_change = (change.bytes - idle_bytes_s * duration_s) / changes
    print(
        f"{count} nodes: last in force after "
        f"{[round(t) for t in times]} ms; "
        f"idle per node and s: {idle_bytes_s:.0f} bytes, "
        f"{idle.frames / _IDLE_S:.2f} frames, "
        f"{idle.reads / _IDLE_S:.2f} log reads, "
        f"{idle.cpu_ms / _IDLE_S:.2f} ms of processor; "
        f"per node and change: {per_change:.0f} bytes; "
        f"{after.links / count:.1f} connections per node",
        flush=True,
    )
    return SizeResult(
        statistics.median(times),
        per_change,
        idle_bytes_s,
        idle.cpu_ms / _IDLE_S * _US_PER_MS,
    )


def main() -> None:
    """Measures all sizes and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=_SIZES)
    parser.add_argument("--changes", type=int, default=_CHANGES)
    options = parser.parse_args()
    figures = {}
    for count in options.sizes:
        result = measure(count, options.changes)
        figures[f"p100_ms_{count}"] = round(result.last_ms, 1)
    figures["bytes_per_node"] = round(result.change_bytes)
    figures["idle_bytes_per_s"] = round(result.idle_bytes_s, 1)
    figures["idle_us_per_s"] = round(result.idle_us_s)
    print_result(Result("bundle_spread", options.changes, figures))


if __name__ == "__main__":
    main()
