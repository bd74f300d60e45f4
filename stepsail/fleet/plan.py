"""A fleet's file: how many instances, by which settings, where each listens; and each instance's own file from it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stepsail.settings.errors import InvalidSettings
from stepsail.settings.model import Address, address_of
from stepsail.settings.reader import SettingsReader
from stepsail.settings.schema import SHARE_BOUNDS, TIME_BOUNDS, Setting, argument, with_defaults
from stepsail.settings.tree import SettingsTree

MAX_PORT = 65535
MS_PER_S = 1000
LOOPBACK_PREFIX = "127."
SEED_COUNT = 3  # instances that are named to all as where to find the others

FLEET = (
    Setting(
        "umpires",
        "How many instances, numbered from 0; their zones go by turns.",
        (argument("count", "whole", minimum=1, maximum=1000),),
        required=True,
    ),
    Setting("zones", "All zones, by name.", (argument("names", "text", variadic=True),), required=True),
    Setting(
        "common",
        "File of the settings that all instances have in common, beside this one.",
        (argument("file", "text"),),
        required=True,
    ),
    Setting(
        "listen",
        "Where clients reach instance 0; each further one has the next port.",
        (argument("address", "address"),),
        required=True,
    ),
    Setting("conveyor", "Where release control answers.", (argument("address", "address"),), required=True),
    Setting(
        "roster",
        "Where endpoint discovery answers, and whether it is polled or pushes.",
        (argument("address", "address"), argument("how", "text", enum=["asked", "pushed"])),
        required=True,
    ),
    Setting(
        "view",
        "Where instance 0 takes part in the membership; each further one has the next port. Absent: there is "
        "none.",
        (
            argument("address", "address"),
            argument("period", "time", keyword="period", optional=True, **TIME_BOUNDS),
        ),
    ),
    Setting(
        "speak",
        "Whether instances gossip over the view's ports; in place of 'neighbours'.",
        (argument("yes", "yes"),),
        default=False,
    ),
    Setting(
        "neighbours",
        "Where instance 0 receives gossip; each further one has the next port. Absent: there is none.",
        (argument("address", "address"),),
    ),
    Setting(
        "folder",
        "Where settings, logs and cached lists of the instances go, beside this file.",
        (argument("folder", "text"),),
        default="fleet",
    ),
    Setting(
        "control",
        "Where the running fleet is controlled; on this machine only.",
        (argument("address", "address"),),
        required=True,
    ),
    Setting(
        "roll-part",
        "Share of the instances that may be away at once during a rolling restart; one at least.",
        (argument("part", "share", **SHARE_BOUNDS),),
        default=0.1,
    ),
)


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What a fleet's file says. An address is that of instance 0; each further one has the next port.

    Attributes:
        instance_count: How many instances there are.
        zones: Names of the zones, which the instances take by turns.
        common_settings: File of the settings that all have in common.
        listen: Where clients connect.
        release_control_address: Where release control answers, to all instances.
        discovery_address: Where endpoint discovery answers, to all instances.
        discovery_mode: "asked" or "pushed".
        membership_address: Where the membership is kept; None: there is none.
        probe_period: Seconds between two probes of the membership; 0: the usual period.
        carries_gossip: Whether gossip goes over the membership's ports.
        gossip_address: Where gossip goes otherwise; None: there is none.
        folder: Where settings, logs and cached lists go.
        control_address: Where the running fleet is controlled.
        max_away_share: Share of the instances that a rolling restart may have away at once.
    """

    instance_count: int
    zones: tuple[str, ...]
    common_settings: Path
    listen: Address
    release_control_address: Address
    discovery_address: Address
    discovery_mode: str
    membership_address: Address | None
    probe_period: float
    carries_gossip: bool
    gossip_address: Address | None
    folder: Path
    control_address: Address
    max_away_share: float

    def listen_address(self, number: int) -> Address:
        """Return where clients reach an instance."""
        return _with_port_offset(self.listen, number)

    def zone(self, number: int) -> str:
        """Return the zone of an instance."""
        return self.zones[number % len(self.zones)]

    def settings_file(self, number: int) -> Path:
        """Return an instance's settings file."""
        return self.folder / f"umpire-{number}.conf"

    def log_file(self, number: int) -> Path:
        """Return an instance's log."""
        return self.folder / f"umpire-{number}.log"

    def settings_text(self, number: int) -> str:
        """Return the text of an instance's settings file."""
        lines = [
            f"umpire {number} of {self.instance_count}",
            f"zones {' '.join(self.zones)}",
            f"zone {self.zone(number)}",
            f"listen {_text(self.listen, number)}",
            f"conveyor {_text(self.release_control_address)}",
            f"roster {_text(self.discovery_address)} {self.discovery_mode} keep umpire-{number}-roster.json",
            f"include {json.dumps(str(self.common_settings.resolve()))}",
            *self._membership_lines(number),
            *self._gossip_lines(number),
        ]
        return "\n".join(lines) + "\n"

    def _membership_lines(self, number: int) -> list[str]:
        if self.membership_address is None:
            return []
        seeds = range(min(SEED_COUNT, self.instance_count))
        lines = [
            f"view {_text(self.membership_address, number)} {{",
            *(f"    seed {_text(self.membership_address, seed)}" for seed in seeds),
        ]
        if self.probe_period:
            lines.append(f"    period {self.probe_period * MS_PER_S:g}ms")
        if self.carries_gossip:
            lines.append("    speak yes")
        return [*lines, "}"]

    def _gossip_lines(self, number: int) -> list[str]:
        if self.gossip_address is None:
            return []
        return [
            f"neighbours {_text(self.gossip_address, number)} {{",
            *(
                f"    neighbour {peer} {_text(self.gossip_address, peer)}"
                for peer in range(self.instance_count)
            ),
            "}",
        ]


