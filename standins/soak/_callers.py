"""Clients of a soak test, which send requests and check the responses."""

import random
import time
from typing import Any

import gevent
import geventhttpclient
import orjson

from caroblug.entry._tokenizer import make_tokenizer
from standins import reference
from standins.site import HOST, MODEL, Site, read_events
from standins.soak._record import CallRecord, SoakRecord, StreamRecord

_WORDS = ("star", "moon", "dome", "class", "night", "orbit", "seat", "comet")
_STREAM_SHARE = 0.7
_LOOKUP_SHARE = 0.15
_RESEND_SHARE = 0.4
_REQUEST_TIMEOUT_S = 40.0
_HANG_THRESHOLD_S = 30.0
_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0
_CREATED = 201
_SUCCESS = range(200, 300)


class Callers:
    """Clients of one soak test.

    Args:
        site: The running site.
        record: Record of responses and violations.
        entries: Names of the entries.
        killed: Time of the last kill by entry, in seconds of the soak test.
    """

    def __init__(
        self,
        site: Site,
        record: SoakRecord,
        entries: list[str],
        killed: dict[str, float],
    ) -> None:
        self.stopping = False
        self._site = site
        self._record = record
        self._entries = entries
        self._killed = killed
        self._key_number = 0

    def run(self, account: str, rng: random.Random, pause_s: float) -> None:
        """Sends requests in a closed loop until `stopping` is set.

        Args:
            account: The client account.
            rng: Random source of the requests.
            pause_s: Mean pause between two requests.
        """
        while not self.stopping:
            drawn = rng.random()
            if drawn < _STREAM_SHARE:
                self._stream(account, rng)
            elif drawn < _STREAM_SHARE + _LOOKUP_SHARE:
                self._lookup(account, rng)
            else:
                self._book(account, rng)
            gevent.sleep(rng.uniform(0, 2 * pause_s))

    def send_poison(self, account: str, word: str, rng: random.Random) -> None:
        """Sends a request that crashes the engine which embeds `word`."""
        body = self._make_body(f"{word} tonight", 4, 1)
        self._stream_once(account, body, rng.choice(self._entries), None)

    def _make_body(self, text: str, tokens: int, seed: int) -> dict[str, Any]:
        return {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "seed": seed,
            "stream": True,
        }

    def _stream(self, account: str, rng: random.Random) -> None:
        long = rng.random() < 0.2
        words = rng.choices(_WORDS, k=rng.randint(30, 120) if long else 6)
        tokens = rng.randint(60, 160) if long else rng.randint(4, 40)
        seed = rng.randint(1, 10**6)
        text = " ".join(words)
        expected = self._expected(f"user: {text}", tokens, seed)
        body = self._make_body(text, tokens, seed)
        outcome = self._stream_once(
            account, body, rng.choice(self._entries), expected
        )
        self._record.outcomes[f"stream.{outcome}"] += 1
        if outcome != "answered":
            gevent.sleep(rng.uniform(_BACKOFF_S, _MAX_BACKOFF_S))

    def _expected(self, text: str, tokens: int, seed: int) -> str:
        model = self._site.bundle["models"][MODEL]
        tokenizer = make_tokenizer(model["vocabulary"])
        return tokenizer.decode(
            reference.expected_tokens(
                tokenizer.encode(text),
                tokens,
                model["layers"],
                model["vocabulary"],
                seed,
            )
        )

    def _stream_once(
        self,
        account: str,
        body: dict[str, Any],
        entry: str,
        expected: str | None,
    ) -> str:
        """Sends one streamed request and returns its outcome.

        Args:
            account: The client account.
            body: Body of the request.
            entry: Name of the entry.
            expected: Text of a correct completion; None if it is not checked.
        """
        since_s = self._record.now_s()
        seen = StreamRecord()
        self._record.streams.append(seen)
        outcome = "hung"
        with gevent.Timeout(_REQUEST_TIMEOUT_S, False):
            outcome = self._send_and_read(account, body, entry, expected, seen)
        took_s = self._record.now_s() - since_s
        if took_s > _HANG_THRESHOLD_S:
            self._record.add_violation(
                "request hung", entry=entry, took_s=took_s
            )
        if outcome == "broken" and not self._was_killed(entry, since_s):
            self._record.add_violation(
                "connection broke on a live entry",
                entry=entry,
                since_s=since_s,
                parts=len(seen.times_s),
            )
        return outcome

    def _send_and_read(
        self,
        account: str,
        body: dict[str, Any],
        entry: str,
        expected: str | None,
        seen: StreamRecord,
    ) -> str:
        client = geventhttpclient.HTTPClient(
            HOST,
            self._site.processes[entry].http_port,
            network_timeout=_REQUEST_TIMEOUT_S,
        )
        headers = {"Authorization": f"Bearer {self._site.keys[account]}"}
        try:
            response = client.request(
                "POST", "/v1/chat/completions", orjson.dumps(body), headers
            )
            if response.status_code not in _SUCCESS:
                return self._describe_refusal(
                    orjson.loads(bytes(response.read()))
                )
            return self._read_parts(response, expected, seen)
        except ConnectionRefusedError:
            return "refused_connection"
        except (OSError, ValueError, geventhttpclient.response.HTTPParseError):
            return "broken"
        finally:
            client.close()

    def _read_parts(
        self, response: Any, expected: str | None, seen: StreamRecord
    ) -> str:
        text = ""
        finished = False
        for chunk in read_events(response):
            if "error" in chunk:
                return self._describe_refusal(chunk)
            choice = chunk["choices"][0]
            part = choice["delta"].get("content", "")
            finished = choice["finish_reason"] is not None
            if part:
                text += part
                now_s = self._record.now_s()
                seen.times_s.append(now_s)
                self._record.token_times_s.extend([now_s] * part.count("w"))
            if expected is not None and not expected.startswith(text):
                self._record.add_violation("answer is wrong", text=text[-60:])
                return "wrong"
        if not finished:
            return "broken"
        if expected is not None and text != expected:
            self._record.add_violation("answer is not whole", length=len(text))
            return "wrong"
        return "answered"

    def _describe_refusal(self, body: dict[str, Any]) -> str:
        error = body.get("error", {})
        missing = {"type", "message", "ran", "retry_after_ms"} - set(error)
        if missing:
            self._record.add_violation("refusal without fields", body=body)
            return "bad_refusal"
        return f"{error['type']}.{error['ran']}"

    def _was_killed(self, entry: str, since_s: float) -> bool:
        """Returns whether the entry was killed at or after a time.

        A request may begin just before the kill takes effect and end before
        the time of the kill is recorded. An ended process therefore counts
        as killed.
        """
        ended = self._site.processes[entry].popen.poll() is not None
        return ended or self._killed.get(entry, -1.0) >= since_s

    def _lookup(self, account: str, rng: random.Random) -> None:
        entry = rng.choice(self._entries)
        status, ran = self._call(account, entry, "GET", "", {})
        self._record.outcomes[f"lookup.{status or 'broken'}.{ran}"] += 1

    def _book(self, account: str, rng: random.Random) -> None:
        """Books and sometimes resends the same key, to a random entry."""
        self._key_number += 1
        key = f"key-{self._key_number}"
        calls = self._record.calls.setdefault(key, CallRecord())
        self._book_once(account, key, rng.choice(self._entries), calls)
        while rng.random() < _RESEND_SHARE:
            gevent.sleep(rng.uniform(0, 1.0))
            self._book_once(account, key, rng.choice(self._entries), calls)

    def _book_once(
        self, account: str, key: str, entry: str, calls: CallRecord
    ) -> None:
        status, ran = self._call(
            account, entry, "POST", key, {"Idempotency-Key": key}
        )
        calls.statuses.append(status)
        calls.ran.append(ran)
        self._record.outcomes[f"booking.{status or 'broken'}.{ran}"] += 1
        self._record.add_event(
            "booking", key=key, entry=entry, status=status, ran=ran
        )

    def _call(
        self,
        account: str,
        entry: str,
        method: str,
        key: str,
        headers: dict[str, str],
    ) -> tuple[int, str]:
        """Sends a plain call.

        Returns:
            The status, 0 if the connection failed, and whether the call ran:
            `yes`, `no` or `unknown`.
        """
        since = time.monotonic()
        try:
            response = self._site.call(
                entry,
                account,
                method,
                "/services/booking/seats",
                orjson.dumps({"key": key}),
                headers,
            )
        except ConnectionRefusedError:
            return 0, "no"
        except (ConnectionError, OSError):
            return 0, "unknown"
        finally:
            if time.monotonic() - since > _HANG_THRESHOLD_S:
                self._record.add_violation("call hung", entry=entry, key=key)
        if response.status in _SUCCESS:
            return response.status, "yes"
        self._describe_refusal(response.json())
        return response.status, response.json()["error"]["ran"]
