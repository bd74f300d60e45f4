"""Parses and validates the server records in the endpoint lists of discovery.

The module does no I/O other than logging invalid records.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from stepsail.decisions.interface import EndpointState
from stepsail.platform import wire_names
from stepsail.platform.errors import InvalidField
from stepsail.platform.json_fields import parse_address, require, require_integer, require_number
from stepsail.proxy.decision_host import Logger
from stepsail.settings.model import Address

MAX_LISTING_DELAY = 5.0  # longest time in seconds from a server's start to its first listing
# Number of zones that can get a number. A record that names a zone beyond them is invalid.
MAX_ZONES = 1000
MAX_BUILD_OR_CELL = 65535
DEFAULT_CELL = 0
DEFAULT_WEIGHT = 1.0
MAX_LOGGED_RECORD = 200  # longest text of a server record or its error in a log line, in characters
MAX_LOGGED_NAME = 80  # longest server name in a log line, in characters


@dataclass(slots=True)
class Endpoint:
    """A server as described by its last record.

    Attributes:
        address: Address at which the server accepts connections.
        zone: Number of the server's zone.
        state: Whether the server is ready, draining or gone.
        started_at: Start time in seconds on the loop's clock; 0 if the server started long ago.
        build: Number of the build that the server runs.
        unix_started_at: Start time in seconds of Unix time, as listed by discovery.
        gone_at: Time at which the server became gone, in seconds on the loop's clock.
    """

    address: Address
    zone: int
    state: EndpointState
    started_at: float
    build: int
    unix_started_at: float
    gone_at: float = 0.0

    @property
    def identity(self) -> tuple[object, ...]:
        """The properties whose change makes connections to the server, and attempts assigned to it, stale."""
        return self.address, self.state, self.started_at, self.build


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The update of one server that an endpoint list contains.

    Attributes:
        name: The server's name, which identifies it to the router.
        endpoint: The server as the list describes it.
        cell: Number of the server's deduplication cell.
        weight: The server's capacity relative to that of the other servers.
    """

    name: bytes
    endpoint: Endpoint
    cell: int
    weight: float


class EndpointParser:
    """Parses server records and numbers the zones.

    Zones in the settings are numbered first, in their order there. Other zones follow in the order in which
    records first name them.
    """

    def __init__(
        self,
        zones: Sequence[str],
        endpoints: Mapping[bytes, Endpoint],
        log: Logger,
        to_loop_time: Callable[[float], float],
    ) -> None:
        """Create a parser.

        Args:
            zones: Names of the zones in the settings.
            endpoints: The servers that have been listed so far.
            log: The log that invalid records are reported to.
            to_loop_time: Converts a start time from Unix time to the loop's clock.
        """
        self.zone_numbers = {name: number for number, name in enumerate(zones)}
        self.endpoints = endpoints
        self.log = log
        self.to_loop_time = to_loop_time

    def parse(self, record: Any) -> EndpointUpdate | None:
        """Parse one server record; return None if the record updates no server.

        An invalid record does not invalidate the whole list, whose other records may report draining servers.
        A listed server with an invalid record counts as draining until a valid record arrives. A record
        without a name is ignored.
        """
        name = record.get(wire_names.ENDPOINT_NAME) if isinstance(record, dict) else None
        if not isinstance(name, str) or not name:
            self.log.warning("endpoint_ignored", record=str(record)[:MAX_LOGGED_RECORD])
            return None
        try:
            return self._parse_fields(name.encode(), record)
        except InvalidField as error:
            self.log.warning(
                "endpoint_invalid", server=name[:MAX_LOGGED_NAME], error=str(error)[:MAX_LOGGED_RECORD]
            )
            return self._draining_update(name.encode())

    def _parse_fields(self, name: bytes, record: dict[str, Any]) -> EndpointUpdate:
        state = self._parse_state(record)
        unix_started_at = require_number(record, wire_names.ENDPOINT_STARTED_AT) / 1000.0
        address = parse_address(record.get(wire_names.ENDPOINT_ADDRESS), wire_names.ENDPOINT_ADDRESS)
        build = require_integer(record, wire_names.ENDPOINT_BUILD, MAX_BUILD_OR_CELL)
        zone = self._zone_number(require(record, wire_names.ENDPOINT_ZONE, str))
        started_at = self._convert_start(name, unix_started_at)
        return EndpointUpdate(
            name=name,
            endpoint=Endpoint(address, zone, state, started_at, build, unix_started_at),
            cell=require_integer(record, wire_names.ENDPOINT_CELL, MAX_BUILD_OR_CELL),
            weight=require_number(record, wire_names.ENDPOINT_WEIGHT),
        )

    @staticmethod
    def _parse_state(record: dict[str, Any]) -> EndpointState:
        state = require(record, wire_names.ENDPOINT_STATE, str)
        if state not in wire_names.ENDPOINT_STATES:
            raise InvalidField(
                wire_names.ENDPOINT_STATE, f"one of {', '.join(wire_names.ENDPOINT_STATES)}", state
            )
        return wire_names.ENDPOINT_STATES[state]

    def _zone_number(self, name: str) -> int:
        if name not in self.zone_numbers and len(self.zone_numbers) >= MAX_ZONES:
            raise InvalidField(wire_names.ENDPOINT_ZONE, f"one of the {MAX_ZONES} zones seen so far", name)
        return self.zone_numbers.setdefault(name, len(self.zone_numbers))

    def _convert_start(self, name: bytes, unix_started_at: float) -> float:
        """Convert a server's start time from Unix time to the loop's clock.

        A start time is converted only when it is first listed, because the wall clock may be stepped at any
        time.
        """
        if not unix_started_at:
            return 0.0
        previous = self.endpoints.get(name)
        if previous is not None and previous.unix_started_at == unix_started_at:
            return previous.started_at
        return self.to_loop_time(unix_started_at)

    def _draining_update(self, name: bytes) -> EndpointUpdate | None:
        previous = self.endpoints.get(name)
        if previous is None:
            return None
        draining = Endpoint(
            address=previous.address,
            zone=previous.zone,
            state=EndpointState.DRAINING,
            started_at=previous.started_at,
            build=previous.build,
            unix_started_at=previous.unix_started_at,
        )
        return EndpointUpdate(name, draining, DEFAULT_CELL, DEFAULT_WEIGHT)
