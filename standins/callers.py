"""Callers that stream answers and note when each part came."""

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
    """Returns a prompt of `words` words."""
    return " ".join(generator.choice(_WORDS) for _ in range(words))


class Caller:
    """One streamed completion.

    Args:
        site: Where it is asked.
        entry: The entry that is asked.
        account: The client account.
        prompt: The prompt.
        tokens: Tokens to generate.
        seed: Seed of the sampling.

    Attributes:
        entry: The entry that is asked.
        arrivals: Monotonic time in seconds of each part with text.
        stream: The stream's name, once known.
        refusal: The refusal, if one came.
        broken: What ended the connection, if something did.
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
        """The text so far."""
        return "".join(self._texts)

    @property
    def is_correct(self) -> bool:
        """Whether the text is the whole right answer."""
        return self.text == self.expected()

    @property
    def failure(self) -> str:
        """What was wrong with the answer; empty if nothing was."""
        if self.is_correct:
            return ""
        return self.connection_error or str(self.refusal) or "wrong text"

    def prompt_tokens(self) -> list[int]:
        """Returns the prompt as the entry encodes it."""
        model = self._site.bundle["models"][MODEL]
        tokenizer = make_tokenizer(model["vocabulary"])
        return tokenizer.encode(f"user: {self.prompt}")

    def expected(self) -> str:
        """Returns the right answer."""
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
        """Waits until `count` parts have come."""
        self._site.wait_for(
            lambda: len(self.arrivals) >= count or self._greenlet.ready(),
            f"{count} parts of an answer",
        )

    def join(self) -> "Caller":
        """Waits for the end of the answer."""
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
    """Callers who come one after the other until they are stopped.

    Args:
        site: Where they ask.
        account: Their client account.
        entries: Entries behind the balancer; one that is not ready is left
            out.
        tokens: Tokens of each answer.
        at_once: Answers at any time.
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
        """Waits for the last answers and returns every caller."""
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
