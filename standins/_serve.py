"""HTTP server on loopback that every stand-in uses."""

import signal
import sys

import falcon
import gevent
import orjson
from falcon import media
from gevent import pywsgi

from caroblug.node import make_listener

HOST = "127.0.0.1"


def make_app() -> falcon.App:
    """Returns an application that reads and writes JSON with orjson."""
    app = falcon.App()
    handler = media.JSONHandler(dumps=orjson.dumps, loads=orjson.loads)
    app.req_options.media_handlers["application/json"] = handler
    app.resp_options.media_handlers["application/json"] = handler
    return app


def serve(app: falcon.App, port: int) -> None:
    """Serves an application on a loopback port until SIGTERM.

    Args:
        app: The application.
        port: Port to listen on.
    """
    server = pywsgi.WSGIServer(
        make_listener(HOST, port), app, log=None, error_log=None
    )
    gevent.signal_handler(signal.SIGTERM, lambda: sys.exit(0))
    server.serve_forever()
