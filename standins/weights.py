"""A stand-in weight store: gives leave to load, so many in a while."""

from gevent import monkey

monkey.patch_all()

import argparse
import time

import falcon

from standins._serve import make_app, serve


class Weights:
    """The store's state.

    Args:
        loads: Loads in each period.
        period_s: Length of a period.
    """

    def __init__(self, loads: int, period_s: float) -> None:
        self.loads = loads
        self.period_s = period_s
        self.given = 0
        self.refused = 0
        self.early = 0
        self._times: list[float] = []
        self._told: dict[str, float] = {}

    def reserve(self, who: str) -> float:
        """Gives leave and returns 0, or returns the seconds to wait."""
        now = time.monotonic()
        self.early += now < self._told.pop(who, now)
        self._times = [t for t in self._times if t > now - self.period_s]
        if len(self._times) < self.loads:
            self._times.append(now)
            self.given += 1
            return 0.0
        self.refused += 1
        wait_s = self._times[0] + self.period_s - now
        self._told[who] = now + wait_s
        return wait_s


class _Loads:
    def __init__(self, weights: Weights) -> None:
        self._weights = weights

    def on_post(self, request: falcon.Request, response: falcon.Response):
        who = f"{request.remote_addr}:{request.env.get('REMOTE_PORT')}"
        wait_s = self._weights.reserve(who)
        if wait_s:
            response.status = falcon.HTTP_429
            response.set_header("Retry-After", f"{wait_s:.3f}")
            return
        response.status = falcon.HTTP_201
        response.media = {"ticket": str(self._weights.given)}


class _Counts:
    def __init__(self, weights: Weights) -> None:
        self._weights = weights

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        weights = self._weights
        response.media = {
            "given": weights.given,
            "refused": weights.refused,
            "early": weights.early,
        }


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--loads", type=int, default=2)
    parser.add_argument("--period-s", type=float, default=1.0)
    options = parser.parse_args()
    weights = Weights(options.loads, options.period_s)
    app = make_app()
    app.add_route("/v1/loads", _Loads(weights))
    app.add_route("/control", _Counts(weights))
    serve(app, options.port)


if __name__ == "__main__":
    main()
