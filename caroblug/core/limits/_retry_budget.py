"""Retry budgets per client account and in total, as token buckets.

References:
    Beyer et al., "Site Reliability Engineering", 2016, chapter 21: retry
    budgets per client and per process.
"""

import attrs

_MS_PER_S = 1000.0
_MAX_BUCKETS_BEFORE_SWEEP = 1024


@attrs.define
class _Bucket:
    tokens: float
    filled_ms: int


@attrs.frozen
class RetryRule:
    """Size and fill rates of a token bucket of retries.

    Attributes:
        burst: Maximum number of retries in the bucket.
        share: Retries added for each request that succeeds.
        per_s: Retries added per second regardless of requests, so that the
            budget of an idle account recovers.
    """

    burst: float
    share: float = 0.2
    per_s: float = 0.5


class RetryBudget:
    """Limits retries by a token bucket per client account and a total one.

    Guards against overload caused by recovery: when engines keep failing,
    each request would be sent several times, which shows as more attempts
    than requests. Both buckets must grant a retry, so that an account whose
    requests crash engines is stopped by its own bucket.

    Args:
        account: Rule for the bucket of each account.
        total: Rule for the bucket shared by all accounts.
    """

    def __init__(self, account: RetryRule, total: RetryRule) -> None:
        self._account = account
        self._total_rule = total
        self._total = _Bucket(total.burst, 0)
        self._buckets: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def take(self, client_account: str, now_ms: int) -> int:
        """Takes one retry for an account if both buckets allow it.

        Returns:
            0 if the retry was granted, else the milliseconds until one can
            be granted.
        """
        bucket = self._buckets.get(client_account)
        if bucket is None:
            bucket = _Bucket(self._account.burst, now_ms)
            self._drop_full_buckets(now_ms)
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
        """Adds to the budgets for a request that has succeeded."""
        bucket = self._buckets.get(client_account)
        if bucket is not None:
            _add(bucket, self._account, self._account.share)
        _add(self._total, self._total_rule, self._total_rule.share)

    def _drop_full_buckets(self, now_ms: int) -> None:
        """Drops full buckets, which equal new ones, once there are many."""
        if len(self._buckets) < _MAX_BUCKETS_BEFORE_SWEEP:
            return
        for bucket in self._buckets.values():
            _fill(bucket, self._account, now_ms)
        self._buckets = {
            account: bucket
            for account, bucket in self._buckets.items()
            if bucket.tokens < self._account.burst
        }


def _fill(bucket: _Bucket, rule: RetryRule, now_ms: int) -> None:
    _add(bucket, rule, (now_ms - bucket.filled_ms) * rule.per_s / _MS_PER_S)
    bucket.filled_ms = now_ms


def _add(bucket: _Bucket, rule: RetryRule, tokens: float) -> None:
    bucket.tokens = min(rule.burst, bucket.tokens + tokens)


def _wait_ms(bucket: _Bucket, rule: RetryRule) -> int:
    if bucket.tokens >= 1:
        return 0
    return max(1, int((1 - bucket.tokens) * _MS_PER_S / rule.per_s))
