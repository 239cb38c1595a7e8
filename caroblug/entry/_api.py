"""Routes of the HTTP API for callers."""

import os
import traceback

import falcon

from caroblug.caller_resources import CallerResources
from caroblug.entry._admission import StreamAdmission
from caroblug.entry._body_decoding import BodyDecoder
from caroblug.entry._completions import CompletionsResource
from caroblug.entry._models import ModelsResource
from caroblug.entry._plain_service_client import PlainServiceClient
from caroblug.entry._refusals import write_refusal
from caroblug.entry._request_guard import RequestGuard
from caroblug.entry._services import ServicesSink
from caroblug.entry._streams import EntryStreams
from caroblug.utils import Clock, ExecutionStatus, Metrics, RefusalType, Refused

_EXIT_INVARIANT_BROKEN = 70


def make_app(
    guard: RequestGuard,
    streams: EntryStreams,
    service_client: PlainServiceClient,
    admission: StreamAdmission,
    clock: Clock,
    metrics: Metrics,
    resources: CallerResources,
) -> falcon.App:
    """Returns the Falcon application that serves callers."""
    app = falcon.App()
    app.add_error_handler(Exception, _handle_exception)
    app.add_error_handler(falcon.HTTPNotFound, _handle_not_found)
    decoder = BodyDecoder(resources, clock)
    for path, chat in (
        ("/v1/chat/completions", True),
        ("/v1/completions", False),
    ):
        resource = CompletionsResource(
            guard, streams, admission, clock, metrics, decoder, chat=chat
        )
        app.add_route(path, resource)
    app.add_route("/v1/models", ModelsResource(guard))
    services = ServicesSink(guard, service_client, clock, metrics)
    app.add_sink(services, r"/services/(?P<name>[^/]+)(/(?P<path>.*))?")
    return app


def _handle_not_found(request, response, error, params) -> None:
    del request, error, params
    refused = Refused(RefusalType.NOT_FOUND, "no such path")
    write_refusal(response, refused)


def _handle_exception(request, response, error, params) -> None:
    """Logs an unhandled exception and exits if an invariant is broken.

    Falcon's default handler responds with a bare 500 status. It hides the
    exception and would continue to serve from a state known to be corrupt.
    """
    del request, params
    traceback.print_exception(error)
    if isinstance(error, AssertionError):
        os._exit(_EXIT_INVARIANT_BROKEN)
    refused = Refused(
        RefusalType.BACKEND_FAILED,
        "the request failed here",
        ExecutionStatus.UNKNOWN,
    )
    write_refusal(response, refused)
