"""What the decided entries come to: the policy in force, the change that is pending, and which lives are admitted.

Every keeper applies the same entries in the same order and comes to the same state; an entry that does not fit the
state it meets changes nothing, so that two leaders' entries may follow each other without harm.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from stepsail.policy.terms import MOST_HISTORY


class Change(msgspec.Struct, frozen=True, tag="change"):
    """A policy of the next number is proposed. `patience`: s until it is given up."""

    number: int
    text: str
    who: str = ""
    why: str = ""
    patience: float = 0.0


class Decide(msgspec.Struct, frozen=True, tag="decide"):
    """All that are admitted have confirmed it."""

    number: int


class GiveUp(msgspec.Struct, frozen=True, tag="give up"):
    """It is over without taking hold, and why."""

    number: int
    why: str


class Admit(msgspec.Struct, frozen=True, tag="admit"):
    """A life may take transactions from now on, by the policy in force; an earlier life of its number has ended."""

    number: int
    start: int
    host: str
    port: int


class Strike(msgspec.Struct, frozen=True, tag="strike"):
    """A life has ended: it left, or whoever saw its end says so."""

    number: int
    start: int


class Files(msgspec.Struct, frozen=True, tag="files"):
    """These files stand for this keeper from now on; the keeper's own matter, not the state's."""

    keeper: int
    files: int


Step = Change | Decide | GiveUp | Admit | Strike | Files


class Past(msgspec.Struct, frozen=True):
    """What became of a change."""

    number: int
    held: bool
    why: str
    who: str


class State(msgspec.Struct):
    """`members`: start and address of each admitted life, by number; `latest`: the highest number ever used."""

    number: int = 0
    text: str = ""
    latest: int = 0
    pending: Change | None = None
    members: dict[int, tuple[int, str, int]] = msgspec.field(default_factory=dict)
    past: list[Past] = msgspec.field(default_factory=list)


DECODER = msgspec.msgpack.Decoder(Step)
STATE = msgspec.msgpack.Decoder(State)


def put(step: Step) -> bytes:
    return msgspec.msgpack.encode(step)


class Order:
    """One keeper's copy."""

    def __init__(self) -> None:
        self.state = State()

    def restore(self, snapshot: bytes) -> None:
        self.state = STATE.decode(snapshot)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.state)

    @property
    def members(self) -> Mapping[int, tuple[int, str, int]]:
        return self.state.members

    def apply(self, data: bytes) -> Step | None:
        """One decided entry, which is given back read; a leader's empty one means nothing."""
        step: Step | None = DECODER.decode(data) if data else None
        state = self.state
        if isinstance(step, Change):
            if state.pending is None and step.number == state.latest + 1:
                state.pending, state.latest = step, step.number
        elif isinstance(step, Decide):
            if state.pending and state.pending.number == step.number:
                state.number, state.text = step.number, state.pending.text
                self._over(True, "")
        elif isinstance(step, GiveUp):
            if state.pending and state.pending.number == step.number:
                self._over(False, step.why)
        elif isinstance(step, Admit):
            # Only while nothing is pending: so whoever is admitted is asked by the next change.
            if state.pending is None and step.start > state.members.get(step.number, (-1, "", 0))[0]:
                state.members[step.number] = (step.start, step.host, step.port)
        elif isinstance(step, Strike) and state.members.get(step.number, (-1, "", 0))[0] == step.start:
            del state.members[step.number]
        return step

    def _over(self, held: bool, why: str) -> None:
        change = self.state.pending
        assert change
        self.state.pending = None
        self.state.past = [*self.state.past, Past(change.number, held, why, change.who)][-MOST_HISTORY:]

    def outcome(self, number: int) -> bool | None:
        """Whether a change took hold; None while that is not known here."""
        return next((p.held for p in self.state.past if p.number == number), None)
