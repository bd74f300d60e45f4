"""Plays a day: runs the environment on the loop of this process, and starts and stops the instances."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

from stepsail.http.single_request import request_once
from stepsail.loop import Loop
from stepsail.loop.driver import Address
from stepsail.membership import DetectionBounds, Timing
from stepsail.membership.parameters import PROBE_PERIOD
from stepsail.policy.parameters import max_staleness
from stepsail.settings import InstanceSettings, load_settings
from stepsail.standins.day import DATAGRAM_FAULTS, ENDPOINT_CACHE_FAULTS, Day, Fault, Proposal
from stepsail.standins.instances import InstanceFactory, RunningInstance, instance_processes
from stepsail.standins.switch import DatagramFaults, DatagramSwitch
from stepsail.standins.transcript import Transcript
from stepsail.standins.world import Environment

# s until all instances must be ready: a base, and more for each instance, as they share few cores at startup.
READY_TIMEOUT, READY_TIMEOUT_PER_INSTANCE = (
    20.0,
    0.3,
)
SETTLE_TIMEOUT = 6.0  # s after the last arrival until all requests must be answered
PROPOSE_TIMEOUT = 8.0  # s; until then a proposal is retried if no voter leads or a change is pending
PAUSE_INTERVAL = (2.0, 4.0)  # s between two pauses of an instance, drawn from this range
POLL_INTERVAL = 0.05  # s between checks of an instance
INSTANCE_FAULTS = (
    "kill-umpire",
    "stop-umpire",
    "restart-umpires",
    "pause-umpires",
    "leave-umpires",
    "kill-umpires",
    "stop-umpires",
)
# Fields of `DatagramFaults`, by the kind of fault that sets them.
DATAGRAM_FAULT_FIELDS = {
    "lose-words": "loss",
    "double-words": "duplication",
    "late-words": "delay",
    "old-words": "replay",
}
SEED_COUNT = 3  # instances whose addresses all instances get as membership seeds


class Rehearsal:
    """One run of a day.

    Args:
        out: Folder for settings files, logs and the transcript.
        make_instance: Creates an instance under test; default: as a process.
        progress: Called with the elapsed time (s) and a status text.

    Attributes:
        codes: Exit codes of the instances.
        is_over: Whether the day has ended, after which no instance is restarted and no policy proposed.
    """

    def __init__(
        self,
        loop: Loop,
        day: Day,
        out: Path,
        make_instance: InstanceFactory | None = None,
        progress: Callable[[float, str], None] | None = None,
    ) -> None:
        self.loop, self.day, self.out, self.make_instance = (
            loop,
            day,
            out,
            make_instance or instance_processes(),
        )
        self.progress = progress or (lambda at, text: None)
        out.mkdir(parents=True, exist_ok=True)
        self.transcript = Transcript(loop, out / "transcript.jsonl")
        self.codes: list[int | None] = []
        self.is_over = False

    def run(self) -> None:
        """Run the day.

        Raises:
            RuntimeError: An instance does not become ready.
        """
        try:
            self._run()
        finally:
            self.transcript.close()

    def _read_common_settings(self) -> tuple[InstanceSettings, list[str]]:
        """Return the instances' common settings and the zone of each instance.

        The settings are loaded from a temporary settings file like that of an instance.
        """
        probe = self.out / "probe.conf"
        zone_line = next(
            line
            for line in self.day.common_settings.read_text("utf-8").splitlines()
            if line.strip().startswith("zones ")
        )
        zones = zone_line.split()[1:]
        self._write_settings(probe, 0, zones[0], ("127.0.0.1", 1), ("127.0.0.1", 1), ("127.0.0.1", 1))
        settings = load_settings(probe)
        probe.unlink()
        return settings, [zones[n % len(zones)] for n in range(self.day.instance_count)]

    def _write_settings(
        self,
        file: Path,
        number: int,
        zone: str,
        listen: Address,
        release_control: Address,
        discovery: Address,
        gossip_addresses: list[Address] | None = None,
        switch: DatagramSwitch | None = None,
    ) -> None:
        count = max(number + 1, self.day.configured_instance_count or self.day.instance_count)
        lines = [
            f"umpire {number} of {count}",
            f"zone {zone}",
            f"listen {listen[0]}:{listen[1]}",
            f"conveyor {release_control[0]}:{release_control[1]}",
            f"seed {self.day.seed * 1000 + number}",
            f"roster {discovery[0]}:{discovery[1]} asked keep {file.stem}-roster.json",
            f"include {json.dumps(str(self.day.common_settings.resolve()))}",
        ]
        if gossip_addresses:
            lines += [
                f"neighbours {gossip_addresses[number][0]}:{gossip_addresses[number][1]} {{",
                *(f"    neighbour {n} {host}:{port}" for n, (host, port) in enumerate(gossip_addresses)),
                "}",
            ]
        if switch:
            lines += [
                "view {}:{} reached {}:{} {{".format(
                    *switch.instance_addresses[number], *switch.port_addresses[number]
                ),
                *(
                    "    seed {}:{}".format(*switch.port_addresses[n])
                    for n in sorted(switch.instance_addresses)[:SEED_COUNT]
                ),
                *([f"    period {self.day.probe_period * 1000:g}ms"] if self.day.probe_period else []),
                *(["    heeded no"] if not self.day.used_by_router else []),
                *(["    speak yes"] if self.day.carries_gossip else []),
                "}",
            ]
        if switch and self.day.voter_count:
            voters = [(n, *switch.port_addresses[n]) for n in range(self.day.voter_count)]
            lines += [
                "policy {",
                *("    keeper {} {}:{}".format(*voter) for voter in voters),
                f"    keep {file.stem}-order",
                "}",
            ]
        file.write_text("\n".join(lines) + "\n", "utf-8")

    def _run(self) -> None:
        settings, zones = self._read_common_settings()
        loop, day = self.loop, self.day
        environment = Environment(loop, day, settings, self.transcript, zones)
        self.transcript.add("day", "facts", name=day.name, seed=day.seed, **environment.facts())
        self.instances = [
            self.make_instance(loop, n, zone, self.out, self.transcript) for n, zone in enumerate(zones)
        ]
        for number, skew in day.clock_skews.items():
            self.instances[number].skew = skew
            self.transcript.add(
                "day", "clock", umpire=number, rate=skew.rate, by=skew.jump, after=skew.jump_at
            )
        self.switch = self._start_switch(environment) if day.has_membership else None
        try:
            for instance in self.instances:
                self._write_settings(
                    instance.settings_file,
                    instance.number,
                    instance.zone,
                    instance.listen,
                    environment.service_address(
                        instance.number, "conveyor", environment.release_control.service.address
                    ),
                    environment.service_address(
                        instance.number, "roster", environment.discovery.service.address
                    ),
                    switch=self.switch,
                )
                instance.start()
            self._wait_ready()
            self._play(environment)
        finally:
            self.is_over = True
            for instance in self.instances:
                self.codes.append(instance.shut_down())

    def _start_switch(self, environment: Environment) -> DatagramSwitch:
        """Return a switch with a port for each instance, and record the detection bounds."""
        free_address = self.instances[0].free_address
        homes = {instance.number: free_address() for instance in self.instances}
        switch = DatagramSwitch(
            self.loop, environment.random_for("words"), homes, {number: free_address() for number in homes}
        )
        wall_offset = self.loop.driver.wall_clock() - self.loop.now()
        bounds = DetectionBounds.of(Timing(self.day.probe_period or PROBE_PERIOD), self.day.instance_count)
        self.transcript.add(
            "day", "view", umpires=self.day.instance_count, wall=round(wall_offset, 6), **asdict(bounds)
        )
        return switch

    def _wait_ready(self) -> None:
        until = self.loop.now() + READY_TIMEOUT + READY_TIMEOUT_PER_INSTANCE * len(self.instances)
        for instance in self.instances:
            while not instance.is_ready():
                if self.loop.now() > until or instance.has_ended():
                    raise RuntimeError(f"instance {instance.number} is not ready; see {instance.log}")
                self.loop.sleep(POLL_INTERVAL)

    def _play(self, environment: Environment) -> None:
        loop, start = self.loop, self.loop.now()
        self.transcript.add("day", "begins")
        clients = environment.client_population([instance.listen for instance in self.instances])
        for at, build in self.day.releases:
            loop.call_later(at, lambda build=build: environment.release_control.offer(build))  # type: ignore[misc]
        for fault in self.day.faults:
            # Essential: if injecting a fault fails, the run must fail too. Otherwise the instances would
            # seem to have withstood a fault that did not occur.
            loop.spawn(self._inject_fault, environment, fault, name=f"trouble {fault.kind}", essential=True)
        if self.day.voter_count:
            self.transcript.add("day", "policy", keepers=self.day.voter_count, bound=max_staleness())
        for proposal in self.day.proposals:
            loop.spawn(self._propose_policy, environment, proposal, name="change of policy", essential=True)
        arrivals = loop.spawn(clients.start_visits, start + self.day.length, name="arrivals", essential=True)
        while not arrivals.done:
            loop.sleep(0.25)
            self.progress(
                loop.now() - start,
                f"{environment.release_control.phase} build {environment.release_control.build.number} "
                f"stage {environment.release_control.stage}, {clients.visits} visits, {clients.open_visits} open",
            )
        until = loop.now() + SETTLE_TIMEOUT
        while clients.open_visits and loop.now() < until:
            loop.sleep(POLL_INTERVAL)
        self._record_policy_outcomes()
        self.transcript.add(
            "day",
            "ends",
            visits=clients.visits,
            answers=dict(clients.outcomes),
            still_open=clients.open_visits,
        )

    def _ask_voters(self, method: bytes, body: bytes = b"") -> list[tuple[int, dict[str, Any]]]:
        """Return the status and the decoded body of each voter that answers."""
        responses = []
        for voter in self.instances[: self.day.voter_count]:
            with suppress(OSError, ValueError):
                response = request_once(self.loop, voter.listen, b"/.stepsail/policy", method, 0.2, body=body)
                responses.append((response.status, json.loads(response.body)))
        return responses

    def _propose_policy(self, environment: Environment, proposal: Proposal) -> None:
        """Propose a policy change to the voters until the leader accepts it, for a limited time."""
        self.loop.sleep(proposal.at)
        until = self.loop.now() + PROPOSE_TIMEOUT
        body = json.dumps({"text": f"change of {proposal.at:.3f}", "patience": proposal.timeout})
        while self.loop.now() < until and not self.is_over:
            for status, response in self._ask_voters(b"POST", body.encode()):
                if status == 202:
                    self.transcript.add(
                        "policy", "proposed", number=response["number"], patience=proposal.timeout
                    )
                    if proposal.cut_share:
                        self.loop.sleep(proposal.cut_delay)
                        self._inject_fault(
                            environment, Fault("cut-umpires", 0.0, proposal.length, share=proposal.cut_share)
                        )
                    return
            self.loop.sleep(0.5)
        self.transcript.add("policy", "not proposed")

    def _record_policy_outcomes(self) -> None:
        """Record which policy changes were committed and which given up, as the voters report at the end."""
        if not self.day.voter_count:
            return
        outcomes: dict[int, bool] = {}
        for status, response in self._ask_voters(b"GET"):
            for outcome in (
                response.get("policy", {}).get("keeper", {}).get("past", []) if status == 200 else ()
            ):
                outcomes[outcome["number"]] = outcome["held"]
        self.transcript.add(
            "policy",
            "past",
            held=sorted(n for n, is_committed in outcomes.items() if is_committed),
            given_up=sorted(n for n, is_committed in outcomes.items() if not is_committed),
        )

    def _inject_fault(self, environment: Environment, fault: Fault) -> None:
        self.loop.sleep(fault.at)
        self.transcript.add(
            "day",
            "trouble",
            kind=fault.kind,
            of=fault.target,
            length=fault.length,
            size=fault.size,
            part=fault.share,
        )
        if fault.kind in DATAGRAM_FAULTS and self.switch:
            self._inject_datagram_fault(environment, self.switch, fault)
            return
        if fault.kind in ENDPOINT_CACHE_FAULTS:
            self._inject_cache_fault(environment, self.instances[fault.target], fault)
            return
        if fault.kind not in INSTANCE_FAULTS:
            end_fault = environment.inject(fault)
            heal_datagrams = self._cut_zone_datagrams(environment, fault)
            self.loop.sleep(fault.length)
            end_fault()
            heal_datagrams()
            return
        if fault.kind == "stop-umpire":
            self._pause_instance(self.instances[fault.target], fault.length)
        elif fault.kind == "kill-umpire":
            self._kill_and_restart(environment, self.instances[fault.target], fault.length)
        elif fault.kind in ("kill-umpires", "stop-umpires"):
            for instance in self._affected_instances(environment, fault):
                if fault.kind == "kill-umpires":
                    self.loop.spawn(self._kill_and_restart, environment, instance, fault.length, name="kill")
                else:
                    self.loop.spawn(self._pause_instance, instance, fault.length, name="stop")
        else:
            self._spread_faults(environment, fault)

    def _spread_faults(self, environment: Environment, fault: Fault) -> None:
        """Restart or pause a share of the instances, each at random times of its own."""
        random = environment.random_for(f"{fault.kind} {fault.at}")
        for instance in self._affected_instances(environment, fault):
            if fault.kind in ("restart-umpires", "leave-umpires"):
                restart: Callable[..., None] = self._restart_gracefully
                if fault.kind == "restart-umpires":
                    restart = self._kill_and_restart
                self.loop.call_later(
                    random.uniform(0.0, fault.length),
                    partial(
                        self.loop.spawn,
                        restart,
                        environment,
                        instance,
                        random.uniform(0.2, 2.0),
                        name="restart",
                    ),
                )
                continue
            at = random.uniform(0.0, PAUSE_INTERVAL[1])
            while at < fault.length:
                self.loop.call_later(
                    at, partial(self.loop.spawn, self._pause_instance, instance, fault.size, name="pause")
                )
                at += fault.size + random.uniform(*PAUSE_INTERVAL)

    def _affected_instances(self, environment: Environment, fault: Fault) -> list[RunningInstance]:
        """Return the randomly chosen share of the instances that a fault affects."""
        random = environment.random_for(f"{fault.kind} {fault.at} who")
        return random.sample(self.instances, max(1, round(fault.share * len(self.instances))))

    def _inject_datagram_fault(self, environment: Environment, switch: DatagramSwitch, fault: Fault) -> None:
        """Inject a fault into the datagrams between instances, and record when it begins and ends."""
        if fault.kind in DATAGRAM_FAULT_FIELDS:
            field_name, defaults = DATAGRAM_FAULT_FIELDS[fault.kind], DatagramFaults()
            delay = (defaults.delay[0], defaults.delay[1] + fault.size)
            setattr(switch.faults, field_name, delay if field_name == "delay" else fault.share)
            self._record_datagram_faults(switch.faults)
            self.loop.sleep(fault.length)
            setattr(switch.faults, field_name, getattr(defaults, field_name))
            self._record_datagram_faults(switch.faults)
            return
        side = sorted(instance.number for instance in self._affected_instances(environment, fault))
        paths = switch.paths_across(side, fault.kind != "deafen-umpires", fault.kind != "mute-umpires")
        until = self.loop.now() + fault.length
        period = fault.size if fault.kind == "flap-umpires" else fault.length
        while self.loop.now() < until:
            switch.cut(id(fault), paths)
            self.transcript.add(
                "words",
                "cut",
                side=side,
                says=fault.kind != "deafen-umpires",
                hears=fault.kind != "mute-umpires",
            )
            self.loop.sleep(min(period, until - self.loop.now()))
            switch.heal(id(fault))
            self.transcript.add("words", "healed", side=side)
            if self.loop.now() < until:
                self.loop.sleep(min(period, until - self.loop.now()))

    def _cut_zone_datagrams(self, environment: Environment, fault: Fault) -> Callable[[], None]:
        """Cut the datagrams between the instances of a zone that is cut off and the others.

        Returns:
            The function that ends this cut; it does nothing if the fault is of another kind.
        """
        if fault.kind != "cut-zone" or not self.switch:
            return lambda: None
        zone, switch = environment.zones[fault.target % len(environment.zones)], self.switch
        side = [instance.number for instance in self.instances if instance.zone == zone]
        switch.cut(id(fault), switch.paths_across(side))
        self.transcript.add("words", "cut", side=side, says=True, hears=True, zone=zone)

        def heal() -> None:
            switch.heal(id(fault))
            self.transcript.add("words", "healed", side=side, zone=zone)

        return heal

    def _inject_cache_fault(self, environment: Environment, instance: RunningInstance, fault: Fault) -> None:
        """Delete or truncate the endpoint cache of a killed instance, or make it unwritable for a time."""
        if fault.kind == "fill-kept":
            # The instance writes this file first, and then renames it to the endpoint cache.
            temporary_file = instance.endpoint_cache.with_name(instance.endpoint_cache.name + ".new")
            temporary_file.unlink(missing_ok=True)
            temporary_file.symlink_to("/dev/full")
            self.transcript.add("disk", "full", umpire=instance.number)
            self.loop.sleep(fault.length)
            temporary_file.unlink(missing_ok=True)
            self.transcript.add("disk", "has room", umpire=instance.number)
            return

        def damage() -> None:
            if fault.kind == "lose-kept":
                instance.endpoint_cache.unlink(missing_ok=True)
            elif instance.endpoint_cache.exists():
                instance.endpoint_cache.write_bytes(
                    instance.endpoint_cache.read_bytes()[
                        : -max(1, instance.endpoint_cache.stat().st_size // 3)
                    ]
                )
            self.transcript.add("disk", fault.kind, umpire=instance.number)

        self._kill_and_restart(environment, instance, fault.length, damage)

    def _record_datagram_faults(self, faults: DatagramFaults) -> None:
        self.transcript.add(
            "words",
            "ways",
            lose=faults.loss,
            twice=faults.duplication,
            delay=faults.delay[1],
            again=faults.replay,
        )

    def _restart_gracefully(
        self, environment: Environment, instance: RunningInstance, duration: float
    ) -> None:
        """Shut an instance down gracefully, and start it again this long (s) after its exit."""
        if instance.has_ended():
            return
        balancer = environment.balancers[instance.zone]
        balancer.died_at[instance.number] = self.loop.now()
        instance.shut_down()
        self._restart_after(environment, instance, duration)

    def _pause_instance(self, instance: RunningInstance, duration: float) -> None:
        instance.send_signal(signal.SIGSTOP, "stopped")
        self.loop.sleep(duration)
        instance.send_signal(signal.SIGCONT, "continued")

    def _kill_and_restart(
        self,
        environment: Environment,
        instance: RunningInstance,
        duration: float,
        while_down: Callable[[], None] = lambda: None,
    ) -> None:
        """Kill an instance, call `while_down`, and start the instance again this long (s) afterwards."""
        if instance.has_ended():
            return
        instance.kill()
        while_down()
        environment.balancers[instance.zone].died_at[instance.number] = self.loop.now()
        self._restart_after(environment, instance, duration)

    def _restart_after(self, environment: Environment, instance: RunningInstance, duration: float) -> None:
        self.loop.sleep(duration)
        if self.is_over:
            return
        instance.start()
        while not instance.is_ready():
            self.loop.sleep(POLL_INTERVAL)
        environment.balancers[instance.zone].died_at.pop(instance.number, None)
