"""`GET /v1/models`."""

import falcon

from caroblug.entry._door import Door
from caroblug.entry._refusals import write_refusal
from caroblug.utils import Refused


class Models:
    """`GET /v1/models`."""

    def __init__(self, door: Door) -> None:
        self._door = door

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Lists the models of the bundle in force."""
        entered = self._door.enter(request)
        if isinstance(entered, Refused):
            write_refusal(response, entered)
            return
        response.media = {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "owned_by": "caroblug"}
                for name in sorted(entered[0].bundle.models)
            ],
        }
