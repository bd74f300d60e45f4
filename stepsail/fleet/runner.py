"""Runs a fleet: starts and signals processes as the supervisor decides, and polls their readiness."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import msgspec

from stepsail.fleet.control_server import MAX_CONNECTIONS, ControlServer
from stepsail.fleet.plan import FleetPlan
from stepsail.fleet.supervisor import (
    InstanceAction,
    InstanceState,
    ProcessAction,
    SupervisedInstance,
    Supervisor,
)
from stepsail.http.single_request import request_once
from stepsail.loop import Listener, Loop
from stepsail.proxy.decision_host import Logger

POLL_INTERVAL = 0.1  # s between checks of the processes, and between polls of the instances
MAX_PARALLEL_POLLS = 16  # instances that are polled at a time
READY_PATH = b"/.stepsail/ready"
MEMBERSHIP_PATH = b"/.stepsail/fleet"
HTTP_OK = 200
EXIT_OK = 0
EXIT_UNCLEAN = 3  # an instance failed or did not answer all requests


class FleetRunner:
    """Runs the processes of one fleet.

    Attributes:
        supervisor: Decides which processes are started, stopped or killed.
        processes: The running processes, by instance number.
        memberships: Membership pages of the instances that answered the last poll, by instance number.
    """

    def __init__(
        self, loop: Loop, plan: FleetPlan, log: Logger, command: Sequence[str] | None = None
    ) -> None:
        """Create a fleet; `command` replaces the command line that starts an instance, `stepsail umpire`."""
        self.loop = loop
        self.plan = plan
        self.log = log
        self.command = list(command or (sys.executable, "-m", "stepsail", "umpire"))
        seed = int.from_bytes(os.urandom(4), "big")
        self.supervisor = Supervisor(plan.instance_count, plan.max_unavailable_share, seed, loop.now())
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.memberships: dict[int, dict[str, Any]] = {}
        self.logged_halt_reason = ""

    def run(self) -> int:
        """Run until the fleet is stopped by a signal or at the control address.

        Returns:
            EXIT_UNCLEAN if the last exit code of any instance is not 0, else EXIT_OK.

        Raises:
            OSError: The folder cannot be created, or the control address cannot be listened on.
        """
        self.plan.folder.mkdir(parents=True, exist_ok=True)
        listener = Listener(self.loop, self.plan.control_address, MAX_CONNECTIONS)
        server = ControlServer(self.loop, self.status, self.supervisor.restart_all, self._stop)
        self.loop.spawn(listener.serve, server.serve, "fleet", name="control", essential=True)
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            self.loop.driver.on_signal(stop_signal, self._stop)
        polls = self.loop.spawn(self._poll_instances, name="poll instances", essential=True)
        try:
            while not self.supervisor.finished:
                self._supervise()
                self.loop.sleep(POLL_INTERVAL)
        finally:
            self._kill_processes()
            polls.cancel()
            listener.drop()
        exit_codes = {instance.exit_code for instance in self.supervisor.instances}
        return EXIT_OK if exit_codes <= {0, None} else EXIT_UNCLEAN

    def status(self) -> dict[str, Any]:
        """Return the status page."""
        memberships = self.memberships.values()
        return {
            "umpires": [self._instance_status(instance) for instance in self.supervisor.instances],
            "rolling": self.supervisor.restarting,
            "halted": self.supervisor.halt_reason,
            "stopping": self.supervisor.stopping,
            "views": (
                len({membership["digest"] for membership in memberships})
                if self.plan.membership_address
                else None
            ),
        }

    def _instance_status(self, instance: SupervisedInstance) -> dict[str, Any]:
        membership = self.memberships.get(instance.number)
        process = self.processes.get(instance.number)
        return {
            "umpire": instance.number,
            "zone": self.plan.zone(instance.number),
            "state": instance.state.value,
            "for": round(self.loop.now() - instance.since, 1),
            "pid": process.pid if process else None,
            "starts": instance.starts,
            "ends_in_a_row": instance.exits_in_a_row,
            "last_code": instance.exit_code,
            "listen": "{}:{}".format(*self.plan.listen_address(instance.number)),
            "present": len(membership["members"]) if membership else None,
            "digest": membership["digest"] if membership else None,
            "settled": membership["settled"] if membership else None,
            "minority": membership["minority"] if membership else None,
        }

    def _supervise(self) -> None:
        self._reap_processes()
        for action in self.supervisor.due_actions(self.loop.now()):
            self._carry_out(action)
        halt_reason = self.supervisor.halt_reason
        if halt_reason and halt_reason != self.logged_halt_reason:
            self.log.error("rolling_restart_halted", reason=halt_reason)
        self.logged_halt_reason = halt_reason

    def _stop(self) -> None:
        for action in self.supervisor.stop_all(self.loop.now()):
            self._carry_out(action)

    def _carry_out(self, action: InstanceAction) -> None:
        process = self.processes.get(action.number)
        if action.action is ProcessAction.START:
            self._start_process(action.number)
        elif process is not None and process.poll() is None:
            stops = action.action is ProcessAction.STOP
            process.send_signal(signal.SIGTERM if stops else signal.SIGKILL)
        self.log.info(f"instance_{action.action.value}", instance=action.number)

    def _start_process(self, number: int) -> None:
        settings_file = self.plan.settings_file(number)
        settings_file.write_text(self.plan.settings_text(number), "utf-8")
        with self.plan.log_file(number).open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [*self.command, str(settings_file)], stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def _reap_processes(self) -> None:
        for number, process in list(self.processes.items()):
            exit_code = process.poll()
            if exit_code is not None:
                del self.processes[number]
                self.memberships.pop(number, None)
                self.supervisor.instance_exited(number, exit_code, self.loop.now())
                self._log_exit(self.supervisor.instances[number])

    def _log_exit(self, instance: SupervisedInstance) -> None:
        is_waiting = instance.state is InstanceState.WAITING
        self.log.info(
            "instance_exited",
            instance=instance.number,
            exit_code=instance.exit_code,
            exits_in_a_row=instance.exits_in_a_row,
            restart_in=round(instance.next_action_at - self.loop.now(), 2) if is_waiting else None,
        )

    def _kill_processes(self) -> None:
        """Kill the processes that still run, so that none outlives this one, whatever ends it."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def _poll_instances(self) -> NoReturn:
        """Poll the readiness and the membership of the instances, until cancelled."""
        while True:
            numbers = list(self.processes)
            tasks = [
                self.loop.spawn(self._poll_in_sequence, numbers[offset::MAX_PARALLEL_POLLS], name="ask")
                for offset in range(MAX_PARALLEL_POLLS)
            ]
            for task in tasks:
                task.join()
            self.loop.sleep(POLL_INTERVAL)

    def _poll_in_sequence(self, numbers: list[int]) -> None:
        for number in numbers:
            try:
                self._poll_instance(number)
            except (OSError, msgspec.DecodeError, KeyError):
                self.memberships.pop(number, None)

    def _poll_instance(self, number: int) -> None:
        address = self.plan.listen_address(number)
        instance = self.supervisor.instances[number]
        is_starting = instance.state is InstanceState.STARTING
        if is_starting and request_once(self.loop, address, READY_PATH).status == HTTP_OK:
            self.supervisor.instance_ready(number, self.loop.now())
            self.log.info("instance_ready", instance=number)
        if self.plan.membership_address and instance.state is InstanceState.READY:
            body = request_once(self.loop, address, MEMBERSHIP_PATH).body
            self.memberships[number] = msgspec.json.decode(body)["view"]
