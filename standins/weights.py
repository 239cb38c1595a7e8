"""Stand-in for the weight store, which limits the rate of loads."""

from gevent import monkey

monkey.patch_all()

import argparse
import time

import falcon

from standins._serve import make_app, serve


class WeightStore:
    """State of the weight store.

    Args:
        loads: Number of loads that are granted in each period.
        period_s: Length of a period.

    Attributes:
        given: Number of granted loads.
        refused: Number of refused requests.
        early: Number of requests sent before the end of the `Retry-After`
            that the client had received.
    """

    def __init__(self, loads: int, period_s: float) -> None:
        self.loads = loads
        self.period_s = period_s
        self.given = 0
        self.refused = 0
        self.early = 0
        self._granted_at_s: list[float] = []
        self._retry_at_s: dict[str, float] = {}

    def reserve(self, client: str) -> float:
        """Grants or refuses a load.

        Args:
            client: Address of the client.

        Returns:
            0 if the load is granted, else the seconds until a retry may
            succeed.
        """
        now = time.monotonic()
        self.early += now < self._retry_at_s.pop(client, now)
        self._granted_at_s = [
            t for t in self._granted_at_s if t > now - self.period_s
        ]
        if len(self._granted_at_s) < self.loads:
            self._granted_at_s.append(now)
            self.given += 1
            return 0.0
        self.refused += 1
        wait_s = self._granted_at_s[0] + self.period_s - now
        self._retry_at_s[client] = now + wait_s
        return wait_s


class _LoadsResource:
    """Grants a load, or responds with status 429 and `Retry-After`."""

    def __init__(self, store: WeightStore) -> None:
        self._store = store

    def on_post(self, request: falcon.Request, response: falcon.Response):
        client = f"{request.remote_addr}:{request.env.get('REMOTE_PORT')}"
        wait_s = self._store.reserve(client)
        if wait_s:
            response.status = falcon.HTTP_429
            response.set_header("Retry-After", f"{wait_s:.3f}")
            return
        response.status = falcon.HTTP_201
        response.media = {"ticket": str(self._store.given)}


class _ControlResource:
    """Returns the counters of the store."""

    def __init__(self, store: WeightStore) -> None:
        self._store = store

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        store = self._store
        response.media = {
            "given": store.given,
            "refused": store.refused,
            "early": store.early,
        }


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--loads", type=int, default=2)
    parser.add_argument("--period-s", type=float, default=1.0)
    options = parser.parse_args()
    store = WeightStore(options.loads, options.period_s)
    app = make_app()
    app.add_route("/v1/loads", _LoadsResource(store))
    app.add_route("/control", _ControlResource(store))
    serve(app, options.port)


if __name__ == "__main__":
    main()
