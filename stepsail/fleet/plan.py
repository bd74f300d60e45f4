"""Reads the file of a fleet, and generates the settings file of each of its instances."""

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
SEED_COUNT = 3  # instances whose addresses all instances use for joining the membership

FLEET_SETTINGS = (
    Setting(
        "umpires",
        "Number of instances, which are counted from 0; they are assigned to the zones in rotation.",
        (argument("count", "whole", minimum=1, maximum=1000),),
        required=True,
    ),
    Setting("zones", "Names of all zones.", (argument("names", "text", variadic=True),), required=True),
    Setting(
        "common",
        "File with the settings that all instances share; relative to the folder of this file.",
        (argument("file", "text"),),
        required=True,
    ),
    Setting(
        "listen",
        "Address on which clients connect to instance 0; each further instance uses the next port.",
        (argument("address", "address"),),
        required=True,
    ),
    Setting("conveyor", "Address of release control.", (argument("address", "address"),), required=True),
    Setting(
        "roster",
        "Address of endpoint discovery. asked: it is polled; pushed: it sends changes by itself.",
        (argument("address", "address"), argument("how", "text", enum=["asked", "pushed"])),
        required=True,
    ),
    Setting(
        "view",
        "Address on which instance 0 takes part in the fleet's membership; each further instance uses the "
        "next port. If absent, there is no membership.",
        (
            argument("address", "address"),
            argument("period", "time", keyword="period", optional=True, **TIME_BOUNDS),
        ),
    ),
    Setting(
        "speak",
        "Whether instances gossip over the ports of 'view'; instead of 'neighbours'.",
        (argument("yes", "yes"),),
        default=False,
    ),
    Setting(
        "neighbours",
        "Address on which instance 0 receives gossip; each further instance uses the next port. If absent, "
        "there are no such addresses.",
        (argument("address", "address"),),
    ),
    Setting(
        "folder",
        "Folder for the instances' settings, logs and cached endpoint lists; relative to the folder of "
        "this file.",
        (argument("folder", "text"),),
        default="fleet",
    ),
    Setting(
        "control",
        "Address on which the running fleet is controlled; a loopback address.",
        (argument("address", "address"),),
        required=True,
    ),
    Setting(
        "roll-part",
        "Maximum share of the instances that may be unavailable at a time during a rolling restart; one "
        "instance is always allowed.",
        (argument("part", "share", **SHARE_BOUNDS),),
        default=0.1,
    ),
)


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Contents of the file of a fleet.

    `listen`, `membership_address` and `gossip_address` are addresses of instance 0; each further instance
    uses the next port.

    Attributes:
        instance_count: Number of instances.
        zones: Names of the zones, to which the instances are assigned in rotation.
        common_settings: File with the settings that all instances share.
        listen: Address on which clients connect.
        release_control_address: Address of release control, the same for all instances.
        discovery_address: Address of endpoint discovery, the same for all instances.
        discovery_mode: "asked": endpoint discovery is polled; "pushed": it sends changes by itself.
        membership_address: Address for the membership protocol; None: there is no membership.
        probe_period: Seconds between two probes of the membership protocol; 0: the default period.
        carries_gossip: Whether gossip is sent over the ports of the membership.
        gossip_address: Address on which gossip is received otherwise; None: no such address.
        folder: Folder for settings, logs and cached endpoint lists.
        control_address: Address on which the running fleet is controlled.
        max_unavailable_share: Maximum share of the instances that may be unavailable at a time during a
            rolling restart.
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
    max_unavailable_share: float

    def listen_address(self, number: int) -> Address:
        """Return the address on which clients connect to an instance."""
        return _with_port_offset(self.listen, number)

    def zone(self, number: int) -> str:
        """Return the zone of an instance."""
        return self.zones[number % len(self.zones)]

    def settings_file(self, number: int) -> Path:
        """Return the path of an instance's settings file."""
        return self.folder / f"umpire-{number}.conf"

    def log_file(self, number: int) -> Path:
        """Return the path of an instance's log file."""
        return self.folder / f"umpire-{number}.log"

    def settings_text(self, number: int) -> str:
        """Return the text of an instance's settings file."""
        lines = [
            f"umpire {number} of {self.instance_count}",
            f"zones {' '.join(self.zones)}",
            f"zone {self.zone(number)}",
            f"listen {_host_port(self.listen, number)}",
            f"conveyor {_host_port(self.release_control_address)}",
            (
                f"roster {_host_port(self.discovery_address)} {self.discovery_mode} "
                f"keep umpire-{number}-roster.json"
            ),
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
            f"view {_host_port(self.membership_address, number)} {{",
            *(f"    seed {_host_port(self.membership_address, seed)}" for seed in seeds),
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
            f"neighbours {_host_port(self.gossip_address, number)} {{",
            *(
                f"    neighbour {peer} {_host_port(self.gossip_address, peer)}"
                for peer in range(self.instance_count)
            ),
            "}",
        ]


