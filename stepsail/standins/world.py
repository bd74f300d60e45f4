"""All that a day has but its umpires: places with boxes, links between zones, release control, roster, clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from stepsail.decisions.interface import DeduplicationScope, Idempotency
from stepsail.loop import Loop
from stepsail.loop.driver import Address
from stepsail.settings import InstanceSettings
from stepsail.standins.arrivals import curve
from stepsail.standins.builds import Build
from stepsail.standins.client_requests import ClientRequest
from stepsail.standins.clients import ClientPopulation
from stepsail.standins.day import WAY_TROUBLES, Day, Trouble
from stepsail.standins.discovery import DRAINING, GONE, READY, DiscoveryService
from stepsail.standins.link import Link, LinkFaults
from stepsail.standins.load_balancer import LoadBalancer
from stepsail.standins.release_control import Phase, ReleaseControl
from stepsail.standins.server import StandInServer
from stepsail.standins.server_group import ServerClass, ServerGroup
from stepsail.standins.service import ServiceFault
from stepsail.standins.transcript import Transcript

SERVED = ("boxes", "conveyor", "roster")  # what an umpire's ways lead to
SHARED_WINDOW = 1.0  # s over which a build that slows all is felt


class Place:
    """A place for a box: the one that serves, and the one that is coming or going."""

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.box: StandInServer | None = None
        self.before: StandInServer | None = None
        self.wanted: Build | None = None
        self.starts = 0


class World:
    """Implements release control's `ServerFleet`. Chance comes in a stream of its own for each part."""

    def __init__(
        self,
        loop: Loop,
        day: Day,
        settings: InstanceSettings,
        transcript: Transcript,
        zones_of_umpires: list[str],
    ) -> None:
        self.loop, self.day, self.settings, self.transcript = loop, day, settings, transcript
        self.zones, self.umpire_zones = list(settings.zones), zones_of_umpires
        charter = settings.router
        self.day.shape.slow_start_floor = charter.slow_start_floor
        self.day.shape.slow_start_duration = charter.slow_start_duration
        self.day.shape.overload_multiple = charter.overload_multiple
        classes = [
            ServerClass(
                name,
                next(r.path for r in settings.routes if r.class_index == at),
                day.demand[name][1],
                p.idempotency.value,
                p.deduplication_scope.value,
                p.key_window,
            )
            for at, (name, p) in enumerate(zip(settings.class_names, charter.request_classes, strict=True))
            if name in day.demand
        ]
        self.servers = ServerGroup(day.shape, classes)
        self.conditions = self.servers.conditions
        self.links: dict[tuple[str, Address], Link] = {}
        self.own_ways = any(t.kind in WAY_TROUBLES for t in day.troubles)  # a link for each umpire then
        self.apart: dict[
            int, tuple[list[int], tuple[str, ...], bool, bool]
        ] = {}  # umpires, to what, both directions
        self.burst, self.cut_zones = 1.0, set[str]()
        self.slow_zones: dict[str, tuple[float, float]] = {}  # more delay (s) and the part lost, by zone
        self.curve: Callable[[], float] = lambda: 1.0
        self.first = Build(1)
        self.builds = {1: self.first}
        self.places = [Place(at, self.zones[at % len(self.zones)]) for at in range(day.places)]
        self.discovery = DiscoveryService(loop, transcript, day.roster_late, self.reach)
        for place in self.places:
            self._run(place, self.first, cold=False, late=0.0)
        self.release_control = ReleaseControl(loop, transcript, charter, self, day.news_late)
        loop.spawn(self._shared, name="a build that slows all")

    def chance(self, part: str) -> Random:
        return Random(f"{self.day.seed} {part}")

    def facts(self) -> dict[str, object]:
        """What the checker of the rules must know."""
        charter = self.settings.router
        return {
            "products": {
                n: {
                    "repeats": p.idempotency.value,
                    "group": p.deduplication_scope.value,
                    "window": p.key_window,
                    "target": p.latency_objective,
                    "revenue": p.priority_weight,
                    "late_share": p.late_weight_share,
                }
                for n, p in zip(self.settings.class_names, charter.request_classes, strict=True)
            },
            "second_copies": charter.hedging_allowed,
            "drain_grace": charter.drain_grace,
            "cold_from": charter.slow_start_floor,
            "cold_for": charter.slow_start_duration,
            "falls_at": charter.overload_multiple,
            "fall_for": self.day.shape.overload_window,
            "cores": self.day.shape.cores,
            "window": charter.exposure_window,
            "free": charter.burst_allowance,
            "caps": list(charter.exposure_limits),
            "guarded": charter.idempotent_only_stages,
            "by_product": charter.exposure_per_class,
            "umpire_zones": self.umpire_zones,
            "length": self.day.length,
            "work": max(w for _, w in self.day.demand.values()),
        }

    # -- ways --------------------------------------------------------------------------------------------

    def way(self, umpire: int, zone: str, other: str, what: str, to: Address) -> Address:
        """Where an umpire in a zone reaches an address in another."""
        if zone == other and not self.own_ways:
            return to
        key = (f"{zone} {other}" + (f" {what} #{umpire}" if self.own_ways else ""), to)
        if key not in self.links:
            delay = self.day.cross_delay if zone != other else 0.0
            self.links[key] = Link(self.loop, to, LinkFaults(delay=delay), name=f"link {key[0]}")
            self._cut_link(key[0], self.links[key])
            if self.slow_zones:
                self._weigh_links()
        return self.links[key].address

    def reach(self, umpire: int, box: StandInServer) -> Address:
        zone = self.umpire_zones[umpire] if 0 <= umpire < len(self.umpire_zones) else box.zone
        return self.way(umpire, zone, box.zone, "boxes", box.address)

    def service_for(self, umpire: int, what: str, address: Address) -> Address:
        """Release control and the roster stand in the first zone."""
        return self.way(umpire, self.umpire_zones[umpire], self.zones[0], what, address)

    def _cut_link(self, name: str, link: Link) -> None:
        """Cut, or heal, one link as all present troubles together want it."""
        ends = name.split()
        up = down = ends[0] != ends[1] and bool(self.cut_zones & set(ends[:2]))
        for umpires, what, says, hears in self.apart.values():
            if len(ends) > 2 and ends[2] in what and int(ends[3][1:]) in umpires:
                up, down = up or says, down or hears
        if up or down:
            link.cut(up, down)
        else:
            link.heal()

    def _cut_ways(self, trouble: Trouble) -> Callable[[], None]:
        who = sorted(
            self.chance(f"{trouble.kind} {trouble.at} who").sample(
                range(self.day.umpires), max(1, round(trouble.part * self.day.umpires))
            )
        )
        what = SERVED[trouble.of - 1 : trouble.of] if trouble.of else SERVED
        says, hears = trouble.kind != "deafen-ways", trouble.kind != "mute-ways"
        self.apart[id(trouble)] = (who, what, says, hears)
        told = {"umpires": who, "to": list(what), "says": says, "hears": hears}
        self.transcript.add("link", "apart", **told)
        self._cut_links()

        def end() -> None:
            del self.apart[id(trouble)]
            self._cut_links()
            self.transcript.add("link", "joined", **told)

        return end

    def _cut_links(self) -> None:
        for (name, _), link in list(self.links.items()):
            self._cut_link(name, link)

    # -- the fleet ---------------------------------------------------------------------------------------

    def _run(
        self,
        place: Place,
        build: Build,
        cold: bool = True,
        late: float | None = None,
        at: Address = ("127.0.0.1", 0),
    ) -> StandInServer:
        place.starts += 1
        box = StandInServer(
            self.loop,
            f"b{place.number}.{place.starts}",
            place.zone,
            self.servers,
            build,
            self.chance(f"box {place.number}.{place.starts}"),
            self.transcript,
            cold,
            at,
        )
        place.before, place.box = place.box, box
        self.discovery.announce(box, READY, late)
        return box

    def _chosen(self, share: float) -> list[Place]:
        return self.places[: max(1, round(share * len(self.places)))]

    def deploy(self, build: Build, share: float) -> None:
        self.builds[build.number] = build
        for place in self._chosen(share):
            if place.wanted is not build and (place.box is None or place.box.build is not build):
                self._start(place, build)

    def _start(self, place: Place, build: Build) -> None:
        place.wanted = build
        boot = self.day.boot * (0.75 + 0.5 * self.chance(f"boot {place.number} {build.number}").random())

        def run() -> None:
            if place.wanted is not build:
                return
            old, place.wanted = place.box, None
            self._run(place, build)
            if old and (self.settings.router.replaces_servers or old.build.number > build.number):
                self._drain(old)

        self.loop.call_later(boot, run)

    def is_deployed(self, build: Build, share: float) -> bool:
        return all(p.box is not None and p.box.build is build for p in self._chosen(share))

    def _drain(self, box: StandInServer) -> None:
        self.discovery.announce(box, DRAINING)

        def end() -> None:
            self.discovery.announce(box, GONE)
            box.kill()

        self.loop.call_later(self.discovery.delay + self.day.drain_for, end)

    def _earlier(self, build: Build) -> Build:
        released = [n for n in self.builds if n < build.number and not self._taken_off(n)]
        return self.builds[max(released, default=1)]

    def _taken_off(self, number: int) -> bool:
        return any(
            change.build == number and change.phase is Phase.ROLLING_BACK
            for change in self.release_control.history
        )

    def roll_back(self, build: Build) -> None:
        earlier = self._earlier(build)
        for place in self.places:
            if place.wanted is build:
                place.wanted = None
            if place.box is None or place.box.build is not build:
                continue
            if (
                place.before
                and place.before.alive
                and place.before.build is earlier
                and not self.settings.router.replaces_servers
            ):
                fresh, place.box, place.before = place.box, place.before, None
                self._drain(fresh)
            else:
                self._start(place, earlier)

    def finish(self, build: Build) -> None:
        for place in self.places:
            if place.before and place.before.alive and not self.settings.router.replaces_servers:
                self._drain(place.before)

    def boxes(self) -> list[StandInServer]:
        return [b for p in self.places for b in (p.box, p.before) if b is not None and b.alive]

    def _shared(self) -> None:
        """A build that slows all boxes does so in step with the share of work that it gets."""
        while True:
            self.loop.sleep(0.1)
            boxes = self.boxes()
            bad = [b for b in boxes if b.build.kind == "shared"]
            part = sum(len(b.running) for b in bad) / max(1, sum(len(b.running) for b in boxes))
            size = bad[0].build.severity if bad else 1.0
            goal = 1 + (size - 1) * min(1.0, part * 4)
            self.conditions.build_slowdown += (goal - self.conditions.build_slowdown) * 0.1 / SHARED_WINDOW

    # -- clients -----------------------------------------------------------------------------------------

    def crowd(self, umpires: list[Address]) -> ClientPopulation:
        charter = self.settings.router
        requests = []
        for at, (name, product) in enumerate(
            zip(self.settings.class_names, charter.request_classes, strict=True)
        ):
            if name in self.day.demand:
                route = next(r for r in self.settings.routes if r.class_index == at)
                requests.append(
                    ClientRequest(
                        name,
                        route.method,
                        route.path,
                        self.day.demand[name][0],
                        product.client_timeout,
                        product.idempotency is Idempotency.IDEMPOTENCY_KEY
                        and product.deduplication_scope in DeduplicationScope,
                    )
                )
        self.balancers = {
            zone: LoadBalancer(
                self.loop,
                [(n, a) for n, a in enumerate(umpires) if self.umpire_zones[n] == zone],
                self.day.notice,
                self.day.uneven,
                self.chance(f"front {zone}"),
            )
            for zone in self.zones
            if zone in self.umpire_zones
        }
        return ClientPopulation(
            self.loop,
            self.transcript,
            requests,
            self.day.manners,
            self.balancers,
            lambda: self.day.traffic * self.burst * self.curve(),
            self.chance("clients"),
        )

    # -- troubles ----------------------------------------------------------------------------------------

    def begin(self, trouble: Trouble) -> Callable[[], None]:
        """Begin a trouble of the world; what ends it."""
        return {
            "kill-box": self._kill_box,
            "stall-box": self._stall_box,
            "drain-box": self._drain_box,
            "cut-zone": self._cut_zone,
            "cut-ways": self._cut_ways,
            "mute-ways": self._cut_ways,
            "deafen-ways": self._cut_ways,
            "stall-conveyor": self._stall,
            "break-conveyor": self._stall,
            "stall-roster": self._stall,
            "late-news": self._late_news,
            "slow-all": self._slow_all,
            "burst": self._burst,
            "kill-boxes": self._kill_boxes,
            "kill-zone": self._kill_boxes,
            "pause-boxes": self._pause_boxes,
            "noisy-boxes": self._noisy_boxes,
            "heavy-work": self._heavy_work,
            "slow-zone": self._slow_zone,
            "retry-storm": self._retry_storm,
            "curve": self._curve,
        }[trouble.kind](trouble)

    def _some(self, trouble: Trouble) -> list[Place]:
        """The part of the places that a trouble meets."""
        return self.chance(f"{trouble.kind} {trouble.at}").sample(
            self.places, max(1, round(trouble.part * len(self.places)))
        )

    def _kill_boxes(self, trouble: Trouble) -> Callable[[], None]:
        zone = self.zones[trouble.of % len(self.zones)]
        places = (
            [p for p in self.places if p.zone == zone] if trouble.kind == "kill-zone" else self._some(trouble)
        )
        backs = [self._kill_box(replace(trouble, of=place.number)) for place in places]

        def all_back() -> None:
            for back in backs:
                back()

        return all_back

    def _pause_boxes(self, trouble: Trouble) -> Callable[[], None]:
        random, until = self.chance(f"pauses {trouble.at}"), self.loop.now() + trouble.length

        def pause(place: Place) -> None:
            if self.loop.now() < until:
                if place.box:
                    place.box.stall(trouble.size)
                self.loop.call_later(trouble.size + random.uniform(0.8, 3.0), lambda: pause(place))

        for place in self._some(trouble):
            self.loop.call_later(random.uniform(0.0, 1.0), lambda place=place: pause(place))  # type: ignore[misc]
        return lambda: None

    def _noisy_boxes(self, trouble: Trouble) -> Callable[[], None]:
        boxes = [p.box for p in self._some(trouble) if p.box]
        for box in boxes:
            box.stolen_share = min(0.95, trouble.size)

        def end() -> None:
            for box in boxes:
                box.stolen_share = 0.0

        return end

    def _heavy_work(self, trouble: Trouble) -> Callable[[], None]:
        self.conditions.heavy_share = trouble.part
        self.conditions.heavy_factor = trouble.size

        def end() -> None:
            self.conditions.heavy_share = 0.0
            self.conditions.heavy_factor = 1.0

        return end

    def _slow_zone(self, trouble: Trouble) -> Callable[[], None]:
        zone = self.zones[trouble.of % len(self.zones)]
        self.slow_zones[zone] = (trouble.size, trouble.part)
        self.transcript.add("link", "slow", zone=zone, delay=trouble.size, lost=trouble.part)
        self._weigh_links()

        def end() -> None:
            self.slow_zones.pop(zone, None)
            self.transcript.add("link", "usual", zone=zone)
            self._weigh_links()

        return end

    def _weigh_links(self) -> None:
        for (ends, _), link in self.links.items():
            zones = ends.split()[:2]
            slow = [self.slow_zones[z] for z in zones if z in self.slow_zones and zones[0] != zones[1]]
            usual = self.day.cross_delay if zones[0] != zones[1] else 0.0
            link.faults.delay = usual + max((s for s, _ in slow), default=0.0)
            link.faults.loss = max((p for _, p in slow), default=0.0)

    def _retry_storm(self, trouble: Trouble) -> Callable[[], None]:
        manners, kept = self.day.manners, (self.day.manners.retries, self.day.manners.backoff)
        manners.retries, manners.backoff = kept[0] + round(trouble.size), 0.001

        def end() -> None:
            manners.retries, manners.backoff = kept

        return end

    def _curve(self, trouble: Trouble) -> Callable[[], None]:
        start, times = self.loop.now(), curve(1.0, trouble.length, trouble.size)
        self.curve = lambda: times(self.loop.now() - start)
        return lambda: None

    def _kill_box(self, trouble: Trouble) -> Callable[[], None]:
        place = self.places[trouble.of]
        box = place.box
        if box is None or not box.alive:
            return lambda: None
        box.kill()
        self.loop.call_later(trouble.length / 2, lambda: self.discovery.announce(box, GONE))  # noticed slowly

        def back() -> None:
            if place.box is box:
                place.box = None
                self._run(place, box.build, at=box.address)

        return back

    def _stall_box(self, trouble: Trouble) -> Callable[[], None]:
        box = self.places[trouble.of].box
        if box:
            self.transcript.add("box", "stalled", box=box.name, seconds=trouble.length)
            box.stall(trouble.length)
        return lambda: None

    def _drain_box(self, trouble: Trouble) -> Callable[[], None]:
        place = self.places[trouble.of]
        box = place.box
        if box is None:
            return lambda: None
        self._drain(box)

        def back() -> None:
            if place.box is box:
                place.box = None
                self._run(place, box.build)

        return back

    def _cut_zone(self, trouble: Trouble) -> Callable[[], None]:
        zone = self.zones[trouble.of % len(self.zones)]
        self.cut_zones.add(zone)
        self._cut_links()
        self.transcript.add("link", "cut", zone=zone)

        def heal() -> None:
            self.cut_zones.discard(zone)
            self._cut_links()
            self.transcript.add("link", "healed", zone=zone)

        return heal

    def _stall(self, trouble: Trouble) -> Callable[[], None]:
        service = self.discovery.service if trouble.kind == "stall-roster" else self.release_control.service
        service.fault = ServiceFault.ERRORS if trouble.kind == "break-conveyor" else ServiceFault.SILENT

        def end() -> None:
            service.fault = None

        return end

    def _late_news(self, trouble: Trouble) -> Callable[[], None]:
        self.release_control.extra_delay = trouble.size

        def end() -> None:
            self.release_control.extra_delay = 0.0

        return end

    def _slow_all(self, trouble: Trouble) -> Callable[[], None]:
        self.conditions.slowdown = trouble.size

        def end() -> None:
            self.conditions.slowdown = 1.0

        return end

    def _burst(self, trouble: Trouble) -> Callable[[], None]:
        self.burst = trouble.size

        def end() -> None:
            self.burst = 1.0

        return end
