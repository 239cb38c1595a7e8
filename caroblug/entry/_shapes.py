"""The shapes of answers in the two dialects that callers speak."""

import abc
import time
from typing import Any

import attrs
import orjson

from caroblug.entry._streams import RunningStream
from caroblug.entry._tokenizer import Tokenizer

_PLACE_OF_TEXT = "\x00 text \x00"


class Shape(abc.ABC):
    """The shape of answers in one of the two dialects."""

    prefix = ""
    whole_object = ""
    chunk_object = ""

    @abc.abstractmethod
    def choice(self, text: str) -> dict[str, Any]:
        """Returns the part of a whole answer that carries its text."""

    @abc.abstractmethod
    def delta(self, text: str) -> dict[str, Any]:
        """Returns the part of a chunk that carries its text."""

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


@attrs.frozen
class ChunkTemplate:
    """The bytes of a stream's chunks around their text.

    All chunks of a stream but the last differ only in their text, and only
    that is encoded for each token.
    """

    head: bytes
    tail: bytes

    def event(self, text: str) -> bytes:
        """Returns the server-sent event of one chunk."""
        return self.head + orjson.dumps(text) + self.tail


def make_chunk_template(shape: Shape, stream: RunningStream) -> ChunkTemplate:
    """Returns the template of a stream's chunks."""
    body = orjson.dumps(shape.chunk(stream, _PLACE_OF_TEXT))
    head, _, tail = body.partition(orjson.dumps(_PLACE_OF_TEXT))
    return ChunkTemplate(b"data: " + head, tail + b"\n\n")


class ChatShape(Shape):
    """The shape of `/v1/chat/completions`."""

    prefix = "chatcmpl"
    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def choice(self, text: str) -> dict[str, Any]:
        """Returns the part of a whole answer that carries its text."""
        return {"message": {"role": "assistant", "content": text}}

    def delta(self, text: str) -> dict[str, Any]:
        """Returns the part of a chunk that carries its text."""
        return {"delta": {"content": text} if text else {}}


class TextShape(Shape):
    """The shape of `/v1/completions`."""

    prefix = "cmpl"
    whole_object = "text_completion"
    chunk_object = "text_completion"

    def choice(self, text: str) -> dict[str, Any]:
        """Returns the part of a whole answer that carries its text."""
        return {"text": text}

    def delta(self, text: str) -> dict[str, Any]:
        """Returns the part of a chunk that carries its text."""
        return {"text": text}
