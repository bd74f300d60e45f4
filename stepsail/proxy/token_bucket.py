"""Limits a rate by a token bucket, which allows bursts. No I/O."""

from __future__ import annotations


class TokenBucket:
    """Starts full and refills at a steady rate. Times are seconds on the caller's clock."""

    def __init__(self, burst: float, rate: float, now: float) -> None:
        self.burst = burst
        self.rate = rate  # tokens per second
        self.tokens = burst
        self.refilled_at = now

    def try_take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
