"""Stand-in for a plain HTTP service; counts the runs of each key."""

from gevent import monkey

monkey.patch_all()

import argparse
import collections

import falcon
import gevent

from standins._serve import make_app, serve


class PlainService:
    """Service that accepts any call.

    Args:
        delay_ms: Duration of each call.
    """

    def __init__(self, delay_ms: float) -> None:
        self.delay_ms = delay_ms
        self.padding = 0
        self.runs: collections.Counter[str] = collections.Counter()

    def __call__(
        self, request: falcon.Request, response: falcon.Response, **parts
    ) -> None:
        """Counts a call, waits for the delay and responds."""
        del parts
        key = request.get_header("Idempotency-Key") or ""
        body = request.bounded_stream.read().decode()
        self.runs[key or body] += 1
        gevent.sleep(self.delay_ms / 1000)
        response.media = {
            "method": request.method,
            "path": request.path,
            "body": body,
            "key": key,
            "run": self.runs[key or body],
            "padding": "x" * self.padding,
        }
        if request.method == "POST":
            response.status = falcon.HTTP_201


class _ControlResource:
    """Returns the runs by key; tests set `delay_ms` and `padding`."""

    def __init__(self, service: PlainService) -> None:
        self._service = service

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.media = {"runs": dict(self._service.runs)}

    def on_post(self, request: falcon.Request, response: falcon.Response):
        commands = request.get_media()
        self._service.delay_ms = float(
            commands.get("delay_ms", self._service.delay_ms)
        )
        self._service.padding = int(commands.get("padding", 0))
        response.media = {}


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--delay-ms", type=float, default=5.0)
    options = parser.parse_args()
    service = PlainService(options.delay_ms)
    app = make_app()
    app.add_route("/control", _ControlResource(service))
    app.add_sink(service, "/")
    serve(app, options.port)


if __name__ == "__main__":
    main()