def read_plan(file: Path) -> FleetPlan:
    """Read the file of a fleet.

    Raises:
        InvalidSettings: The file has errors; the exception lists all of them.
    """
    tree = SettingsReader(FLEET_SETTINGS).read(file)
    top = with_defaults(FLEET_SETTINGS, tree.values)
    _check_ports(tree, top)
    _check_gossip(tree, top)
    _check_control_address(tree, top)
    common_settings = file.parent / top["common"]
    if not common_settings.is_file():
        tree.add_error(tree.location_of("common"), f"the file {top['common']} does not exist")
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
        max_unavailable_share=top["roll-part"],
    )


@dataclass(frozen=True, slots=True)
class _PortRange:
    """The ports that the instances use for one setting."""

    setting: str
    host: str
    first: int
    last: int

    def conflicts_with(self, other: _PortRange) -> bool:
        """Return whether both ranges are UDP ports of the same host and overlap.

        Clients connect by TCP, whose ports are separate from those of UDP.
        """
        both_udp = {self.setting, other.setting} == {"view", "neighbours"}
        overlap = self.first <= other.last and other.first <= self.last
        return both_udp and self.host == other.host and overlap


def _check_ports(tree: SettingsTree, top: dict[str, Any]) -> None:
    ranges: list[_PortRange] = []
    for setting in ("listen", "view", "neighbours"):
        value = top[setting]
        if value is None:
            continue
        host, first = address_of(value["address"] if isinstance(value, dict) else value)
        ports = _PortRange(setting, host, first, first + top["umpires"] - 1)
        if ports.last > MAX_PORT:
            message = f"{top['umpires']} instances need ports up to {ports.last}; the highest port is 65535"
            tree.add_error(tree.location_of(setting), message)
        for other in ranges:
            if ports.conflicts_with(other):
                tree.add_error(tree.location_of(setting), f"these ports overlap those of '{other.setting}'")
        ranges.append(ports)


def _check_gossip(tree: SettingsTree, top: dict[str, Any]) -> None:
    if top["speak"] and (top["neighbours"] or not top["view"]):
        message = "gossip over the ports of 'view' needs 'view', and cannot be combined with 'neighbours'"
        tree.add_error(tree.location_of("speak"), message)


def _check_control_address(tree: SettingsTree, top: dict[str, Any]) -> None:
    host, port = address_of(top["control"])
    listen_host, listen_port = address_of(top["listen"])
    if host == listen_host and listen_port <= port < listen_port + top["umpires"]:
        tree.add_error(
            tree.location_of("control"), "this port is one of the ports on which the instances listen"
        )
    if not host.startswith(LOOPBACK_PREFIX):
        message = "expected a loopback address (127.0.0.0/8): whoever can connect to it can stop the fleet"
        tree.add_error(tree.location_of("control"), message)


def _with_port_offset(address: Address, offset: int) -> Address:
    host, port = address
    return host, port + offset


def _host_port(address: Address, offset: int = 0) -> str:
    host, port = _with_port_offset(address, offset)
    return f"{host}:{port}"
