"""Decides which instances of a fleet are started, stopped or killed, and when.

Does no I/O: time is an argument, and randomness comes from a seed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from zlib import crc32

FIRST_BACKOFF = 0.5  # s from the first unexpected exit to the next start
MAX_BACKOFF = 30.0  # s, to which the backoff doubles
# Largest share of a backoff that jitter removes, so that instances that exit together do not start together.
JITTER = 0.5
# Seconds for which an instance has to be ready for its next unexpected exit to count as the first one again.
STABLE_AFTER = 20.0
# Seconds from its start within which an instance has to be ready; otherwise it is killed and started again.
START_TIMEOUT = 30.0
# Seconds from the stop signal to the kill; longer than an instance's usual shutdown timeout.
STOP_TIMEOUT = 20.0
MAX_DOUBLINGS = 16  # limits the exponent of the backoff
ROUNDING_TOLERANCE = 1e-9  # keeps floating-point error from rounding a product such as 0.1 * 10 down to 0


class InstanceState(Enum):
    """States of an instance. The values are part of the status page."""

    WAITING = "waiting"  # is started at `next_action_at`
    STARTING = "starting"
    READY = "ready"
    STOPPING = "leaving"
    STOPPED = "stopped"  # and is not started again


class ProcessAction(Enum):
    """Actions on a process."""

    START = "start"
    STOP = "stop"
    KILL = "kill"


@dataclass(frozen=True, slots=True)
class InstanceAction:
    """An action on the process of one instance."""

    number: int
    action: ProcessAction


@dataclass(slots=True)
class SupervisedInstance:
    """One instance of the fleet. Times are in seconds on the caller's clock.

    Attributes:
        number: Number of the instance, from 0.
        state: Current state.
        since: Time at which it entered the state.
        next_action_at: Time of the next action on it; infinite if none is scheduled.
        exits_in_a_row: Consecutive unexpected exits without a stable run (STABLE_AFTER) in between.
        starts: Number of times that it was started.
        exit_code: Exit code of its last exit; None if it has not exited yet.
        restarted: Whether the current rolling restart is done with it; true if there is no rolling restart.
    """

    number: int
    state: InstanceState = InstanceState.WAITING
    since: float = 0.0
    next_action_at: float = 0.0
    exits_in_a_row: int = 0
    starts: int = 0
    exit_code: int | None = None
    restarted: bool = True

    def enter(self, state: InstanceState, now: float, next_action_at: float = inf) -> None:
        """Change the state, and schedule the next action."""
        self.state = state
        self.since = now
        self.next_action_at = next_action_at


class Supervisor:
    """Tracks all instances of one fleet and decides on the actions.

    The caller reports what happens to processes, calls `due_actions`, and carries out the actions.

    Attributes:
        instances: The instances, by number.
        stopping: Whether the fleet is being stopped.
        halt_reason: Why the last rolling restart was halted; empty if it was not.
    """

    def __init__(self, count: int, max_unavailable_share: float, seed: int, now: float) -> None:
        """Create a fleet whose instances are all due to be started.

        Args:
            count: Number of instances.
            max_unavailable_share: Maximum share of the instances that may be unavailable at a time during a
                rolling restart; one instance is always allowed.
            seed: Seed of the jitter.
            now: Current time (s).
        """
        self.instances = [
            SupervisedInstance(number, since=now, next_action_at=now) for number in range(count)
        ]
        self.max_unavailable_share = max_unavailable_share
        self.seed = seed
        self.draws = 0
        self.stopping = False
        self.halt_reason = ""

    @property
    def restarting(self) -> bool:
        """Whether a rolling restart is in progress."""
        return any(not instance.restarted for instance in self.instances)

    @property
    def finished(self) -> bool:
        """Whether the fleet was stopped and all its instances have exited."""
        return self.stopping and all(instance.state is InstanceState.STOPPED for instance in self.instances)

    def next_action_at(self) -> float:
        """Return the time of the next scheduled action; infinite if there is none."""
        return min((instance.next_action_at for instance in self.instances), default=inf)

    def due_actions(self, now: float) -> list[InstanceAction]:
        """Return the actions that are due; each action is returned once."""
        actions = [
            InstanceAction(instance.number, self._start_or_kill(instance, now))
            for instance in self.instances
            if now >= instance.next_action_at
        ]
        if self.restarting and not self.stopping:
            actions += self._continue_restart(now)
        return actions

    def instance_ready(self, number: int, now: float) -> None:
        """Record that an instance is ready."""
        instance = self.instances[number]
        if instance.state is InstanceState.STARTING:
            instance.enter(InstanceState.READY, now)

    def instance_exited(self, number: int, exit_code: int, now: float) -> None:
        """Record that the process of an instance has exited, and schedule its next start.

        An instance that was stopped is started again at once, an instance that exited unexpectedly after a
        backoff, and none if the fleet is being stopped.
        """
        instance = self.instances[number]
        instance.exit_code = exit_code
        if self.stopping:
            instance.enter(InstanceState.STOPPED, now)
        elif instance.state is InstanceState.STOPPING:
            instance.enter(InstanceState.WAITING, now, next_action_at=now)
        elif instance.state is not InstanceState.STOPPED:
            was_stable = instance.state is InstanceState.READY and now - instance.since >= STABLE_AFTER
            instance.exits_in_a_row = 1 if was_stable else instance.exits_in_a_row + 1
            instance.enter(InstanceState.WAITING, now, now + self._backoff(instance.exits_in_a_row))

    def restart_all(self) -> None:
        """Begin a rolling restart."""
        self.halt_reason = ""
        for instance in self.instances:
            instance.restarted = False

    def stop_all(self, now: float) -> list[InstanceAction]:
        """Stop the fleet, and return the actions on the instances that run."""
        self.stopping = True
        actions: list[InstanceAction] = []
        for instance in self.instances:
            instance.restarted = True
            if instance.state in (InstanceState.STARTING, InstanceState.READY):
                actions.append(self._stop(instance, now))
            elif instance.state is InstanceState.WAITING:
                instance.enter(InstanceState.STOPPED, now)
        return actions

    def _start_or_kill(self, instance: SupervisedInstance, now: float) -> ProcessAction:
        """Start a waiting instance; kill an instance that exceeded START_TIMEOUT or STOP_TIMEOUT."""
        if instance.state is InstanceState.WAITING:
            instance.enter(InstanceState.STARTING, now, now + START_TIMEOUT)
            instance.starts += 1
            return ProcessAction.START
        instance.next_action_at = now + STOP_TIMEOUT  # if it has not exited by then, it is killed again
        if instance.state is InstanceState.STARTING:
            self._halt_restart(
                f"instance {instance.number} was not ready {START_TIMEOUT:g} s after its start"
            )
        return ProcessAction.KILL

    def _continue_restart(self, now: float) -> list[InstanceAction]:
        """Stop the next instances, as many as `max_unavailable_share` allows.

        Every instance that is not ready counts as unavailable, whatever the reason.
        """
        unavailable = sum(instance.state is not InstanceState.READY for instance in self.instances)
        max_unavailable = max(1, int(self.max_unavailable_share * len(self.instances) + ROUNDING_TOLERANCE))
        pending = [
            instance
            for instance in self.instances
            if not instance.restarted and instance.state is InstanceState.READY
        ]
        actions: list[InstanceAction] = []
        for instance in pending[: max(0, max_unavailable - unavailable)]:
            instance.restarted = True
            actions.append(self._stop(instance, now))
        for instance in self.instances:
            if instance.state in (InstanceState.WAITING, InstanceState.STARTING):
                instance.restarted = True  # it is starting with the new settings anyway
        return actions

    def _halt_restart(self, reason: str) -> None:
        if self.restarting:
            self.halt_reason = reason
            for instance in self.instances:
                instance.restarted = True

    @staticmethod
    def _stop(instance: SupervisedInstance, now: float) -> InstanceAction:
        instance.enter(InstanceState.STOPPING, now, now + STOP_TIMEOUT)
        return InstanceAction(instance.number, ProcessAction.STOP)

    def _backoff(self, exits_in_a_row: int) -> float:
        """Return the delay before the next start, which keeps failing starts from using a whole core."""
        max_delay = min(MAX_BACKOFF, FIRST_BACKOFF * 2.0 ** min(MAX_DOUBLINGS, exits_in_a_row - 1))
        return max_delay * (1 - JITTER * self._draw())

    def _draw(self) -> float:
        self.draws += 1
        return crc32(b"%d.%d" % (self.seed, self.draws)) / 2**32
