"""Clients that stream completions and record when each chunk arrived."""

import random
import time
from collections.abc import Sequence
from typing import Any

import gevent

from caroblug.entry._tokenizer import make_tokenizer
from standins import reference
from standins.site import MODEL, Site

_READY_POLL_S = 0.05
_WORDS = ("autumn", "comet", "dome", "eclipse", "galaxy", "meteor", "nebula")


def make_prompt(generator: random.Random, words: int) -> str:
    """Returns a random prompt of `words` words."""
    return " ".join(generator.choice(_WORDS) for _ in range(words))


class Caller:
    """Client that requests one streamed completion in the background.

    Args:
        site: The running site.
        entry: Name of the entry that receives the request.
        account: The client account.
        prompt: The prompt.
        tokens: Number of tokens to generate.
        seed: Seed of the sampling.

    Attributes:
        entry: Name of the entry that receives the request.
        arrivals: Monotonic time in seconds of each chunk with text.
        stream: Identifier of the stream; empty until the first chunk.
        refusal: The refusal, if the entry sent one.
        connection_error: The error that ended the connection; empty if
            there was none.
    """

    def __init__(
        self,
        site: Site,
        entry: str,
        account: str,
        prompt: str,
        tokens: int,
        seed: int,
    ) -> None:
        self.prompt = prompt
        self.tokens = tokens
        self.seed = seed
        self.arrivals: list[float] = []
        self.stream = ""
        self.refusal: dict[str, Any] | None = None
        self.connection_error = ""
        self._site = site
        self.entry = entry
        self._account = account
        self._texts: list[str] = []
        self._greenlet = gevent.spawn(self._run)

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._texts)

    @property
    def is_correct(self) -> bool:
        """Whether the text is the whole expected text."""
        return self.text == self.expected()

    @property
    def failure(self) -> str:
        """The reason why the completion failed; empty if it is correct."""
        if self.is_correct:
            return ""
        return self.connection_error or str(self.refusal) or "wrong text"

    def prompt_tokens(self) -> list[int]:
        """Returns the prompt as the entry encodes it."""
        model = self._site.bundle["models"][MODEL]
        tokenizer = make_tokenizer(model["vocabulary"])
        return tokenizer.encode(f"user: {self.prompt}")

    def expected(self) -> str:
        """Returns the text of a correct completion."""
        model = self._site.bundle["models"][MODEL]
        tokenizer = make_tokenizer(model["vocabulary"])
        tokens = reference.expected_tokens(
            self.prompt_tokens(),
            self.tokens,
            model["layers"],
            model["vocabulary"],
            self.seed,
        )
        return tokenizer.decode(tokens)

    def wait_for_chunks(self, count: int) -> None:
        """Waits until `count` chunks with text have arrived."""
        self._site.wait_for(
            lambda: len(self.arrivals) >= count or self._greenlet.ready(),
            f"{count} chunks of a completion",
        )

    def join(self) -> "Caller":
        """Waits for the end of the completion."""
        self._greenlet.join()
        return self

    def _run(self) -> None:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.tokens,
            "seed": self.seed,
        }
        try:
            for chunk in self._site.stream(self.entry, self._account, body):
                self._on_chunk(chunk)
        except Exception as error:
            self.connection_error = repr(error)

    def _on_chunk(self, chunk: dict[str, Any]) -> None:
        if "error" in chunk:
            self.refusal = chunk["error"]
            return
        self.stream = chunk["id"].partition("-")[2]
        content = chunk["choices"][0]["delta"].get("content", "")
        if content:
            self.arrivals.append(time.monotonic())
            self._texts.append(content)


class ClosedLoopLoad:
    """Closed loops of completions that run until they are stopped.

    Args:
        site: The running site.
        account: The client account.
        entries: Entries behind an emulated load balancer, which skips those
            that are not ready.
        tokens: Number of tokens of each completion.
        concurrency: Number of concurrent completions.
    """

    def __init__(
        self,
        site: Site,
        account: str,
        entries: Sequence[str],
        tokens: int,
        concurrency: int = 4,
    ) -> None:
        self._site = site
        self._account = account
        self._entries = entries
        self._tokens = tokens
        self._callers: list[Caller] = []
        self._stopped = False
        self._greenlets = [
            gevent.spawn(self._run_loop, number)
            for number in range(concurrency)
        ]

    def stop(self) -> list[Caller]:
        """Waits for the running completions and returns every caller."""
        self._stopped = True
        gevent.joinall(self._greenlets)
        return self._callers

    def _run_loop(self, number: int) -> None:
        generator = random.Random(number)
        while not self._stopped:
            entry = self._choose_ready_entry(generator)
            caller = Caller(
                self._site,
                entry,
                self._account,
                make_prompt(generator, 8),
                self._tokens,
                generator.randrange(1, 1000),
            )
            self._callers.append(caller)
            caller.join()

    def _choose_ready_entry(self, generator: random.Random) -> str:
        while True:
            for entry in generator.sample(self._entries, len(self._entries)):
                if self._site.is_ready(entry):
                    return entry
            gevent.sleep(_READY_POLL_S)
