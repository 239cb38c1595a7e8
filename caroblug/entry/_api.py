"""The callers' HTTP: completions, models and plain services."""

import time
from collections.abc import Iterator
from typing import Any

import falcon
import orjson
from gevent import queue

from caroblug.core.limits import Admission
from caroblug.core.state import Bundle, Head
from caroblug.entry._accounts import authenticate
from caroblug.entry._plain import PlainClient
from caroblug.entry._refusals import refusal_body, write_refusal
from caroblug.entry._requests import (
    Completion,
    make_stream_request,
    parse_completion,
)
from caroblug.entry._streams import EntryStreams, RunningStream
from caroblug.entry._tokenizer import Tokenizer, make_tokenizer
from caroblug.gen.wire import ttypes as wire
from caroblug.node import BundleFollower, Lifetime
from caroblug.utils import Clock, Metrics, Ran, RefusalType, Refused

_SSE_TYPE = "text/event-stream"
_SSE_DONE = b"data: [DONE]\n\n"
_MS_PER_S = 1000
_RETRY_AFTER_MS = 1000
_NOT_READY = Refused(
    RefusalType.OVERLOADED,
    "this instance is not ready",
    retry_after_ms=_RETRY_AFTER_MS,
)
_PASSED_HEADERS = ("content-type", "accept")
_DEADLINE = Refused(
    RefusalType.DEADLINE_EXCEEDED,
    "the answer took too long",
    Ran.UNKNOWN,
    _RETRY_AFTER_MS,
)


class Door:
    """What every resource asks first: bundle, account, body.

    Args:
        bundles: The bundle in force.
        lifetime: Whether the program is leaving.
    """

    def __init__(self, bundles: BundleFollower, lifetime: Lifetime) -> None:
        self._bundles = bundles
        self._lifetime = lifetime

    def enter(self, request: falcon.Request) -> tuple[Head, str] | Refused:
        """Returns the head and the client account, or a refusal."""
        head = self._bundles.head
        if head is None or self._lifetime.leaving:
            return _NOT_READY
        account = authenticate(head.bundle, request.get_header("Authorization"))
        if isinstance(account, Refused):
            return account
        return head, account

    def read_body(
        self, request: falcon.Request, bundle: Bundle
    ) -> bytes | Refused:
        """Returns the body, or refuses one over the limit."""
        limit = bundle.limits.body_bytes
        if (request.content_length or 0) <= limit:
            body = request.bounded_stream.read(limit + 1)
            if len(body) <= limit:
                return body
        return Refused(
            RefusalType.BODY_TOO_LARGE, f"the body is over {limit} bytes"
        )


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
        self._shape = _ChatShape() if chat else _TextShape()

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
        feed = _Feed(
            stream, self._streams, self._admission, self._clock, self._metrics
        )
        feed.begin(since_ms, group)
        if completion.stream:
            response.content_type = _SSE_TYPE
            response.stream = _SseStream(feed, self._shape, tokenizer)
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
        feed: "_Feed",
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


