"""HTTP resource for the list of models."""

import falcon

from caroblug.entry._refusals import write_refusal
from caroblug.entry._request_guard import RequestGuard
from caroblug.utils import Refused


class ModelsResource:
    """Handles `GET /v1/models`.

    Args:
        guard: Authenticates requests.
    """

    def __init__(self, guard: RequestGuard) -> None:
        self._guard = guard

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Lists the models of the bundle in force."""
        checked = self._guard.authenticate_request(request)
        if isinstance(checked, Refused):
            write_refusal(response, checked)
            return
        response.media = {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "owned_by": "caroblug"}
                for name in sorted(checked[0].bundle.models)
            ],
        }
