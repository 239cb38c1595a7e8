"""The callers' HTTP: which resource answers which path."""

import falcon

from caroblug.core.limits import Admission
from caroblug.entry._completions import Completions
from caroblug.entry._door import Door
from caroblug.entry._models import Models
from caroblug.entry._plain import PlainClient
from caroblug.entry._refusals import write_refusal
from caroblug.entry._services import Services
from caroblug.entry._streams import EntryStreams
from caroblug.utils import Clock, Metrics, RefusalType, Refused


def make_app(
    door: Door,
    streams: EntryStreams,
    plain: PlainClient,
    admission: Admission,
    clock: Clock,
    metrics: Metrics,
) -> falcon.App:
    """Returns the application that serves callers."""
    app = falcon.App()
    app.add_error_handler(falcon.HTTPNotFound, _not_found)
    for path, chat in (
        ("/v1/chat/completions", True),
        ("/v1/completions", False),
    ):
        resource = Completions(
            door, streams, admission, clock, metrics, chat=chat
        )
        app.add_route(path, resource)
    app.add_route("/v1/models", Models(door))
    services = Services(door, plain, clock, metrics)
    app.add_sink(services, r"/services/(?P<name>[^/]+)(/(?P<path>.*))?")
    return app


def _not_found(request, response, error, params) -> None:
    del request, error, params
    refused = Refused(RefusalType.NOT_FOUND, "no such path")
    write_refusal(response, refused)
