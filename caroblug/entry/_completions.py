"""`POST /v1/chat/completions` and `POST /v1/completions`."""

from collections.abc import Iterator
from typing import Any

import falcon
import orjson

from caroblug.core.limits import Admission
from caroblug.core.state import Bundle
from caroblug.entry._door import Door
from caroblug.entry._feed import Feed
from caroblug.entry._refusals import refusal_body, write_refusal
from caroblug.entry._requests import (
    Completion,
    make_stream_request,
    parse_completion,
)
from caroblug.entry._shapes import ChatShape, Shape, TextShape
from caroblug.entry._streams import EntryStreams, RunningStream
from caroblug.entry._tokenizer import Tokenizer, make_tokenizer
from caroblug.utils import Clock, Metrics, Refused

_SSE_TYPE = "text/event-stream"
_SSE_DONE = b"data: [DONE]\n\n"


class Completions:
    """`POST /v1/chat/completions` and `POST /v1/completions`."""

    def __init__(
        self,
        door: Door,
        streams: EntryStreams,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
        *,
        chat: bool,
    ) -> None:
        self._door = door
        self._streams = streams
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._shape = ChatShape() if chat else TextShape()

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answers a completion, whole or streamed."""
        since_ms = self._clock.now_ms()
        entered = self._door.enter(request)
        if isinstance(entered, Refused):
            self._refuse(response, entered, "none")
            return
        head, account = entered
        group = head.bundle.client_accounts[account].group
        begun = self._begin(request, head.bundle, account)
        if isinstance(begun, Refused):
            self._refuse(response, begun, group)
            return
        completion, stream = begun
        tokenizer = make_tokenizer(
            head.bundle.models[completion.model].vocabulary
        )
        feed = Feed(
            stream, self._streams, self._admission, self._clock, self._metrics
        )
        feed.begin(since_ms, group)
        if completion.stream:
            response.content_type = _SSE_TYPE
            response.stream = SseStream(feed, self._shape, tokenizer)
            return
        self._answer_whole(response, feed, tokenizer, group)

    def _begin(
        self, request: falcon.Request, bundle: Bundle, account: str
    ) -> tuple[Completion, RunningStream] | Refused:
        body = self._door.read_body(request, bundle)
        if isinstance(body, Refused):
            return body
        completion = parse_completion(body)
        if isinstance(completion, Refused):
            return completion
        wanted = make_stream_request(completion, bundle, account)
        if isinstance(wanted, Refused):
            return wanted
        allowed = bundle.client_accounts[account].streams
        refused = self._admission.admit(account, allowed)
        if refused is not None:
            return refused
        stream = self._streams.start(wanted)
        if isinstance(stream, Refused):
            self._admission.release(account)
            return stream
        return completion, stream

    def _answer_whole(
        self,
        response: falcon.Response,
        feed: Feed,
        tokenizer: Tokenizer,
        group: str,
    ) -> None:
        tokens: list[int] = []
        for part in feed:
            if isinstance(part, Refused):
                self._refuse(response, part, group)
                return
            tokens.extend(part)
        response.media = self._shape.whole(feed.stream, tokenizer, tokens)

    def _refuse(
        self, response: falcon.Response, refused: Refused, group: str
    ) -> None:
        self._metrics.count("refusals", type=refused.type, group=group)
        write_refusal(response, refused)


class SseStream:
    """The body of a streamed answer.

    The server calls `close` also when the caller goes away before the first
    byte, which a plain generator would not notice.
    """

    def __init__(self, feed: Feed, shape: Shape, tokenizer: Tokenizer) -> None:
        self._feed = feed
        self._shape = shape
        self._tokenizer = tokenizer
        self._events = self._make_events()

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """Ends the stream at every stage."""
        self._events.close()
        self._feed.close()

    def _make_events(self) -> Iterator[bytes]:
        for part in self._feed:
            if isinstance(part, Refused):
                yield _event(refusal_body(part))
                return
            text = self._tokenizer.decode(part)
            yield _event(self._shape.chunk(self._feed.stream, text))
        yield _event(self._shape.chunk(self._feed.stream, "", "length"))
        yield _SSE_DONE


def _event(body: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(body) + b"\n\n"
