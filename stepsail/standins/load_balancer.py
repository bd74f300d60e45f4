"""Stand-in for the load balancer in front of a zone's instances."""

from __future__ import annotations

from random import Random

from stepsail.loop import Loop
from stepsail.loop.driver import Address


class LoadBalancer:
    """Distributes the connections of a zone's clients over its instances, evenly or skewed to the first ones.

    An instance that has died still gets connections for `detection_delay` seconds.
    """

    def __init__(
        self,
        loop: Loop,
        instances: list[tuple[int, Address]],
        detection_delay: float,
        skew: float = 1.0,
        random: Random | None = None,
    ) -> None:
        self.loop = loop
        self.instances = instances
        self.detection_delay = detection_delay
        self.skew = skew
        self.random = random or Random(0)
        self.died_at: dict[int, float] = {}
        self._connection_count = 0
        # The first instance gets `skew` times the connections of the last; shares in between fall geometrically.
        last = max(1, len(instances) - 1)
        self._weights = {number: skew ** (1 - index / last) for index, (number, _) in enumerate(instances)}

    def choose(self) -> tuple[int, Address]:
        """Return the number and address of the instance for the next connection."""
        now = self.loop.now()
        usable = [
            (number, address)
            for number, address in self.instances
            if now < self.died_at.get(number, now + 1) + self.detection_delay
        ] or self.instances
        if self.skew > 1.0:
            return self.random.choices(usable, [self._weights[number] for number, _ in usable])[0]
        self._connection_count += 1
        return usable[self._connection_count % len(usable)]
