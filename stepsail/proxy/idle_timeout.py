"""How long a connection to a server may have been idle and still be reused, as configured and as observed.

A server, or a device on the path to it, may drop idle connections sooner than announced. A request written to
such a connection is reset and may have run. Without this module, up to half of all reused connections would
break that way. If breaks only seem to depend on the idle time, the proxy makes more new connections than
necessary until the observations have decayed.
"""

from __future__ import annotations

# Number of buckets in which uses of connections are counted according to idle time. The idle times of each
# bucket are half those of the bucket before; the shortest is a four-thousandth of the configured limit.
BUCKET_COUNT = 12
NEW_CONNECTION = BUCKET_COUNT  # index of the counts of uses and breaks of connections that were just made
# Seconds in which observations lose half their weight, so that the end of a fault is noticed.
HALF_LIFE = 4.0
# Smallest number of broken connections in a bucket at which its idle times may be avoided. Fewer breaks may
# be due to chance.
MIN_BREAKS = 4.0
# The share of broken connections in a bucket must exceed the share among new connections by this much before
# the bucket's idle times are avoided, because a failing server breaks reused and new connections alike.
MIN_EXCESS_BREAK_RATE = 0.1


class IdleTimeout:
    """Counts connections that broke before the first byte of a response, by how long they had been idle.

    Attributes:
        configured: The configured limit on the idle time of a reused connection, in seconds.
        uses: Number of uses of connections in each idle-time bucket, and of new ones at NEW_CONNECTION.
        breaks: Number of uses in which the connection broke before the first byte of a response, with the
            same indexes as `uses`.
    """

    def __init__(self, configured: float) -> None:
        self.configured = configured
        self.decayed_at = 0.0
        self.uses = [0.0] * (BUCKET_COUNT + 1)
        self.breaks = [0.0] * (BUCKET_COUNT + 1)

    def record_use(self, now: float, idle_for: float, broke: bool, is_new: bool) -> None:
        """Count a use of a connection.

        Args:
            now: The current time.
            idle_for: Seconds for which the connection had been idle.
            broke: Whether the connection ended before the first byte of a response.
            is_new: Whether the connection had not been used before.
        """
        self._decay(now)
        index = NEW_CONNECTION if is_new else self._bucket_index(idle_for)
        self.uses[index] += 1
        if broke:
            self.breaks[index] += 1

    def safe_idle_time(self, now: float) -> float:
        """Return the longest safe idle time in seconds.

        That is the lower bound of the bucket with the shortest idle times at which connections break more
        often than new connections do. If there is no such bucket, it is the configured limit.
        """
        self._decay(now)
        new_uses = self.uses[NEW_CONNECTION]
        new_break_rate = self.breaks[NEW_CONNECTION] / new_uses if new_uses >= 1 else 0.0
        for index in range(BUCKET_COUNT - 1, -1, -1):
            is_significant = self.breaks[index] >= MIN_BREAKS
            if (
                is_significant
                and self.breaks[index] / self.uses[index] > new_break_rate + MIN_EXCESS_BREAK_RATE
            ):
                return self._lower_bound(index)
        return self.configured

    def _lower_bound(self, index: int) -> float:
        return self.configured / 2.0 ** (index + 1)

    def _bucket_index(self, idle_for: float) -> int:
        index = 0
        while index < BUCKET_COUNT - 1 and idle_for <= self._lower_bound(index):
            index += 1
        return index

    def _decay(self, now: float) -> None:
        if now >= self.decayed_at + HALF_LIFE:
            self.decayed_at = now
            self.uses = [count / 2 for count in self.uses]
            self.breaks = [count / 2 for count in self.breaks]
