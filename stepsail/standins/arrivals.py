"""Arrival times of clients: a Poisson process with a varying rate, by thinning (Lewis and Shedler 1979)."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import pi, sin
from random import Random

# Requests per second as a function of the seconds since the start.
Rate = Callable[[float], float]

ROUNDING_TOLERANCE = 1e-9  # relative excess over `max_rate` that floating-point rounding may cause


def steady(rate: float) -> Rate:
    """Return a constant rate."""

    def rate_at(elapsed: float) -> float:
        return rate

    return rate_at


def burst(rate: float, at: float, length: float, times: float) -> Rate:
    """Return a rate that is multiplied by `times` for `length` seconds, starting at `at`."""

    def rate_at(elapsed: float) -> float:
        return rate * (times if at <= elapsed < at + length else 1.0)

    return rate_at


def curve(rate: float, length: float, times: float) -> Rate:
    """Return a rate that rises to `times` its value at half of `length` and falls again, as over a day."""

    def rate_at(elapsed: float) -> float:
        return rate * (1 + (times - 1) * sin(pi * min(1.0, max(0.0, elapsed / length))) ** 2)

    return rate_at


def shift(rate: float, at: float, times: float) -> Rate:
    """Return a rate that is permanently multiplied by `times` from `at` on."""

    def rate_at(elapsed: float) -> float:
        return rate * (times if elapsed >= at else 1.0)

    return rate_at


def arrivals(random: Random, rate: Rate, max_rate: float, until: float) -> Iterator[float]:
    """Draw the arrival times between 0 and `until`, in seconds.

    Raises:
        ValueError: The rate exceeds `max_rate`.
    """
    at = 0.0
    while True:
        at += random.expovariate(max_rate)
        if at >= until:
            return
        rate_now = rate(at)
        if rate_now > max_rate * (1 + ROUNDING_TOLERANCE):
            raise ValueError(
                f"the rate is {rate_now:g} at {at:g} s, over the {max_rate:g} that was declared as its maximum"
            )
        if random.random() * max_rate < rate_now:
            yield at
