"""Behavior of simulated builds: the defect of a bad build, and under which conditions it shows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class BuildKind(StrEnum):
    """Kinds of defects; the values are the words that day files use."""

    GOOD = "good"
    ERRORS = "errors"  # a share of all requests fails
    CLASS_ERRORS = "product"  # a share of the requests of one class fails
    SLOW = "slow"  # all requests take longer
    SLOW_UNDER_LOAD = "busy"  # on busy servers requests take longer and some fail
    SLOW_WITH_AGE = "late"  # some time after the server's start requests take longer and some fail
    WRONG = "wrong"  # a share of the responses is wrong but looks successful
    SLOWS_ALL = "shared"  # all servers slow down in proportion to the build's traffic


BUILD_KINDS = tuple(kind.value for kind in BuildKind)

ERROR_SHARE = 0.5  # share of requests that fail, for the kinds that cause both slowness and errors


@dataclass
class Build:
    """One build; depending on its kind, `severity` is the share of requests affected or a factor of work."""

    number: int
    kind: str = BuildKind.GOOD.value
    severity: float = 0.0
    failing_class: str = ""
    speed: float = 1.0
    onset_age: float = 5.0  # age of the server (s) from which SLOW_WITH_AGE shows
    busy_utilization: float = 0.4  # utilization above which SLOW_UNDER_LOAD shows

    @property
    def bad(self) -> bool:
        """Whether the build has a defect, so that release control should roll it back."""
        return self.kind != BuildKind.GOOD

    def work_duration(self, work: float, utilization: float, age: float) -> float:
        """Return the core seconds that a request takes with this build, given its usual `work`."""
        is_slow = (
            self.kind == BuildKind.SLOW
            or (self.kind == BuildKind.SLOW_UNDER_LOAD and utilization > self.busy_utilization)
            or (self.kind == BuildKind.SLOW_WITH_AGE and age > self.onset_age)
        )
        return work / self.speed * (max(1.0, self.severity) if is_slow else 1.0)

    def fails(self, class_name: str, utilization: float, age: float, draw: float) -> bool:
        """Return whether a request ends in an error; `draw` is a random number from 0 to 1."""
        match self.kind:
            case BuildKind.ERRORS:
                return draw < self.severity
            case BuildKind.CLASS_ERRORS:
                return class_name == self.failing_class and draw < self.severity
            case BuildKind.SLOW_UNDER_LOAD:
                return utilization > self.busy_utilization and draw < ERROR_SHARE
            case BuildKind.SLOW_WITH_AGE:
                return age > self.onset_age and draw < ERROR_SHARE
        return False

    def answers_wrongly(self, draw: float) -> bool:
        """Return whether a response is wrong; `draw` is a random number from 0 to 1."""
        return self.kind == BuildKind.WRONG and draw < self.severity
