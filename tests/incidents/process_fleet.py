"""Runs real processes, started by the deployed `run` line, with the platform stand-ins of qualification.

Each test injects its own faults.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from stepsail.loop import Loop, PollDriver
from stepsail.qualify.checks import SOCKET_SLACK
from stepsail.qualify.clients import Client
from stepsail.qualify.instances import USUAL_LIMITS, Instance, ResourceLimits
from stepsail.qualify.platform_stand_in import Discovery, ReleaseControl, Server
from stepsail.qualify.records import Records
from stepsail.qualify.settings import DRAIN_GRACE, SETTINGS

CLIENTS_PER_INSTANCE = 2


class ProcessFleet:
    """Runs `test(fleet)` with `size` instances, two servers, discovery and release control.

    `overrides` replace members of the settings.
    """

    def __init__(
        self,
        folder: Path,
        size: int,
        test: Callable[[ProcessFleet], None],
        limits: ResourceLimits = USUAL_LIMITS,
        **overrides: Any,
    ) -> None:
        self.folder, self.size, self.test, self.settings = folder, size, test, SETTINGS | overrides
        self.limits = limits
        self.records, driver = Records(), PollDriver()
        self.loop = Loop(driver, lambda event, **fields: None)
        try:
            self.loop.run(self._main)
        finally:
            driver.shutdown()

    def _main(self) -> None:
        self.drained, self.other = (Server(self.loop, self.records, name, "zone-a") for name in ("s0", "s1"))
        self.discovery = Discovery(self.loop, self.records, [self.drained, self.other])
        release_control = ReleaseControl(self.loop)
        self.instances = [
            Instance(
                self.loop,
                self.records,
                self.folder,
                f"i{number}",
                self.discovery,
                release_control.address,
                self.settings,
                self.limits,
            )
            for number in range(self.size)
        ]
        clients = [
            Client(self.loop, self.records, instance.name, instance.listen, number, seed=1)
            for instance in self.instances
            for number in range(CLIENTS_PER_INSTANCE)
        ]
        try:
            for instance in self.instances:
                instance.start()
            for client in clients:
                self.loop.spawn(client.run, name="client")
            self.wait_until(
                lambda: all(self.served_since(instance, 0.0) for instance in self.instances), 10.0
            )
            self.test(self)
        finally:
            for instance in self.instances:
                instance.kill()

    def served_since(self, instance: Instance, since: float) -> bool:
        """Whether the instance has completed a response with status 200 at or after a time."""
        return any(
            client.instance == instance.name and client.ended_at >= since and client.status == 200
            for client in self.records.clients
        )

    def wait_until(self, condition: Callable[[], bool], timeout: float) -> None:
        """Run the loop until a condition holds; fail after `timeout`, in seconds."""
        deadline = self.loop.now() + timeout
        while not condition():
            assert self.loop.now() < deadline, self.logs()
            self.loop.sleep(0.01)

    def logs(self) -> str:
        """Return the end of each instance's log."""
        return "\n".join(instance.log.read_text()[-1500:] for instance in self.instances)

    def late_arrivals(self, in_force_at: float) -> dict[str, int]:
        """Count the requests that the drained server received after the drain grace, by instance.

        The grace begins at `in_force_at`, when the change of its status is in force.
        """
        limit = in_force_at + DRAIN_GRACE + SOCKET_SLACK
        late = (
            arrival
            for arrival in self.records.arrivals
            if arrival.server == self.drained.name and arrival.at > limit
        )
        return dict(Counter(arrival.instance for arrival in late))
