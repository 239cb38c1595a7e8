"""Retry budget: recovery may cost only a share of the work that succeeds.

References:
    Beyer et al., "Site Reliability Engineering", 2016, chapter 21: retry
    budgets per client and per process.
"""

import attrs

_MS_PER_S = 1000.0
_FORGET_ABOVE = 1024


@attrs.define
class _Bucket:
    tokens: float
    at_ms: int


@attrs.frozen
class RetryRule:
    """How a bucket fills.

    Attributes:
        burst: Retries that may follow each other at once.
        share: Retries earned by a request that succeeds.
        per_s: Retries earned by time alone, so that an idle account's
            budget comes back.
    """

    burst: float
    share: float = 0.2
    per_s: float = 0.5


class RetryBudget:
    """A token bucket per client account, and one for all of them.

    Guards against recovery that becomes the overload: when engines keep
    failing, each request would be sent several times. It shows as more
    attempts than requests. An account whose requests break engines uses up
    its own bucket only.

    Args:
        account: Rule of each account's bucket.
        total: Rule of the bucket for all accounts.
    """

    def __init__(self, account: RetryRule, total: RetryRule) -> None:
        self._account = account
        self._total_rule = total
        self._total = _Bucket(total.burst, 0)
        self._buckets: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def take(self, client_account: str, now_ms: int) -> int:
        """Takes one retry.

        Returns:
            0 if it was granted, else the milliseconds until one may be.
        """
        bucket = self._buckets.get(client_account)
        if bucket is None:
            bucket = _Bucket(self._account.burst, now_ms)
            self._forget_full(now_ms)
            self._buckets[client_account] = bucket
        _fill(bucket, self._account, now_ms)
        _fill(self._total, self._total_rule, now_ms)
        wait_ms = max(
            _wait_ms(bucket, self._account),
            _wait_ms(self._total, self._total_rule),
        )
        if wait_ms:
            return wait_ms
        bucket.tokens -= 1
        self._total.tokens -= 1
        return 0

    def on_success(self, client_account: str) -> None:
        """Earns the share of a request that has been answered."""
        bucket = self._buckets.get(client_account)
        if bucket is not None:
            _earn(bucket, self._account, self._account.share)
        _earn(self._total, self._total_rule, self._total_rule.share)

    def _forget_full(self, now_ms: int) -> None:
        """Drops full buckets: a new one would be the same."""
        if len(self._buckets) < _FORGET_ABOVE:
            return
        for bucket in self._buckets.values():
            _fill(bucket, self._account, now_ms)
        self._buckets = {
            account: bucket
            for account, bucket in self._buckets.items()
            if bucket.tokens < self._account.burst
        }


def _fill(bucket: _Bucket, rule: RetryRule, now_ms: int) -> None:
    _earn(bucket, rule, (now_ms - bucket.at_ms) * rule.per_s / _MS_PER_S)
    bucket.at_ms = now_ms


def _earn(bucket: _Bucket, rule: RetryRule, tokens: float) -> None:
    bucket.tokens = min(rule.burst, bucket.tokens + tokens)


def _wait_ms(bucket: _Bucket, rule: RetryRule) -> int:
    if bucket.tokens >= 1:
        return 0
    return max(1, int((1 - bucket.tokens) * _MS_PER_S / rule.per_s))
