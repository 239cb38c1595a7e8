"""Quick check whether a search for a path with room can succeed."""

from caroblug.core.placement import Engine, EngineRooms, ModelShape, RoomNeed

_MEAN_WEIGHT = 0.02
"""Weight of one stream in the moving average of the tokens of a stream."""


class RoomCheck:
    """Checks the room of each layer, in a fraction of the time of a search.

    Args:
        rooms: Free memory of each engine.
    """

    def __init__(self, rooms: EngineRooms) -> None:
        self._rooms = rooms
        self._engines: list[Engine] = []
        self._model: ModelShape | None = None
        self._mean_tokens = 0.0

    def set_engines(self, engines: list[Engine], model: ModelShape) -> None:
        """Sets the engines of the service and their model."""
        self._engines = [e for e in engines if not e.loading]
        self._model = model

    def on_arrival(self, tokens: int) -> None:
        """Counts the tokens of a stream that has arrived."""
        weight = _MEAN_WEIGHT if self._mean_tokens else 1.0
        self._mean_tokens += (tokens - self._mean_tokens) * weight

    def may_have_room(self, need: RoomNeed, now_ms: int) -> bool:
        """Returns whether each layer has an engine with the room needed.

        A layer that no engine holds is left to the search.

        Args:
            need: Memory that a stream needs.
            now_ms: Current time.
        """
        # The tokens of the stream that waits would outweigh all others in the
        # mean of the rooms.
        mean_tokens = max(1, round(self._mean_tokens))
        self._rooms.begin_search(
            self._engines, self._model, mean_tokens, need.max_use, now_ms
        )
        covered: set[int] = set()
        with_room: set[int] = set()
        for engine in self._engines:
            covered.update(engine.holds)
            if not with_room.issuperset(engine.holds) and self._rooms.has_room(
                engine, self._model, need.tokens, need.max_use, now_ms
            ):
                with_room.update(engine.holds)
        return with_room == covered
