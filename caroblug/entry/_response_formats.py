"""JSON formats of chat and text completions."""

import abc
import time
from typing import Any

import attrs
import orjson

from caroblug.entry._streams import RunningStream
from caroblug.entry._tokenizer import Tokenizer

_TEXT_PLACEHOLDER = "\x00 text \x00"


class ResponseFormat(abc.ABC):
    """JSON format of a response, complete or in chunks.

    Attributes:
        id_prefix: Prefix of the response's id.
        response_object: Value of `object` in a complete response.
        chunk_object: Value of `object` in a chunk.
    """

    id_prefix = ""
    response_object = ""
    chunk_object = ""

    @abc.abstractmethod
    def format_choice(self, text: str) -> dict[str, Any]:
        """Returns the part of a complete response that carries its text."""

    @abc.abstractmethod
    def format_delta(self, text: str) -> dict[str, Any]:
        """Returns the part of a chunk that carries its text."""

    def format_response(
        self, stream: RunningStream, tokenizer: Tokenizer, tokens: list[int]
    ) -> dict[str, Any]:
        """Returns a complete response."""
        prompt = len(stream.request.prompt)
        body = self._base(stream, self.response_object)
        body["choices"] = [
            {
                "index": 0,
                "finish_reason": "length",
                **self.format_choice(tokenizer.decode(tokens)),
            }
        ]
        body["usage"] = {
            "prompt_tokens": prompt,
            "completion_tokens": len(tokens),
            "total_tokens": prompt + len(tokens),
        }
        return body

    def format_chunk(
        self, stream: RunningStream, text: str, finish: str | None = None
    ) -> dict[str, Any]:
        """Returns one chunk of a streamed response."""
        body = self._base(stream, self.chunk_object)
        body["choices"] = [
            {"index": 0, "finish_reason": finish, **self.format_delta(text)}
        ]
        return body

    def _base(self, stream: RunningStream, object_type: str) -> dict[str, Any]:
        return {
            "id": f"{self.id_prefix}-{stream.name}",
            "object": object_type,
            "created": int(time.time()),
            "model": stream.request.model,
        }


@attrs.frozen
class ChunkTemplate:
    """Encoded parts of a stream's chunks before and after their text.

    All chunks of a stream but the last differ only in their text. With the
    template only the text is encoded for each token.
    """

    head: bytes
    tail: bytes

    def event(self, text: str) -> bytes:
        """Returns the server-sent event with one chunk of text."""
        return self.head + orjson.dumps(text) + self.tail


def make_chunk_template(
    response_format: ResponseFormat, stream: RunningStream
) -> ChunkTemplate:
    """Returns the template of a stream's chunks."""
    body = orjson.dumps(response_format.format_chunk(stream, _TEXT_PLACEHOLDER))
    head, _, tail = body.partition(orjson.dumps(_TEXT_PLACEHOLDER))
    return ChunkTemplate(b"data: " + head, tail + b"\n\n")


class ChatFormat(ResponseFormat):
    """Format of `/v1/chat/completions`."""

    id_prefix = "chatcmpl"
    response_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def format_choice(self, text: str) -> dict[str, Any]:
        """Returns the part of a complete response that carries its text."""
        return {"message": {"role": "assistant", "content": text}}

    def format_delta(self, text: str) -> dict[str, Any]:
        """Returns the part of a chunk that carries its text."""
        return {"delta": {"content": text} if text else {}}


class TextFormat(ResponseFormat):
    """Format of `/v1/completions`."""

    id_prefix = "cmpl"
    response_object = "text_completion"
    chunk_object = "text_completion"

    def format_choice(self, text: str) -> dict[str, Any]:
        """Returns the part of a complete response that carries its text."""
        return {"text": text}

    def format_delta(self, text: str) -> dict[str, Any]:
        """Returns the part of a chunk that carries its text."""
        return {"text": text}
