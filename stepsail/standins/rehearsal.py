"""Plays a day: the world on this process's loop, the umpires as processes of their own."""

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
from stepsail.standins.day import KEPT_TROUBLES, WORD_TROUBLES, Day, Proposal, Trouble
from stepsail.standins.instances import InstanceFactory, RunningInstance, instance_processes
from stepsail.standins.switch import DatagramFaults, DatagramSwitch
from stepsail.standins.transcript import Transcript
from stepsail.standins.world import World

READY_WITHIN, READY_EACH = (
    20.0,
    0.3,
)  # s until all umpires must be ready; more for each, as they start on few cores
SETTLE = 6.0  # s after the last arrival in which everything must be answered
PROPOSE_FOR = 8.0  # s in which a change is proposed anew where no keeper leads, or another change is pending
PAUSES = (2.0, 4.0)  # s between an umpire's pauses
LOOK = 0.05  # s between looks at processes
UMPIRE_TROUBLES = (
    "kill-umpire",
    "stop-umpire",
    "restart-umpires",
    "pause-umpires",
    "leave-umpires",
    "kill-umpires",
    "stop-umpires",
)
FAULTS_OF_WORDS = {
    "lose-words": "loss",
    "double-words": "duplication",
    "late-words": "delay",
    "old-words": "replay",
}
SEEDS = 3  # umpires that are named to all as where to find the others


