"""HTTP resource for chat and text completions."""

from collections.abc import Iterator
from typing import Any

import attrs
import falcon
import orjson

from caroblug.core.state import Bundle
from caroblug.entry._admission import Permit, StreamAdmission
from caroblug.entry._body_decoding import BodyDecoder
from caroblug.entry._refusals import refusal_body, write_refusal
from caroblug.entry._request_guard import RequestGuard
from caroblug.entry._requests import (
    Completion,
    make_stream_request,
)
from caroblug.entry._response_formats import (
    ChatFormat,
    ResponseFormat,
    TextFormat,
    make_chunk_template,
)
from caroblug.entry._stream_reader import StreamReader
from caroblug.entry._streams import EntryStreams, RunningStream
from caroblug.entry._tokenizer import Tokenizer, make_tokenizer
from caroblug.utils import CALLER_ERRORS, Clock, Metrics, Refused

_SSE_TYPE = "text/event-stream"
_SSE_DONE = b"data: [DONE]\n\n"


@attrs.frozen
class _ParsedRequest:
    """A parsed completion and the size of its body."""

    completion: Completion
    body_bytes: int


class CompletionsResource:
    """Handles `POST /v1/chat/completions` or `POST /v1/completions`.

    Args:
        guard: Authenticates requests and reads their bodies.
        streams: The entry's streams.
        admission: Admission control.
        clock: Source of time.
        metrics: Where requests and refusals are counted.
        decoder: Decodes bodies.
        chat: Whether responses have the chat format.
    """

    def __init__(
        self,
        guard: RequestGuard,
        streams: EntryStreams,
        admission: StreamAdmission,
        clock: Clock,
        metrics: Metrics,
        decoder: BodyDecoder,
        *,
        chat: bool,
    ) -> None:
        self._decoder = decoder
        self._guard = guard
        self._streams = streams
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._format = ChatFormat() if chat else TextFormat()

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Responds to a completion request, streamed or in one piece."""
        received_ms = self._clock.now_ms()
        checked = self._guard.authenticate_request(request)
        if isinstance(checked, Refused):
            self._refuse(response, checked, "none")
            return
        head, account = checked
        group = head.bundle.client_accounts[account].group
        parsed = self._parse(request, head.bundle)
        if isinstance(parsed, Refused):
            self._refuse(response, parsed, group)
            return
        completion = parsed.completion
        started = self._start_stream(parsed, head.bundle, account)
        if isinstance(started, Refused):
            self._refuse(response, started, group)
            self._count_refused(completion, head.bundle, account, started)
            return
        stream, permit = started
        tokenizer = make_tokenizer(
            head.bundle.models[completion.model].vocabulary
        )
        reader = StreamReader(
            stream, self._streams, permit, self._clock, self._metrics
        )
        reader.start_timing(received_ms, group)
        if completion.stream:
            response.content_type = _SSE_TYPE
            response.stream = SseStream(reader, self._format, tokenizer)
            return
        self._write_response(response, reader, tokenizer, group)

    def _parse(
        self, request: falcon.Request, bundle: Bundle
    ) -> _ParsedRequest | Refused:
        body = self._guard.read_body(request, bundle.limits.body_bytes)
        if isinstance(body, Refused):
            return body
        completion = self._decoder.decode(body)
        if isinstance(completion, Refused):
            return completion
        return _ParsedRequest(completion, len(body))

    def _start_stream(
        self, parsed: _ParsedRequest, bundle: Bundle, account: str
    ) -> tuple[RunningStream, Permit] | Refused:
        stream_request = make_stream_request(
            parsed.completion, bundle, account, parsed.body_bytes
        )
        if isinstance(stream_request, Refused):
            return stream_request
        permit = self._admission.admit(stream_request, bundle)
        if isinstance(permit, Refused):
            return permit
        stream = self._streams.start(permit.request)
        if isinstance(stream, Refused):
            permit.close(generated=0)
            return stream
        stream.on_end = lambda: permit.close(stream.tokens.generated)
        self._admission.on_open(stream.chain.instances)
        return stream, permit

    def _write_response(
        self,
        response: falcon.Response,
        reader: StreamReader,
        tokenizer: Tokenizer,
        group: str,
    ) -> None:
        tokens: list[int] = []
        for item in reader:
            if isinstance(item, Refused):
                self._refuse(response, item, group)
                return
            tokens.extend(item)
        response.media = self._format.format_response(
            reader.stream, tokenizer, tokens
        )

    def _count_refused(
        self,
        completion: Completion,
        bundle: Bundle,
        account: str,
        refused: Refused,
    ) -> None:
        """Counts a request that was refused before its stream started."""
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
    """Response body of server-sent events.

    The server also calls `close` when the caller disconnects before the first
    byte. Closing a generator that has not started runs none of its code, so
    the stream would not end.
    """

    def __init__(
        self,
        reader: StreamReader,
        response_format: ResponseFormat,
        tokenizer: Tokenizer,
    ) -> None:
        self._reader = reader
        self._format = response_format
        self._tokenizer = tokenizer
        self._events = self._make_events()

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """Stops the events and ends the stream at every stage."""
        self._events.close()
        self._reader.close()

    def _make_events(self) -> Iterator[bytes]:
        template = make_chunk_template(self._format, self._reader.stream)
        decode = self._tokenizer.decode
        for item in self._reader:
            if isinstance(item, Refused):
                yield _format_event(refusal_body(item))
                return
            yield template.event(decode(item))
        yield _format_event(
            self._format.format_chunk(self._reader.stream, "", "length")
        )
        yield _SSE_DONE


def _format_event(body: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(body) + b"\n\n"
