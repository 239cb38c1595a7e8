"""`POST /v1/chat/completions` and `POST /v1/completions`."""

from collections.abc import Iterator
from typing import Any

import attrs
import falcon
import orjson

from caroblug.core.state import Bundle
from caroblug.entry._admission import Permit, StreamAdmission
from caroblug.entry._door import Door
from caroblug.entry._feed import Feed
from caroblug.entry._refusals import refusal_body, write_refusal
from caroblug.entry._requests import (
    Completion,
    make_stream_request,
    parse_completion,
)
from caroblug.entry._shapes import (
    ChatShape,
    Shape,
    TextShape,
    make_chunk_template,
)
from caroblug.entry._streams import EntryStreams, RunningStream
from caroblug.entry._tokenizer import Tokenizer, make_tokenizer
from caroblug.utils import CALLER_ERRORS, Clock, Metrics, Refused

_SSE_TYPE = "text/event-stream"
_SSE_DONE = b"data: [DONE]\n\n"


@attrs.frozen
class _Asked:
    """A request body that was read and parsed."""

    completion: Completion
    body_bytes: int


class Completions:
    """`POST /v1/chat/completions` and `POST /v1/completions`."""

    def __init__(
        self,
        door: Door,
        streams: EntryStreams,
        admission: StreamAdmission,
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
        asked = self._read(request, head.bundle)
        if isinstance(asked, Refused):
            self._refuse(response, asked, group)
            return
        completion = asked.completion
        begun = self._begin(asked, head.bundle, account)
        if isinstance(begun, Refused):
            self._refuse(response, begun, group)
            self._count_refused(completion, head.bundle, account, begun)
            return
        stream, permit = begun
        tokenizer = make_tokenizer(
            head.bundle.models[completion.model].vocabulary
        )
        feed = Feed(stream, self._streams, permit, self._clock, self._metrics)
        feed.begin(since_ms, group)
        if completion.stream:
            response.content_type = _SSE_TYPE
            response.stream = SseStream(feed, self._shape, tokenizer)
            return
        self._answer_whole(response, feed, tokenizer, group)

    def _read(
        self, request: falcon.Request, bundle: Bundle
    ) -> _Asked | Refused:
        body = self._door.read_body(request, bundle.limits.body_bytes)
        if isinstance(body, Refused):
            return body
        completion = parse_completion(body)
        if isinstance(completion, Refused):
            return completion
        return _Asked(completion, len(body))

    def _begin(
        self, asked: _Asked, bundle: Bundle, account: str
    ) -> tuple[RunningStream, Permit] | Refused:
        wanted = make_stream_request(
            asked.completion, bundle, account, asked.body_bytes
        )
        if isinstance(wanted, Refused):
            return wanted
        permit = self._admission.admit(wanted, bundle)
        if isinstance(permit, Refused):
            return permit
        stream = self._streams.start(permit.request)
        if isinstance(stream, Refused):
            permit.close(generated=0)
            return stream
        stream.on_end = lambda: permit.close(stream.tokens.generated)
        self._admission.on_open(stream.chain.instances)
        return stream, permit

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

    def _count_refused(
        self,
        completion: Completion,
        bundle: Bundle,
        account: str,
        refused: Refused,
    ) -> None:
        """Counts a request refused at the door under its model."""
        if completion.model not in bundle.models:
            return
        self._metrics.count(
            "requests",
            service=completion.model,
            group=bundle.client_accounts[account].group,
            outcome=refused.type.value,
        )
        if refused.type not in CALLER_ERRORS:
            self._metrics.count_account_failure(account)

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
        template = make_chunk_template(self._shape, self._feed.stream)
        decode = self._tokenizer.decode
        for part in self._feed:
            if isinstance(part, Refused):
                yield _event(refusal_body(part))
                return
            yield template.event(decode(part))
        yield _event(self._shape.chunk(self._feed.stream, "", "length"))
        yield _SSE_DONE


def _event(body: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(body) + b"\n\n"
