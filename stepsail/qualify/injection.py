"""Injects the faults of a run into discovery, servers, client connections and processes."""

from __future__ import annotations

import socket
import subprocess
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from stepsail.loop import Loop
from stepsail.qualify.abusive_clients import Flood, Stall
from stepsail.qualify.abusive_process import start_abusive_clients
from stepsail.qualify.checks import UP
from stepsail.qualify.faults import Fault, FaultKind
from stepsail.qualify.instances import Instance
from stepsail.qualify.platform_stand_in import Discovery, Server, ServerFault
from stepsail.qualify.records import Records, Span
from stepsail.qualify.settings import LONGEST_DEADLINE

# Seconds from SIGTERM to SIGKILL, the shortest time that the platform guarantees.
KILL_AFTER_TERM = LONGEST_DEADLINE + 0.7
MIN_AGE_FOR_RECONFIGURATION = 1.0  # s; the platform never reconfigures a younger process
SILENT_CLIENTS = 30
STALLED_CLIENTS = 400  # more than an instance with the least memory has places for
# Unread responses are left out: those of the stand-in servers are too short to fill any buffer.
ABUSE_KINDS: list[Stall | Flood] = [kind for kind in (*Stall, *Flood) if kind is not Stall.UNREAD_RESPONSES]
SERVER_FAULTS = [fault for fault in ServerFault if fault is not ServerFault.NONE]


class FaultInjector:
    """Injects faults; `inject` is called in a task of its own for each of them.

    Attributes:
        counts: Number of faults started, by kind.
        is_over: Set this at the end of the run; faults of discovery that end later then have no effect.
    """

    def __init__(
        self,
        loop: Loop,
        records: Records,
        servers: list[Server],
        discovery: Discovery,
        instances: list[Instance],
    ) -> None:
        self.counts: Counter[FaultKind] = Counter()
        self.is_over = False
        self._loop = loop
        self._records = records
        self._servers = servers
        self._discovery = discovery
        self._instances = instances
        self._busy: set[str] = set()  # names of instances whose process is being suspended, ended or started
        self._open_discovery_faults: Counter[FaultKind] = Counter()
        self._abusive_processes: list[subprocess.Popen[bytes]] = []

    def inject(self, fault: Fault) -> None:
        """Inject a fault and end it after its duration; a fault that is not possible now is skipped."""
        self.counts[fault.kind] += 1
        match fault.kind:
            case FaultKind.DISCOVERY_CROWDED:
                self._overload_discovery(fault)
            case FaultKind.DISCOVERY_SILENT:
                self._silence_discovery(fault)
            case FaultKind.DISCOVERY_DOWN:
                self._take_discovery_down(fault)
            case FaultKind.WATCHES_END:
                self._discovery.end_watches()
            case FaultKind.SERVER_DRAINS:
                self._drain_server(fault)
            case FaultKind.SERVER_MISBEHAVES:
                self._make_server_faulty(fault)
            case FaultKind.DISCOVERY_MOVES:
                self._move_discovery(fault)
            case FaultKind.CLIENTS_SAY_NOTHING:
                self._connect_silent_clients(fault)
            case FaultKind.CLIENTS_ABUSE:
                self._start_abusive_clients(fault)
            case _:
                self._signal_process(fault)

    def _target_instance(self, fault: Fault) -> Instance:
        return self._instances[fault.target % len(self._instances)]

    def _target_server(self, fault: Fault) -> Server:
        return self._servers[fault.target % len(self._servers)]

    def _move_discovery(self, fault: Fault) -> None:
        """Move discovery to another address, unless the process is in its first second or is not ready.

        The platform guarantees that it does not reconfigure such a process.
        """
        instance = self._target_instance(fault)
        if instance.age() > MIN_AGE_FOR_RECONFIGURATION and instance.is_ready():
            instance.move_discovery(fault.duration)

    def _overload_discovery(self, fault: Fault) -> None:
        with self._discovery_fault(fault.kind):
            self._discovery.end_watches()
            self._loop.sleep(fault.duration)

    def _silence_discovery(self, fault: Fault) -> None:
        started_at = self._loop.now()
        with self._discovery_fault(fault.kind):
            self._loop.sleep(fault.duration)
        self._records.silences.append(Span(started_at, self._loop.now()))

    def _take_discovery_down(self, fault: Fault) -> None:
        started_at = self._loop.now()
        with self._discovery_fault(fault.kind):
            self._loop.sleep(fault.duration)
        self._records.outages.append(Span(started_at, self._loop.now()))

    @contextmanager
    def _discovery_fault(self, kind: FaultKind) -> Iterator[None]:
        """Give discovery a fault for the duration of the context.

        Where faults of the same kind overlap, discovery recovers when the last of them ends.
        """
        self._open_discovery_faults[kind] += 1
        self._set_discovery_faults()
        try:
            yield
        finally:
            self._open_discovery_faults[kind] -= 1
            self._set_discovery_faults()

    def _set_discovery_faults(self) -> None:
        if self.is_over:
            return
        self._discovery.is_overloaded = self._open_discovery_faults[FaultKind.DISCOVERY_CROWDED] > 0
        self._discovery.is_silent = self._open_discovery_faults[FaultKind.DISCOVERY_SILENT] > 0
        self._discovery.set_down(self._open_discovery_faults[FaultKind.DISCOVERY_DOWN] > 0)

    def _drain_server(self, fault: Fault) -> None:
        """Drain a server, unless one is draining already, so that others remain to serve requests."""
        if any(server.status != UP for server in self._servers):
            return
        server = self._target_server(fault)
        self._discovery.change(server, "draining")
        self._loop.sleep(fault.duration)
        self._discovery.change(server, UP)

    def _make_server_faulty(self, fault: Fault) -> None:
        server = self._target_server(fault)
        server.fault = SERVER_FAULTS[fault.detail % len(SERVER_FAULTS)]
        self._loop.sleep(fault.duration)
        server.fault = ServerFault.NONE

    def _connect_silent_clients(self, fault: Fault) -> None:
        connections: list[socket.socket] = []
        for _ in range(SILENT_CLIENTS):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(self._target_instance(fault).listen)
            connections.append(connection)
        self._loop.sleep(fault.duration)
        for connection in connections:
            connection.close()

    def _start_abusive_clients(self, fault: Fault) -> None:
        instance = self._target_instance(fault)
        kind = ABUSE_KINDS[fault.detail % len(ABUSE_KINDS)]
        connections = STALLED_CLIENTS if isinstance(kind, Stall) else 1
        self._abusive_processes.append(
            start_abusive_clients(instance.listen, kind, connections, fault.duration, instance.name)
        )

    def end_abuse(self) -> None:
        """End all abusive clients."""
        for process in self._abusive_processes:
            process.kill()
            process.wait()

    def _signal_process(self, fault: Fault) -> None:
        """Suspend, kill or restart a process; skipped while another such fault affects the same process."""
        instance = self._target_instance(fault)
        if instance.name in self._busy:
            return
        self._busy.add(instance.name)
        try:
            if fault.kind is FaultKind.INSTANCE_STOPS:
                instance.suspend()
                self._loop.sleep(fault.duration)
                instance.resume()
                return
            if fault.kind is FaultKind.INSTANCE_RESTARTED:
                instance.terminate()
                self._loop.sleep(KILL_AFTER_TERM)
            instance.record_unexpected_exit()
            instance.kill()
            self._loop.sleep(fault.duration)
            instance.start()
        finally:
            self._busy.discard(instance.name)
