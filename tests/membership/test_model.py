"""Compares the protocol with a simple model, in random sequences of faults and in all short loss patterns."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from stepsail.membership import DetectionBounds, MemberState, Timing
from stepsail.standins.membership_lab import MembershipLab

SIZE = 6
INSTANCES = st.integers(0, SIZE - 1)


class FleetComparison(RuleBasedStateMachine):
    """Applies random faults to a simulated fleet, and compares its views with a model.

    The model holds the numbers of the running and of the paused instances, and whether the network is
    healthy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lab = MembershipLab(SIZE)
        self.running, self.paused, self.network_healthy = set(range(SIZE)), set[int](), True

    @rule(instance=INSTANCES)
    def crash(self, instance: int) -> None:
        if len(self.running) > 1:
            self.lab.crash(instance)
            self.running.discard(instance)
            self.paused.discard(instance)

    @rule(instance=INSTANCES)
    def start(self, instance: int) -> None:
        if instance not in self.running:
            self.lab.start(instance)
            self.running.add(instance)

    @rule(instance=INSTANCES)
    def leave(self, instance: int) -> None:
        if instance in self.running - self.paused and len(self.running) > 1:
            self.lab.leave(instance)
            self.running.discard(instance)

    @rule(instance=INSTANCES)
    def pause(self, instance: int) -> None:
        if instance in self.running - self.paused:
            self.lab.pause(instance)
            self.paused.add(instance)

    @rule(instance=INSTANCES)
    def resume(self, instance: int) -> None:
        if instance in self.paused:
            self.lab.resume(instance)
            self.paused.discard(instance)

    @rule(side=st.sets(INSTANCES, min_size=1, max_size=SIZE - 1), oneway=st.booleans())
    def split(self, side: set[int], oneway: bool) -> None:
        self.lab.split(side, oneway=oneway)
        self.network_healthy = False

    @rule(
        loss=st.sampled_from([0.1, 0.3, 0.8]),
        duplication=st.sampled_from([0.0, 0.5]),
        max_extra_delay=st.sampled_from([0.0, 0.4]),
    )
    def impair_network(self, loss: float, duplication: float, max_extra_delay: float) -> None:
        self.lab.loss, self.lab.duplication, self.lab.max_extra_delay = loss, duplication, max_extra_delay
        self.network_healthy = False

    @rule(instance=INSTANCES, seconds=st.sampled_from([-20.0, -0.3, 0.7, 500.0]))
    def step_clock(self, instance: int, seconds: float) -> None:
        self.lab.processes[instance].clock_offset += seconds

    @rule()
    def heal_network(self) -> None:
        self.lab.heal_network()
        self.network_healthy = True

    @rule(seconds=st.sampled_from([0.2, 1.0, 5.0, 17.0]))
    def advance_time(self, seconds: float) -> None:
        self.lab.run(seconds)

    @precondition(lambda self: self.network_healthy and not self.paused)
    @rule()
    def views_agree_with_the_model(self) -> None:
        # The protocol's clock does not advance while a clock that was set back by up to 20 s catches up.
        self.lab.run(DetectionBounds.of(Timing(), SIZE).settle + 20.0)
        assert {n: {m.instance for m in v.members} for n, v in self.lab.views().items()} == {
            n: self.running for n in self.running
        }
        assert self.lab.views_agree()


FleetComparison.TestCase.settings = settings(max_examples=12, stateful_step_count=25, deadline=None)
TestFleetComparison = FleetComparison.TestCase


@pytest.mark.parametrize("fault", ["none", "crash", "pause", "restart"])
def test_views_of_three_members_converge_for_every_loss_pattern_of_seven_datagrams(fault: str) -> None:
    """Guards against lost datagrams that cause a running member to be declared dead or a view to stay wrong.

    The third member fails at the same time. Each of the next seven datagrams is lost or delivered.
    """
    for lost in product((False, True), repeat=7):
        lab = MembershipLab(3)
        lab.run(4.0)
        lab.changes.clear()
        losses, send = iter(lost), lab._send
        lab._send = lambda process, to, data, losses=losses, send=send: (  # type: ignore[method-assign,misc]
            None if next(losses, False) else send(process, to, data)
        )
        if fault in ("crash", "restart"):
            lab.crash(2)
        if fault == "pause":
            lab.pause(2)
        lab.run(1.5)
        if fault == "pause":
            lab.resume(2)
        if fault == "restart":
            lab.start(2)
        lab.run(17.0 if fault == "crash" else 6.0)
        assert lab.views_agree(), lost
        declared_dead = {c.instance for _, _, c in lab.changes if c.state is MemberState.DEAD}
        assert declared_dead == ({2} if fault == "crash" else set()), lost