class Rehearsal:
    """One playing of a day; everything it leaves goes to `out`."""

    def __init__(
        self,
        loop: Loop,
        day: Day,
        out: Path,
        hire: InstanceFactory | None = None,
        progress: Callable[[float, str], None] | None = None,
    ) -> None:
        self.loop, self.day, self.out, self.hire = loop, day, out, hire or instance_processes()
        self.progress = progress or (lambda at, what: None)
        out.mkdir(parents=True, exist_ok=True)
        self.transcript = Transcript(loop, out / "transcript.jsonl")
        self.codes: list[int | None] = []
        self.over = False

    def run(self) -> None:
        """Raises RuntimeError where an umpire does not become ready."""
        try:
            self._run()
        finally:
            self.transcript.close()

    def _site(self) -> tuple[InstanceSettings, list[str]]:
        """The umpires' common settings, read through a probe file as an umpire would."""
        probe = self.out / "probe.conf"
        zone_line = next(
            line
            for line in self.day.site.read_text("utf-8").splitlines()
            if line.strip().startswith("zones ")
        )
        zones = zone_line.split()[1:]
        self._write(probe, 0, zones[0], ("127.0.0.1", 1), ("127.0.0.1", 1), ("127.0.0.1", 1))
        settings = load_settings(probe)
        probe.unlink()
        return settings, [zones[n % len(zones)] for n in range(self.day.umpires)]

    def _write(
        self,
        file: Path,
        number: int,
        zone: str,
        listen: Address,
        conveyor: Address,
        roster: Address,
        hears: list[Address] | None = None,
        switch: DatagramSwitch | None = None,
    ) -> None:
        count = max(number + 1, self.day.told or self.day.umpires)
        lines = [
            f"umpire {number} of {count}",
            f"zone {zone}",
            f"listen {listen[0]}:{listen[1]}",
            f"conveyor {conveyor[0]}:{conveyor[1]}",
            f"seed {self.day.seed * 1000 + number}",
            f"roster {roster[0]}:{roster[1]} asked keep {file.stem}-roster.json",
            f"include {json.dumps(str(self.day.site.resolve()))}",
        ]
        if hears:
            lines += [
                f"neighbours {hears[number][0]}:{hears[number][1]} {{",
                *(f"    neighbour {n} {h}:{p}" for n, (h, p) in enumerate(hears)),
                "}",
            ]
        if switch:
            lines += [
                "view {}:{} reached {}:{} {{".format(
                    *switch.instance_addresses[number], *switch.port_addresses[number]
                ),
                *(
                    "    seed {}:{}".format(*switch.port_addresses[n])
                    for n in sorted(switch.instance_addresses)[:SEEDS]
                ),
                *([f"    period {self.day.view_period * 1000:g}ms"] if self.day.view_period else []),
                *(["    heeded no"] if not self.day.heeded else []),
                *(["    speak yes"] if self.day.speak else []),
                "}",
            ]
        if switch and self.day.keepers:
            keepers = [(n, *switch.port_addresses[n]) for n in range(self.day.keepers)]
            lines += [
                "policy {",
                *("    keeper {} {}:{}".format(*k) for k in keepers),
                f"    keep {file.stem}-order",
                "}",
            ]
        file.write_text("\n".join(lines) + "\n", "utf-8")

    def _run(self) -> None:
        settings, zones = self._site()
        loop, day = self.loop, self.day
        world = World(loop, day, settings, self.transcript, zones)
        self.transcript.add("day", "facts", name=day.name, seed=day.seed, **world.facts())
        self.umpires = [self.hire(loop, n, zone, self.out, self.transcript) for n, zone in enumerate(zones)]
        for number, skew in day.clocks.items():
            self.umpires[number].skew = skew
            self.transcript.add(
                "day", "clock", umpire=number, rate=skew.rate, by=skew.jump, after=skew.jump_at
            )
        self.switch = self._switch(world) if day.view else None
        try:
            for umpire in self.umpires:
                self._write(
                    umpire.settings_file,
                    umpire.number,
                    umpire.zone,
                    umpire.listen,
                    world.service_for(umpire.number, "conveyor", world.release_control.service.address),
                    world.service_for(umpire.number, "roster", world.discovery.service.address),
                    switch=self.switch,
                )
                umpire.start()
            self._wait_ready()
            self._play(world)
        finally:
            self.over = True
            for umpire in self.umpires:
                self.codes.append(umpire.shut_down())

    def _switch(self, world: World) -> DatagramSwitch:
        """A port for each umpire, and one of its own behind it."""
        free = self.umpires[0].free_address
        homes = {u.number: free() for u in self.umpires}
        switch = DatagramSwitch(self.loop, world.chance("words"), homes, {n: free() for n in homes})
        offset = self.loop.driver.wall_clock() - self.loop.now()
        promises = DetectionBounds.of(Timing(self.day.view_period or PROBE_PERIOD), self.day.umpires)
        self.transcript.add(
            "day", "view", umpires=self.day.umpires, wall=round(offset, 6), **asdict(promises)
        )
        return switch

    def _wait_ready(self) -> None:
        until = self.loop.now() + READY_WITHIN + READY_EACH * len(self.umpires)
        for umpire in self.umpires:
            while not umpire.is_ready():
                if self.loop.now() > until or umpire.has_ended():
                    raise RuntimeError(f"umpire {umpire.number} is not ready; see {umpire.log}")
                self.loop.sleep(LOOK)

    def _play(self, world: World) -> None:
        loop, start = self.loop, self.loop.now()
        self.transcript.add("day", "begins")
        crowd = world.crowd([u.listen for u in self.umpires])
        for at, build in self.day.offers:
            loop.call_later(at, lambda build=build: world.release_control.offer(build))  # type: ignore[misc]
        for trouble in self.day.troubles:
            # Essential: a trouble that fails would leave a day without it, and the day would seem well borne.
            loop.spawn(self._trouble, world, trouble, name=f"trouble {trouble.kind}", essential=True)
        if self.day.keepers:
            self.transcript.add("day", "policy", keepers=self.day.keepers, bound=max_staleness())
        for proposal in self.day.changes:
            loop.spawn(self._change, world, proposal, name="change of policy", essential=True)
        arrivals = loop.spawn(crowd.start_visits, start + self.day.length, name="arrivals", essential=True)
        while not arrivals.done:
            loop.sleep(0.25)
            self.progress(
                loop.now() - start,
                f"{world.release_control.phase} build {world.release_control.build.number} "
                f"stage {world.release_control.stage}, {crowd.visits} visits, {crowd.open_visits} open",
            )
        until = loop.now() + SETTLE
        while crowd.open_visits and loop.now() < until:
            loop.sleep(LOOK)
        self._past()
        self.transcript.add(
            "day", "ends", visits=crowd.visits, answers=dict(crowd.outcomes), still_open=crowd.open_visits
        )

    def _asked_keepers(self, method: bytes, body: bytes = b"") -> list[tuple[int, dict[str, Any]]]:
        """What the keepers that answer say: status and text."""
        found = []
        for keeper in self.umpires[: self.day.keepers]:
            with suppress(OSError, ValueError):
                said = request_once(self.loop, keeper.listen, b"/.stepsail/policy", method, 0.2, body=body)
                found.append((said.status, json.loads(said.body)))
        return found

    def _change(self, world: World, proposal: Proposal) -> None:
        """Propose at whoever leads, again and again for a while."""
        self.loop.sleep(proposal.at)
        until = self.loop.now() + PROPOSE_FOR
        body = json.dumps({"text": f"change of {proposal.at:.3f}", "patience": proposal.patience})
        while self.loop.now() < until and not self.over:
            for status, said in self._asked_keepers(b"POST", body.encode()):
                if status == 202:
                    self.transcript.add(
                        "policy", "proposed", number=said["number"], patience=proposal.patience
                    )
                    if proposal.cut:
                        self.loop.sleep(proposal.soon)
                        self._trouble(world, Trouble("cut-umpires", 0.0, proposal.length, part=proposal.cut))
                    return
            self.loop.sleep(0.5)
        self.transcript.add("policy", "not proposed")

    def _past(self) -> None:
        """What became of the changes, as the keepers say once all is over."""
        if not self.day.keepers:
            return
        past: dict[int, bool] = {}
        for status, said in self._asked_keepers(b"GET"):
            for one in said.get("policy", {}).get("keeper", {}).get("past", []) if status == 200 else ():
                past[one["number"]] = one["held"]
        self.transcript.add(
            "policy",
            "past",
            held=sorted(n for n, held in past.items() if held),
            given_up=sorted(n for n, held in past.items() if not held),
        )

    def _trouble(self, world: World, trouble: Trouble) -> None:
        self.loop.sleep(trouble.at)
        self.transcript.add(
            "day",
            "trouble",
            kind=trouble.kind,
            of=trouble.of,
            length=trouble.length,
            size=trouble.size,
            part=trouble.part,
        )
        if trouble.kind in WORD_TROUBLES and self.switch:
            self._words(world, self.switch, trouble)
            return
        if trouble.kind in KEPT_TROUBLES:
            self._kept(world, self.umpires[trouble.of], trouble)
            return
        if trouble.kind not in UMPIRE_TROUBLES:
            end = world.begin(trouble)
            ways = self._cut_zone_words(world, trouble)
            self.loop.sleep(trouble.length)
            end()
            ways()
            return
        if trouble.kind == "stop-umpire":
            self._stand_still(self.umpires[trouble.of], trouble.length)
        elif trouble.kind == "kill-umpire":
            self._killed(world, self.umpires[trouble.of], trouble.length)
        elif trouble.kind in ("kill-umpires", "stop-umpires"):
            for umpire in self._part(world, trouble):
                if trouble.kind == "kill-umpires":
                    self.loop.spawn(self._killed, world, umpire, trouble.length, name="kill")
                else:
                    self.loop.spawn(self._stand_still, umpire, trouble.length, name="stop")
        else:
            self._many(world, trouble)

    def _many(self, world: World, trouble: Trouble) -> None:
        """A part of the umpires, each at times of its own."""
        random = world.chance(f"{trouble.kind} {trouble.at}")
        for umpire in self._part(world, trouble):
            if trouble.kind in ("restart-umpires", "leave-umpires"):
                ends: Callable[..., None] = self._left
                if trouble.kind == "restart-umpires":
                    ends = self._killed
                self.loop.call_later(
                    random.uniform(0.0, trouble.length),
                    partial(self.loop.spawn, ends, world, umpire, random.uniform(0.2, 2.0), name="restart"),
                )
                continue
            at = random.uniform(0.0, PAUSES[1])
            while at < trouble.length:
                self.loop.call_later(
                    at, partial(self.loop.spawn, self._stand_still, umpire, trouble.size, name="pause")
                )
                at += trouble.size + random.uniform(*PAUSES)

    def _part(self, world: World, trouble: Trouble) -> list[RunningInstance]:
        """The umpires that a trouble befalls."""
        random = world.chance(f"{trouble.kind} {trouble.at} who")
        return random.sample(self.umpires, max(1, round(trouble.part * len(self.umpires))))

    def _words(self, world: World, switch: DatagramSwitch, trouble: Trouble) -> None:
        """What goes wrong with the words between umpires; every fault with its true time in the transcript."""
        if trouble.kind in FAULTS_OF_WORDS:
            of, usual = FAULTS_OF_WORDS[trouble.kind], DatagramFaults()
            late = (usual.delay[0], usual.delay[1] + trouble.size)
            setattr(switch.faults, of, late if of == "delay" else trouble.part)
            self._said_words(switch.faults)
            self.loop.sleep(trouble.length)
            setattr(switch.faults, of, getattr(usual, of))
            self._said_words(switch.faults)
            return
        side = sorted(u.number for u in self._part(world, trouble))
        ways = switch.paths_across(side, trouble.kind != "deafen-umpires", trouble.kind != "mute-umpires")
        until = self.loop.now() + trouble.length
        turn = trouble.size if trouble.kind == "flap-umpires" else trouble.length
        while self.loop.now() < until:
            switch.cut(id(trouble), ways)
            self.transcript.add(
                "words",
                "cut",
                side=side,
                says=trouble.kind != "deafen-umpires",
                hears=trouble.kind != "mute-umpires",
            )
            self.loop.sleep(min(turn, until - self.loop.now()))
            switch.heal(id(trouble))
            self.transcript.add("words", "healed", side=side)
            if self.loop.now() < until:
                self.loop.sleep(min(turn, until - self.loop.now()))

    def _cut_zone_words(self, world: World, trouble: Trouble) -> Callable[[], None]:
        """A zone that is cut off: its umpires' words to the others and theirs to them, too."""
        if trouble.kind != "cut-zone" or not self.switch:
            return lambda: None
        zone, switch = world.zones[trouble.of % len(world.zones)], self.switch
        side = [u.number for u in self.umpires if u.zone == zone]
        switch.cut(id(trouble), switch.paths_across(side))
        self.transcript.add("words", "cut", side=side, says=True, hears=True, zone=zone)

        def heal() -> None:
            switch.heal(id(trouble))
            self.transcript.add("words", "healed", side=side, zone=zone)

        return heal

    def _kept(self, world: World, umpire: RunningInstance, trouble: Trouble) -> None:
        """What an umpire keeps is lost, cut short while it is down, or cannot be written for a time."""
        if trouble.kind == "fill-kept":
            place = umpire.endpoint_cache.with_name(
                umpire.endpoint_cache.name + ".new"
            )  # where it writes, before it moves the file
            place.unlink(missing_ok=True)
            place.symlink_to("/dev/full")
            self.transcript.add("disk", "full", umpire=umpire.number)
            self.loop.sleep(trouble.length)
            place.unlink(missing_ok=True)
            self.transcript.add("disk", "has room", umpire=umpire.number)
            return

        def spoil() -> None:
            if trouble.kind == "lose-kept":
                umpire.endpoint_cache.unlink(missing_ok=True)
            elif umpire.endpoint_cache.exists():
                umpire.endpoint_cache.write_bytes(
                    umpire.endpoint_cache.read_bytes()[: -max(1, umpire.endpoint_cache.stat().st_size // 3)]
                )
            self.transcript.add("disk", trouble.kind, umpire=umpire.number)

        self._killed(world, umpire, trouble.length, spoil)

    def _said_words(self, faults: DatagramFaults) -> None:
        self.transcript.add(
            "words",
            "ways",
            lose=faults.loss,
            twice=faults.duplication,
            delay=faults.delay[1],
            again=faults.replay,
        )

    def _left(self, world: World, umpire: RunningInstance, seconds: float) -> None:
        """Told to leave, and started again this long after its end."""
        if umpire.has_ended():
            return
        front = world.balancers[umpire.zone]
        front.died_at[umpire.number] = self.loop.now()
        umpire.shut_down()
        self._again(world, umpire, seconds)

    def _stand_still(self, umpire: RunningInstance, seconds: float) -> None:
        umpire.send_signal(signal.SIGSTOP, "stopped")
        self.loop.sleep(seconds)
        umpire.send_signal(signal.SIGCONT, "continued")

    def _killed(
        self, world: World, umpire: RunningInstance, seconds: float, then: Callable[[], None] = lambda: None
    ) -> None:
        """Killed, and started again this long after; `then`: what is done to it while it is down."""
        if umpire.has_ended():
            return
        umpire.kill()
        then()
        world.balancers[umpire.zone].died_at[umpire.number] = self.loop.now()
        self._again(world, umpire, seconds)

    def _again(self, world: World, umpire: RunningInstance, seconds: float) -> None:
        self.loop.sleep(seconds)
        if self.over:
            return  # the day has ended meanwhile
        umpire.start()
        while not umpire.is_ready():
            self.loop.sleep(LOOK)
        world.balancers[umpire.zone].died_at.pop(umpire.number, None)