def read_plan(file: Path) -> FleetPlan:
    """Read a fleet's file.

    Raises:
        InvalidSettings: It has errors; all of them are told.
    """
    tree = SettingsReader(FLEET).read(file)
    top = with_defaults(FLEET, tree.values)
    _check_ports(tree, top)
    _check_gossip(tree, top)
    _check_control_address(tree, top)
    common_settings = file.parent / top["common"]
    if not common_settings.is_file():
        tree.add_error(tree.location_of("common"), f"there is no file {top['common']}")
    if tree.errors:
        raise InvalidSettings(tree.errors)
    view = top["view"] or {}
    return FleetPlan(
        instance_count=top["umpires"],
        zones=tuple(top["zones"]),
        common_settings=common_settings,
        listen=address_of(top["listen"]),
        release_control_address=address_of(top["conveyor"]),
        discovery_address=address_of(top["roster"]["address"]),
        discovery_mode=top["roster"]["how"],
        membership_address=address_of(view["address"]) if view else None,
        probe_period=view.get("period", 0.0),
        carries_gossip=top["speak"],
        gossip_address=address_of(top["neighbours"]) if top["neighbours"] else None,
        folder=file.parent / top["folder"],
        control_address=address_of(top["control"]),
        max_away_share=top["roll-part"],
    )


@dataclass(frozen=True, slots=True)
class _PortRange:
    """The ports that the instances take for one setting."""

    setting: str
    host: str
    first: int
    last: int

    def conflicts_with(self, other: _PortRange) -> bool:
        """Whether two ranges of datagram ports meet; streams, which clients connect to, have ports of their own."""
        both_datagrams = {self.setting, other.setting} == {"view", "neighbours"}
        overlap = self.first <= other.last and other.first <= self.last
        return both_datagrams and self.host == other.host and overlap


def _check_ports(tree: SettingsTree, top: dict[str, Any]) -> None:
    ranges: list[_PortRange] = []
    for setting in ("listen", "view", "neighbours"):
        value = top[setting]
        if value is None:
            continue
        host, first = address_of(value["address"] if isinstance(value, dict) else value)
        ports = _PortRange(setting, host, first, first + top["umpires"] - 1)
        if ports.last > MAX_PORT:
            message = f"the ports of {top['umpires']} umpires go up to {ports.last}"
            tree.add_error(tree.location_of(setting), message)
        for other in ranges:
            if ports.conflicts_with(other):
                tree.add_error(tree.location_of(setting), f"these ports meet those of '{other.setting}'")
        ranges.append(ports)


def _check_gossip(tree: SettingsTree, top: dict[str, Any]) -> None:
    if top["speak"] and (top["neighbours"] or not top["view"]):
        message = "umpires speak over the view's ports: it needs 'view', and no 'neighbours'"
        tree.add_error(tree.location_of("speak"), message)


def _check_control_address(tree: SettingsTree, top: dict[str, Any]) -> None:
    host, port = address_of(top["control"])
    listen_host, listen_port = address_of(top["listen"])
    if host == listen_host and listen_port <= port < listen_port + top["umpires"]:
        tree.add_error(tree.location_of("control"), "this port is one of the umpires' own")
    if not host.startswith(LOOPBACK_PREFIX):
        message = "only an address of this machine's own (127.0.0.0/8): whoever reaches it may stop the fleet"
        tree.add_error(tree.location_of("control"), message)


def _with_port_offset(address: Address, offset: int) -> Address:
    host, port = address
    return host, port + offset


def _text(address: Address, offset: int = 0) -> str:
    host, port = _with_port_offset(address, offset)
    return f"{host}:{port}"
