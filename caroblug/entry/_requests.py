"""Parsing and validation of completion requests."""

import hashlib
import secrets
from typing import Any

import attrs
import orjson

from caroblug.core.state import Bundle
from caroblug.entry._request_guard import body_too_large
from caroblug.entry._streams import StreamRequest
from caroblug.entry._tokenizer import make_tokenizer
from caroblug.utils import (
    RefusalType,
    Refused,
    SettingsRejected,
    count,
    number,
    structure_table,
    text,
)

_DEFAULT_MAX_TOKENS = 64
_MAX_SEED = 2**31 - 1
_MAX_INT = 1_000_000
_FINGERPRINT_BYTES = 10
_LENGTH_BYTES = 8


@attrs.frozen(kw_only=True)
class Message:
    """One message of a chat prompt."""

    role: str = text("Role of the author.", high=32)
    content: str = text("Text of the message.", low=0, high=10_000_000)
    name: str = ""


@attrs.frozen(kw_only=True)
class Completion:
    """A request to `/v1/chat/completions` or `/v1/completions`."""

    model: str = text("Name of the model.")
    messages: list[Message] = attrs.field(factory=list)
    prompt: str = ""
    stream: bool = False
    max_tokens: int = count(1, _MAX_INT, "Tokens.", _DEFAULT_MAX_TOKENS)
    max_completion_tokens: int = count(0, _MAX_INT, "Tokens.", 0)
    seed: int = count(0, _MAX_SEED, "Seed of the sampling.", 0)
    temperature: float = number(0.0, 2.0, "Accepted, not used.", 1.0)
    top_p: float = number(0.0, 1.0, "Accepted, not used.", 1.0)
    n: int = count(1, 1, "Answers.", 1)
    user: str = ""

    @property
    def text(self) -> str:
        """The complete prompt as text."""
        if not self.messages:
            return self.prompt
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


def parse_completion(body: bytes) -> Completion | Refused:
    """Parses a request body.

    Args:
        body: The body, expected to be JSON.

    Returns:
        The completion, or a refusal that lists every problem found.
    """
    try:
        table: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return _bad_request(f"the body is not JSON: {error}")
    if not isinstance(table, dict):
        return _bad_request("the body must be a JSON object")
    parsed = structure_table(table, Completion, "body")
    if isinstance(parsed, SettingsRejected):
        return _bad_request(
            "; ".join(f"{p.key} {p.message}" for p in parsed.problems)
        )
    if not parsed.text.strip():
        return _bad_request("messages or prompt must contain text")
    return parsed


def make_stream_request(
    completion: Completion,
    bundle: Bundle,
    client_account: str,
    body_bytes: int,
) -> StreamRequest | Refused:
    """Checks a completion against the bundle and builds its stream request.

    Args:
        completion: The request.
        bundle: The bundle in force.
        client_account: The account that sent the request.
        body_bytes: Size of its body.

    Returns:
        The request to run, or a refusal.
    """
    model = bundle.models.get(completion.model)
    if model is None:
        return Refused(
            RefusalType.UNKNOWN_MODEL, f"no model {completion.model!r}"
        )
    if model.body_bytes and body_bytes > model.body_bytes:
        return body_too_large(model.body_bytes)
    limits = bundle.limits
    max_tokens = completion.max_completion_tokens or completion.max_tokens
    if max_tokens > limits.max_tokens:
        return _bad_request(f"max_tokens must be at most {limits.max_tokens}")
    prompt = make_tokenizer(model.vocabulary).encode(completion.text)
    if len(prompt) > limits.prompt_tokens:
        return _bad_request(f"the prompt is over {limits.prompt_tokens} tokens")
    return StreamRequest(
        client_account=client_account,
        weight=bundle.client_accounts[client_account].weight,
        model=completion.model,
        layers=model.layers,
        prompt=prompt,
        max_tokens=max_tokens,
        deadline_ms=limits.deadline_ms,
        seed=completion.seed or secrets.randbelow(_MAX_SEED) + 1,
        fingerprint=make_fingerprint(
            client_account, completion.model, completion.text.encode()
        ),
        unread_tokens=limits.unread_tokens,
    )


def make_fingerprint(client_account: str, service: str, body: bytes) -> str:
    """Returns a digest that identical requests of an account share.

    Args:
        client_account: The account that sent the request.
        service: Its model or plain service.
        body: Input of the engine: the prompt, or the call. Sampling
            parameters are left out, so that a request that crashes engines
            is recognised when it is sent again with another seed.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (client_account.encode(), service.encode(), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()


def _bad_request(message: str) -> Refused:
    return Refused(RefusalType.BAD_REQUEST, message)
