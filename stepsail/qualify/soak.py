"""Runs instances, servers and clients under injected faults for a given time, and finds broken rules."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from stepsail.loop import Loop, PollDriver
from stepsail.qualify.checks import Breach, Limits, find_breaches
from stepsail.qualify.clients import Client
from stepsail.qualify.faults import Fault, draw_abuse, draw_faults
from stepsail.qualify.injection import FaultInjector
from stepsail.qualify.instances import LEAST_MEMORY, USUAL_LIMITS, Instance
from stepsail.qualify.platform_stand_in import Discovery, ReleaseControl, Server
from stepsail.qualify.records import ClientEnd, Records
from stepsail.qualify.settings import DRAIN_GRACE, KEY_WINDOW, SETTINGS

SERVERS = 4
STARTUP_TIMEOUT = 20.0  # s until each instance must have served a request
CLIENT_DRAIN_TIME = 3.0  # s at the end of a run for requests in flight to be answered
POLL_INTERVAL = 0.02  # s between two checks whether all instances have served a request
LOG_TAIL = 2000  # characters at the end of a log that are part of an error
OK_STATUS = 200


class InstanceNotServing(Exception):
    """An instance served no request within STARTUP_TIMEOUT.

    Attributes:
        instance: Name of the instance.
        log: The end of its log.
    """

    def __init__(self, instance: str, log: str) -> None:
        super().__init__(f"{instance}: {log}")
        self.instance = instance
        self.log = log


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of a run.

    Attributes:
        seed: Seed of the faults and of the clients' requests.
        seconds: Duration of the run.
        instances: Number of instances.
        clients: Number of clients per instance.
        abuse: Whether other clients break the protocol; the instances then have the least memory.
    """

    seed: int
    seconds: float = 20.0
    instances: int = 4
    clients: int = 3
    abuse: bool = False


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Results of a run.

    Attributes:
        plan: Parameters of the run.
        faults: Number of injected faults, by name of their kind.
        ends: Number of requests, by name of the `ClientEnd`.
        statuses: Number of complete answers, by HTTP status.
        attempts: Number of attempts that reached servers.
        breaches: Broken rules, sorted by time.
    """

    plan: SoakPlan
    faults: dict[str, int]
    ends: dict[str, int]
    statuses: dict[int, int]
    attempts: int
    breaches: list[Breach]


class Soak:
    """One run of the soak; `run` may be called once."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.records = Records()
        self._driver = PollDriver()
        self._loop = Loop(self._driver, _drop_event)

    def run(self) -> SoakReport:
        """Perform the run and return its report.

        Raises:
            InstanceNotServing: An instance did not serve a request in time.
            OSError: A process, socket or file could not be created.
        """
        try:
            self._loop.run(self._main)
        finally:
            self._driver.shutdown()
        records = self.records
        answered = (client for client in records.clients if client.end is ClientEnd.ANSWERED)
        return SoakReport(
            plan=self.plan,
            faults={kind.name.lower(): count for kind, count in self._injector.counts.items()},
            ends=dict(Counter(client.end.name.lower() for client in records.clients)),
            statuses=dict(Counter(client.status for client in answered)),
            attempts=len(records.arrivals),
            breaches=find_breaches(records, Limits(DRAIN_GRACE, KEY_WINDOW)),
        )

    def _main(self) -> None:
        servers_and_zones = [(f"s{number}", f"zone-{'ab'[number % 2]}") for number in range(SERVERS)]
        servers = [Server(self._loop, self.records, name, zone) for name, zone in servers_and_zones]
        discovery = Discovery(self._loop, self.records, servers)
        release_control = ReleaseControl(self._loop)
        settings = SETTINGS | {"Siblings": self.plan.instances}
        self._instances = [
            Instance(
                self._loop,
                self.records,
                self.folder,
                f"i{number}",
                discovery,
                release_control.address,
                settings,
                LEAST_MEMORY if self.plan.abuse else USUAL_LIMITS,
            )
            for number in range(self.plan.instances)
        ]
        self._injector = FaultInjector(self._loop, self.records, servers, discovery, self._instances)
        try:
            self._run_under_faults()
        finally:
            self._injector.end_abuse()
            self._kill_processes()

    def _kill_processes(self) -> None:
        for instance in self._instances:
            instance.record_unexpected_exit()
            instance.record_memory()
            if instance.process and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()

    def _run_under_faults(self) -> None:
        """Start instances and clients, inject each fault at its time, and wait for the clients to finish."""
        for instance in self._instances:
            instance.start()
        clients = [
            Client(self._loop, self.records, instance.name, instance.listen, number, self.plan.seed)
            for instance in self._instances
            for number in range(self.plan.clients)
        ]
        tasks = [self._loop.spawn(client.run, name="client") for client in clients]
        self._wait_until_all_serve()
        started_at = self._loop.now()
        for fault in self._draw_faults():
            self._sleep_until(started_at + fault.at)
            self._loop.spawn(self._injector.inject, fault, name=fault.kind.name)
        self._sleep_until(started_at + self.plan.seconds)
        self._injector.is_over = True
        for client in clients:
            client.is_over = True
        for task in tasks:
            task.join(CLIENT_DRAIN_TIME)

    def _draw_faults(self) -> list[Fault]:
        faults = draw_faults(self.plan.seed, self.plan.seconds)
        abuse = draw_abuse(self.plan.seed, self.plan.seconds) if self.plan.abuse else []
        return sorted([*faults, *abuse], key=lambda fault: fault.at)

    def _sleep_until(self, at: float) -> None:
        self._loop.sleep(max(0.0, at - self._loop.now()))

    def _wait_until_all_serve(self) -> None:
        deadline = self._loop.now() + STARTUP_TIMEOUT
        while True:
            serving = {client.instance for client in self.records.clients if client.status == OK_STATUS}
            missing = [instance for instance in self._instances if instance.name not in serving]
            if not missing:
                return
            if self._loop.now() >= deadline:
                raise InstanceNotServing(missing[0].name, missing[0].log.read_text()[-LOG_TAIL:])
            self._loop.sleep(POLL_INTERVAL)


def _drop_event(event: str, **fields: object) -> None:
    """Discard an event of the loop."""


def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Perform a run whose files go to a folder, which is created if it does not exist.

    Raises:
        InstanceNotServing: An instance did not serve a request in time.
        OSError: A process, socket or file could not be created.
    """
    folder.mkdir(parents=True, exist_ok=True)
    return Soak(plan, folder).run()
