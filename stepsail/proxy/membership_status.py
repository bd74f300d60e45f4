"""Builds the membership's status page, whose field names operators' tools read."""

from __future__ import annotations

from typing import Any

from stepsail.membership import MembershipProtocol, MemberStatus


def membership_status(protocol: MembershipProtocol, dropped: int, now: float) -> dict[str, Any]:
    """Return the status page of an instance's view; `dropped`: datagrams that the instance has dropped."""
    view = protocol.view()
    return {
        "me": protocol.local.instance,
        "start": protocol.local.start_time,
        "version": view.version,
        "digest": view.digest,
        "settled": view.settled,
        "minority": view.minority,
        "displaced": view.displaced,
        "gone": list(view.dead),
        "strain": protocol.health_score,
        "counts": dict(protocol.counters),
        "passed_over": dropped,
        "members": [_member_status(member, now) for member in view.members],
    }


def _member_status(member: MemberStatus, now: float) -> dict[str, Any]:
    return {
        "number": member.instance,
        "start": member.start_time,
        "zone": member.zone,
        "address": "{}:{}".format(*member.address),
        "standing": member.state.name.lower(),
        "for": round(now - member.state_since, 3),
    }
