"""Stand-in for the platform's instance list, which shows changes late."""

from gevent import monkey

monkey.patch_all()

import argparse
import time
from typing import Any

import falcon

from standins._serve import make_app, serve


class InstanceList:
    """Instance list in which a change becomes visible after a delay.

    Args:
        lag_ms: Delay until a change becomes visible.
    """

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self.down = False
        self._changes: list[tuple[float, str, dict[str, Any] | None]] = []
        self._visible: dict[str, dict[str, Any]] = {}

    def change(self, name: str, record: dict[str, Any] | None) -> None:
        """Adds, updates or removes an instance.

        Args:
            name: Name of the instance.
            record: Fields to set, all or only those that differ; None removes
                the instance.
        """
        due = time.monotonic() + self.lag_ms / 1000
        self._changes.append((due, name, record))

    def visible(self) -> list[dict[str, Any]]:
        """Returns the records that are visible now."""
        now = time.monotonic()
        due = [c for c in self._changes if c[0] <= now]
        self._changes = [c for c in self._changes if c[0] > now]
        for _, name, record in due:
            if record is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = self._visible.get(name, {}) | record
        return [r for r in self._visible.values() if "host" in r]


class _InstancesResource:
    """Returns the visible records; adds, updates or removes an instance."""

    def __init__(self, instance_list: InstanceList) -> None:
        self._list = instance_list

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        if self._list.down:
            raise falcon.HTTPServiceUnavailable
        response.media = {"instances": self._list.visible()}

    def on_post(self, request: falcon.Request, response: falcon.Response):
        record = request.get_media()
        removed = record.get("state") == "gone"
        self._list.change(record["instance"], None if removed else record)
        response.media = {}


class _ControlResource:
    """Sets faults for tests: `down` and `lag_ms`."""

    def __init__(self, instance_list: InstanceList) -> None:
        self._list = instance_list

    def on_post(self, request: falcon.Request, response: falcon.Response):
        body = request.get_media()
        self._list.down = bool(body.get("down", False))
        if "lag_ms" in body:
            self._list.lag_ms = float(body["lag_ms"])
        response.media = {}


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag-ms", type=float, default=300.0)
    options = parser.parse_args()
    instance_list = InstanceList(options.lag_ms)
    app = make_app()
    app.add_route("/instances", _InstancesResource(instance_list))
    app.add_route("/control", _ControlResource(instance_list))
    serve(app, options.port)


if __name__ == "__main__":
    main()