class _Feed:
    """Iterates over what a stream releases; ends it whatever happens."""

    def __init__(
        self,
        stream: RunningStream,
        streams: EntryStreams,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.stream = stream
        self._streams = streams
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._since_ms = 0
        self._group = ""
        self._closed = False

    def begin(self, since_ms: int, group: str) -> None:
        """Notes when the request came and under which group it counts."""
        self._since_ms = since_ms
        self._group = group

    def __iter__(self) -> Iterator[list[int] | Refused]:
        last_ms = self._since_ms
        name = "first_token"
        outcome = "answered"
        try:
            while True:
                part = self._next()
                if part is None:
                    break
                if isinstance(part, Refused):
                    outcome = part.type.value
                    yield part
                    break
                now_ms = self._clock.now_ms()
                self._record(name, now_ms - last_ms)
                name, last_ms = "between_tokens", now_ms
                yield part
        except GeneratorExit:
            outcome = "cancelled"
            raise
        finally:
            self._finish(outcome)

    def close(self) -> None:
        """Ends the stream and gives its place back; twice does nothing."""
        if self._closed:
            return
        self._closed = True
        self._streams.end(self.stream)
        self._admission.release(self.stream.request.client_account)

    def _next(self) -> list[int] | Refused | None:
        left_ms = self.stream.end_ms - self._clock.now_ms()
        try:
            return self.stream.output.get(timeout=max(0, left_ms) / _MS_PER_S)
        except queue.Empty:
            return _DEADLINE

    def _record(self, name: str, ms: float) -> None:
        model = self.stream.request.model
        self._metrics.record_ms(name, ms, service=model, group=self._group)

    def _finish(self, outcome: str) -> None:
        self.close()
        self._record("request", self._clock.now_ms() - self._since_ms)
        self._metrics.count(
            "requests",
            service=self.stream.request.model,
            group=self._group,
            outcome=outcome,
        )


class _SseStream:
    """The body of a streamed answer.

    The server calls `close` also when the caller goes away before the first
    byte, which a plain generator would not notice.
    """

    def __init__(
        self, feed: _Feed, shape: "_Shape", tokenizer: Tokenizer
    ) -> None:
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


class _Shape:
    """The shape of answers in one of the two dialects."""

    prefix = ""
    whole_object = ""
    chunk_object = ""

    def choice(self, text: str) -> dict[str, Any]:
        """Returns the part of a whole answer that carries its text."""
        raise NotImplementedError

    def delta(self, text: str) -> dict[str, Any]:
        """Returns the part of a chunk that carries its text."""
        raise NotImplementedError

    def whole(
        self, stream: RunningStream, tokenizer: Tokenizer, tokens: list[int]
    ) -> dict[str, Any]:
        """Returns a whole answer."""
        prompt = len(stream.request.prompt)
        body = self._base(stream, self.whole_object)
        body["choices"] = [
            {
                "index": 0,
                "finish_reason": "length",
                **self.choice(tokenizer.decode(tokens)),
            }
        ]
        body["usage"] = {
            "prompt_tokens": prompt,
            "completion_tokens": len(tokens),
            "total_tokens": prompt + len(tokens),
        }
        return body

    def chunk(
        self, stream: RunningStream, text: str, finish: str | None = None
    ) -> dict[str, Any]:
        """Returns one chunk of a streamed answer."""
        body = self._base(stream, self.chunk_object)
        body["choices"] = [
            {"index": 0, "finish_reason": finish, **self.delta(text)}
        ]
        return body

    def _base(self, stream: RunningStream, kind: str) -> dict[str, Any]:
        return {
            "id": f"{self.prefix}-{stream.name}",
            "object": kind,
            "created": int(time.time()),
            "model": stream.request.model,
        }


class _ChatShape(_Shape):
    prefix = "chatcmpl"
    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def choice(self, text: str) -> dict[str, Any]:
        return {"message": {"role": "assistant", "content": text}}

    def delta(self, text: str) -> dict[str, Any]:
        return {"delta": {"content": text} if text else {}}


class _TextShape(_Shape):
    prefix = "cmpl"
    whole_object = "text_completion"
    chunk_object = "text_completion"

    def choice(self, text: str) -> dict[str, Any]:
        return {"text": text}

    def delta(self, text: str) -> dict[str, Any]:
        return {"text": text}


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


class Services:
    """`ANY /services/NAME/PATH`."""

    def __init__(
        self, door: Door, client: PlainClient, clock: Clock, metrics: Metrics
    ) -> None:
        self._door = door
        self._client = client
        self._clock = clock
        self._metrics = metrics

    def __call__(
        self, request: falcon.Request, response: falcon.Response, **parts: str
    ) -> None:
        """Passes a call on to the named service."""
        since_ms = self._clock.now_ms()
        entered = self._door.enter(request)
        if isinstance(entered, Refused):
            write_refusal(response, entered)
            return
        head, account = entered
        name = parts["name"]
        group = head.bundle.client_accounts[account].group
        outcome = self._call(request, head.bundle, account, name, parts)
        kind = "answered"
        if isinstance(outcome, Refused):
            kind = outcome.type.value
            write_refusal(response, outcome)
        else:
            _write_reply(response, outcome)
        self._metrics.count("calls", service=name, group=group, outcome=kind)
        elapsed_ms = self._clock.now_ms() - since_ms
        self._metrics.record_ms("call", elapsed_ms, service=name, group=group)

    def _call(
        self,
        request: falcon.Request,
        bundle: Bundle,
        account: str,
        name: str,
        parts: dict[str, str],
    ) -> wire.PlainReply | Refused:
        rule = bundle.services.get(name)
        if rule is None:
            return Refused(RefusalType.UNKNOWN_SERVICE, f"no service {name!r}")
        body = self._door.read_body(request, bundle)
        if isinstance(body, Refused):
            return body
        query = f"?{request.query_string}" if request.query_string else ""
        call = wire.PlainCall(
            target=name,
            method=request.method,
            path=f"/{parts.get('path', '')}{query}",
            headers=[
                wire.Header(header, request.get_header(header))
                for header in _PASSED_HEADERS
                if request.get_header(header)
            ],
            body=body,
            key=request.get_header("Idempotency-Key") or "",
            repeatable=request.method in rule.idempotent_methods,
            deadline_ms=rule.timeout_ms,
            client_account=account,
        )
        return self._client.call(call, rule)


def _write_reply(response: falcon.Response, reply: wire.PlainReply) -> None:
    response.status = reply.status
    response.data = reply.body
    for header in reply.headers or ():
        response.set_header(header.name, header.value)
