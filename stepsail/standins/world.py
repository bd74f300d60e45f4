"""The environment of the instances: servers, links between zones, release control, discovery, clients."""

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
from stepsail.standins.day import LINK_FAULTS, Day, Fault
from stepsail.standins.discovery import DRAINING, GONE, READY, DiscoveryService
from stepsail.standins.link import Link, LinkFaults
from stepsail.standins.load_balancer import LoadBalancer
from stepsail.standins.release_control import Phase, ReleaseControl
from stepsail.standins.server import StandInServer
from stepsail.standins.server_group import ServerClass, ServerGroup
from stepsail.standins.service import ServiceFault
from stepsail.standins.transcript import Transcript

LINK_TARGETS = ("boxes", "conveyor", "roster")  # in link names; what an instance connects to
BUILD_SLOWDOWN_TIME = 1.0  # s; time constant with which a build that slows all servers takes effect


class Place:
    """A slot for a server.

    Attributes:
        server: The latest server that was started here, which may have been killed since.
        previous: The server before it, which may still run.
        pending_build: The build of a server that is starting.
        start_count: How many servers were started here so far.
    """

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.server: StandInServer | None = None
        self.previous: StandInServer | None = None
        self.pending_build: Build | None = None
        self.start_count = 0


class Environment:
    """The simulated environment of one day, which implements release control's `ServerFleet`.

    Each part draws from a random stream of its own.

    Attributes:
        links: By name and target address. A name is "zone zone", or "zone zone target #instance" if
            each instance has its own links.
        has_link_per_instance: Whether each instance has its own links, so that they can be cut for it alone.
        instance_cuts: By the id of a fault, the links that it cuts: instances, targets, and whether outbound
            and inbound traffic is cut.
        slow_zones: By zone, the extra delay (s) of its links and the share of traffic that they lose.
    """

    def __init__(
        self,
        loop: Loop,
        day: Day,
        settings: InstanceSettings,
        transcript: Transcript,
        instance_zones: list[str],
    ) -> None:
        self.loop, self.day, self.settings, self.transcript = loop, day, settings, transcript
        self.zones, self.instance_zones = list(settings.zones), instance_zones
        router_settings = settings.router
        self.day.shape.slow_start_floor = router_settings.slow_start_floor
        self.day.shape.slow_start_duration = router_settings.slow_start_duration
        self.day.shape.overload_multiple = router_settings.overload_multiple
        classes = [
            ServerClass(
                name,
                next(route.path for route in settings.routes if route.class_index == class_index),
                day.demand[name][1],
                request_class.idempotency.value,
                request_class.deduplication_scope.value,
                request_class.key_window,
            )
            for class_index, (name, request_class) in enumerate(
                zip(settings.class_names, router_settings.request_classes, strict=True)
            )
            if name in day.demand
        ]
        self.server_group = ServerGroup(day.shape, classes)
        self.conditions = self.server_group.conditions
        self.links: dict[tuple[str, Address], Link] = {}
        self.has_link_per_instance = any(fault.kind in LINK_FAULTS for fault in day.faults)
        self.instance_cuts: dict[int, tuple[list[int], tuple[str, ...], bool, bool]] = {}
        self.traffic_factor, self.cut_zones = 1.0, set[str]()
        self.slow_zones: dict[str, tuple[float, float]] = {}
        self.traffic_curve: Callable[[], float] = lambda: 1.0
        self.first_build = Build(1)
        self.builds = {1: self.first_build}
        self.places = [
            Place(number, self.zones[number % len(self.zones)]) for number in range(day.place_count)
        ]
        self.discovery = DiscoveryService(loop, transcript, day.discovery_delay, self.server_address)
        for place in self.places:
            self._start_server(place, self.first_build, cold=False, delay=0.0)
        self.release_control = ReleaseControl(
            loop, transcript, router_settings, self, day.release_control_delay
        )
        loop.spawn(self._update_build_slowdown, name="a build that slows all")

    def random_for(self, stream_name: str) -> Random:
        """Return the random stream of one part of the environment."""
        return Random(f"{self.day.seed} {stream_name}")

    def facts(self) -> dict[str, object]:
        """Return the settings and properties of the day that the checker of the transcript needs."""
        router_settings = self.settings.router
        return {
            "products": {
                name: {
                    "repeats": request_class.idempotency.value,
                    "group": request_class.deduplication_scope.value,
                    "window": request_class.key_window,
                    "target": request_class.latency_objective,
                    "revenue": request_class.priority_weight,
                    "late_share": request_class.late_weight_share,
                }
                for name, request_class in zip(
                    self.settings.class_names, router_settings.request_classes, strict=True
                )
            },
            "second_copies": router_settings.hedging_allowed,
            "drain_grace": router_settings.drain_grace,
            "cold_from": router_settings.slow_start_floor,
            "cold_for": router_settings.slow_start_duration,
            "falls_at": router_settings.overload_multiple,
            "fall_for": self.day.shape.overload_window,
            "cores": self.day.shape.cores,
            "window": router_settings.exposure_window,
            "free": router_settings.burst_allowance,
            "caps": list(router_settings.exposure_limits),
            "guarded": router_settings.idempotent_only_stages,
            "by_product": router_settings.exposure_per_class,
            "umpire_zones": self.instance_zones,
            "length": self.day.length,
            "work": max(work for _, work in self.day.demand.values()),
        }

    # -- links -------------------------------------------------------------------------------------------

    def address_over_link(
        self, instance: int, zone: str, target_zone: str, target: str, target_address: Address
    ) -> Address:
        """Return the address at which an instance reaches a target, creating the link to it if needed.

        An instance connects to a target in its own zone directly, unless each instance has its own links.
        """
        if zone == target_zone and not self.has_link_per_instance:
            return target_address
        key = (
            f"{zone} {target_zone}" + (f" {target} #{instance}" if self.has_link_per_instance else ""),
            target_address,
        )
        if key not in self.links:
            delay = self.day.cross_zone_delay if zone != target_zone else 0.0
            self.links[key] = Link(self.loop, target_address, LinkFaults(delay=delay), name=f"link {key[0]}")
            self._update_link(key[0], self.links[key])
            if self.slow_zones:
                self._update_link_delays()
        return self.links[key].address

    def server_address(self, instance: int, server: StandInServer) -> Address:
        """Return the address at which an instance reaches a server."""
        zone = self.instance_zones[instance] if 0 <= instance < len(self.instance_zones) else server.zone
        return self.address_over_link(instance, zone, server.zone, "boxes", server.address)

    def service_address(self, instance: int, target: str, address: Address) -> Address:
        """Return the address at which an instance reaches release control or discovery.

        Both are in the first zone.
        """
        return self.address_over_link(instance, self.instance_zones[instance], self.zones[0], target, address)

    def _update_link(self, name: str, link: Link) -> None:
        """Cut or heal one link according to all faults in effect."""
        ends = name.split()
        up = down = ends[0] != ends[1] and bool(self.cut_zones & set(ends[:2]))
        for instances, targets, outbound, inbound in self.instance_cuts.values():
            if len(ends) > 2 and ends[2] in targets and int(ends[3][1:]) in instances:
                up, down = up or outbound, down or inbound
        if up or down:
            link.cut(up, down)
        else:
            link.heal()

    def _cut_instance_links(self, fault: Fault) -> Callable[[], None]:
        """Cut the links of some instances to one kind of target, or to all of them."""
        instances = sorted(
            self.random_for(f"{fault.kind} {fault.at} who").sample(
                range(self.day.instance_count), max(1, round(fault.share * self.day.instance_count))
            )
        )
        targets = LINK_TARGETS[fault.target - 1 : fault.target] if fault.target else LINK_TARGETS
        outbound, inbound = fault.kind != "deafen-ways", fault.kind != "mute-ways"
        self.instance_cuts[id(fault)] = (instances, targets, outbound, inbound)
        fields = {"umpires": instances, "to": list(targets), "says": outbound, "hears": inbound}
        self.transcript.add("link", "apart", **fields)
        self._update_links()

        def end() -> None:
            del self.instance_cuts[id(fault)]
            self._update_links()
            self.transcript.add("link", "joined", **fields)

        return end

    def _update_links(self) -> None:
        for (name, _), link in list(self.links.items()):
            self._update_link(name, link)

    # -- servers -----------------------------------------------------------------------------------------

    def _start_server(
        self,
        place: Place,
        build: Build,
        cold: bool = True,
        delay: float | None = None,
        address: Address = ("127.0.0.1", 0),
    ) -> StandInServer:
        place.start_count += 1
        server = StandInServer(
            self.loop,
            f"b{place.number}.{place.start_count}",
            place.zone,
            self.server_group,
            build,
            self.random_for(f"box {place.number}.{place.start_count}"),
            self.transcript,
            cold,
            address,
        )
        place.previous, place.server = place.server, server
        self.discovery.announce(server, READY, delay)
        return server

    def _first_places(self, share: float) -> list[Place]:
        return self.places[: max(1, round(share * len(self.places)))]

    def deploy(self, build: Build, share: float) -> None:
        self.builds[build.number] = build
        for place in self._first_places(share):
            if place.pending_build is not build and (place.server is None or place.server.build is not build):
                self._schedule_start(place, build)

    def _schedule_start(self, place: Place, build: Build) -> None:
        place.pending_build = build
        boot_duration = self.day.boot_duration * (
            0.75 + 0.5 * self.random_for(f"boot {place.number} {build.number}").random()
        )

        def start() -> None:
            if place.pending_build is not build:
                return
            previous, place.pending_build = place.server, None
            self._start_server(place, build)
            if previous and (self.settings.router.replaces_servers or previous.build.number > build.number):
                self._drain(previous)

        self.loop.call_later(boot_duration, start)

    def is_deployed(self, build: Build, share: float) -> bool:
        return all(
            place.server is not None and place.server.build is build for place in self._first_places(share)
        )

    def _drain(self, server: StandInServer) -> None:
        self.discovery.announce(server, DRAINING)

        def end() -> None:
            self.discovery.announce(server, GONE)
            server.kill()

        self.loop.call_later(self.discovery.delay + self.day.drain_duration, end)

    def _previous_build(self, build: Build) -> Build:
        released = [n for n in self.builds if n < build.number and not self._was_rolled_back(n)]
        return self.builds[max(released, default=1)]

    def _was_rolled_back(self, number: int) -> bool:
        return any(
            change.build == number and change.phase is Phase.ROLLING_BACK
            for change in self.release_control.history
        )

    def roll_back(self, build: Build) -> None:
        previous_build = self._previous_build(build)
        for place in self.places:
            if place.pending_build is build:
                place.pending_build = None
            if place.server is None or place.server.build is not build:
                continue
            if (
                place.previous
                and place.previous.alive
                and place.previous.build is previous_build
                and not self.settings.router.replaces_servers
            ):
                new_server, place.server, place.previous = place.server, place.previous, None
                self._drain(new_server)
            else:
                self._schedule_start(place, previous_build)

    def finish(self, build: Build) -> None:
        for place in self.places:
            if place.previous and place.previous.alive and not self.settings.router.replaces_servers:
                self._drain(place.previous)

    def running_servers(self) -> list[StandInServer]:
        return [
            server
            for place in self.places
            for server in (place.server, place.previous)
            if server is not None and server.alive
        ]

    def _update_build_slowdown(self) -> None:
        """Slow down all servers in proportion to the share of running work on builds of kind "shared".

        The slowdown is greatest when a quarter of the work runs on these builds.
        """
        while True:
            self.loop.sleep(0.1)
            servers = self.running_servers()
            slowing = [server for server in servers if server.build.kind == "shared"]
            slowing_share = sum(len(server.running) for server in slowing) / max(
                1, sum(len(server.running) for server in servers)
            )
            size = slowing[0].build.severity if slowing else 1.0
            target_slowdown = 1 + (size - 1) * min(1.0, slowing_share * 4)
            self.conditions.build_slowdown += (
                (target_slowdown - self.conditions.build_slowdown) * 0.1 / BUILD_SLOWDOWN_TIME
            )

    # -- clients -----------------------------------------------------------------------------------------

    def client_population(self, addresses: list[Address]) -> ClientPopulation:
        router_settings = self.settings.router
        requests = []
        for class_index, (name, request_class) in enumerate(
            zip(self.settings.class_names, router_settings.request_classes, strict=True)
        ):
            if name in self.day.demand:
                route = next(route for route in self.settings.routes if route.class_index == class_index)
                requests.append(
                    ClientRequest(
                        name,
                        route.method,
                        route.path,
                        self.day.demand[name][0],
                        request_class.client_timeout,
                        request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                        and request_class.deduplication_scope in DeduplicationScope,
                    )
                )
        self.balancers = {
            zone: LoadBalancer(
                self.loop,
                [
                    (number, address)
                    for number, address in enumerate(addresses)
                    if self.instance_zones[number] == zone
                ],
                self.day.notice,
                self.day.balancer_skew,
                self.random_for(f"front {zone}"),
            )
            for zone in self.zones
            if zone in self.instance_zones
        }
        return ClientPopulation(
            self.loop,
            self.transcript,
            requests,
            self.day.client_behavior,
            self.balancers,
            lambda: self.day.request_rate * self.traffic_factor * self.traffic_curve(),
            self.random_for("clients"),
        )

    # -- faults ------------------------------------------------------------------------------------------

    def inject(self, fault: Fault) -> Callable[[], None]:
        """Inject a fault into the environment and return the function that ends it."""
        return {
            "kill-box": self._kill_server,
            "stall-box": self._stall_server,
            "drain-box": self._drain_server,
            "cut-zone": self._cut_zone,
            "cut-ways": self._cut_instance_links,
            "mute-ways": self._cut_instance_links,
            "deafen-ways": self._cut_instance_links,
            "stall-conveyor": self._fail_service,
            "break-conveyor": self._fail_service,
            "stall-roster": self._fail_service,
            "late-news": self._delay_release_states,
            "slow-all": self._slow_all_servers,
            "burst": self._increase_traffic,
            "kill-boxes": self._kill_servers,
            "kill-zone": self._kill_servers,
            "pause-boxes": self._pause_servers,
            "noisy-boxes": self._take_capacity,
            "heavy-work": self._add_heavy_requests,
            "slow-zone": self._slow_zone,
            "retry-storm": self._increase_retries,
            "curve": self._follow_curve,
        }[fault.kind](fault)

    def _affected_places(self, fault: Fault) -> list[Place]:
        """Return the randomly chosen share of the places that a fault affects."""
        return self.random_for(f"{fault.kind} {fault.at}").sample(
            self.places, max(1, round(fault.share * len(self.places)))
        )

    def _kill_servers(self, fault: Fault) -> Callable[[], None]:
        zone = self.zones[fault.target % len(self.zones)]
        places = (
            [place for place in self.places if place.zone == zone]
            if fault.kind == "kill-zone"
            else self._affected_places(fault)
        )
        restarts = [self._kill_server(replace(fault, target=place.number)) for place in places]

        def restart_all() -> None:
            for restart in restarts:
                restart()

        return restart_all

    def _pause_servers(self, fault: Fault) -> Callable[[], None]:
        random, until = self.random_for(f"pauses {fault.at}"), self.loop.now() + fault.length

        def pause(place: Place) -> None:
            if self.loop.now() < until:
                if place.server:
                    place.server.stall(fault.size)
                self.loop.call_later(fault.size + random.uniform(0.8, 3.0), lambda: pause(place))

        for place in self._affected_places(fault):
            self.loop.call_later(random.uniform(0.0, 1.0), lambda place=place: pause(place))  # type: ignore[misc]
        return lambda: None

    def _take_capacity(self, fault: Fault) -> Callable[[], None]:
        servers = [place.server for place in self._affected_places(fault) if place.server]
        for server in servers:
            server.stolen_share = min(0.95, fault.size)

        def end() -> None:
            for server in servers:
                server.stolen_share = 0.0

        return end

    def _add_heavy_requests(self, fault: Fault) -> Callable[[], None]:
        self.conditions.heavy_share = fault.share
        self.conditions.heavy_factor = fault.size

        def end() -> None:
            self.conditions.heavy_share = 0.0
            self.conditions.heavy_factor = 1.0

        return end

    def _slow_zone(self, fault: Fault) -> Callable[[], None]:
        zone = self.zones[fault.target % len(self.zones)]
        self.slow_zones[zone] = (fault.size, fault.share)
        self.transcript.add("link", "slow", zone=zone, delay=fault.size, lost=fault.share)
        self._update_link_delays()

        def end() -> None:
            self.slow_zones.pop(zone, None)
            self.transcript.add("link", "usual", zone=zone)
            self._update_link_delays()

        return end

    def _update_link_delays(self) -> None:
        for (ends, _), link in self.links.items():
            zones = ends.split()[:2]
            zone_faults = [
                self.slow_zones[zone] for zone in zones if zone in self.slow_zones and zones[0] != zones[1]
            ]
            usual_delay = self.day.cross_zone_delay if zones[0] != zones[1] else 0.0
            link.faults.delay = usual_delay + max((delay for delay, _ in zone_faults), default=0.0)
            link.faults.loss = max((loss for _, loss in zone_faults), default=0.0)

    def _increase_retries(self, fault: Fault) -> Callable[[], None]:
        behavior, usual = (
            self.day.client_behavior,
            (self.day.client_behavior.retries, self.day.client_behavior.backoff),
        )
        behavior.retries, behavior.backoff = usual[0] + round(fault.size), 0.001

        def end() -> None:
            behavior.retries, behavior.backoff = usual

        return end

    def _follow_curve(self, fault: Fault) -> Callable[[], None]:
        started_at, factor_at = self.loop.now(), curve(1.0, fault.length, fault.size)
        self.traffic_curve = lambda: factor_at(self.loop.now() - started_at)
        return lambda: None

    def _kill_server(self, fault: Fault) -> Callable[[], None]:
        place = self.places[fault.target]
        server = place.server
        if server is None or not server.alive:
            return lambda: None
        server.kill()
        # Discovery notices only after a while that the server is gone.
        self.loop.call_later(fault.length / 2, lambda: self.discovery.announce(server, GONE))

        def restart() -> None:
            if place.server is server:
                place.server = None
                self._start_server(place, server.build, address=server.address)

        return restart

    def _stall_server(self, fault: Fault) -> Callable[[], None]:
        server = self.places[fault.target].server
        if server:
            self.transcript.add("box", "stalled", box=server.name, seconds=fault.length)
            server.stall(fault.length)
        return lambda: None

    def _drain_server(self, fault: Fault) -> Callable[[], None]:
        place = self.places[fault.target]
        server = place.server
        if server is None:
            return lambda: None
        self._drain(server)

        def restart() -> None:
            if place.server is server:
                place.server = None
                self._start_server(place, server.build)

        return restart

    def _cut_zone(self, fault: Fault) -> Callable[[], None]:
        zone = self.zones[fault.target % len(self.zones)]
        self.cut_zones.add(zone)
        self._update_links()
        self.transcript.add("link", "cut", zone=zone)

        def heal() -> None:
            self.cut_zones.discard(zone)
            self._update_links()
            self.transcript.add("link", "healed", zone=zone)

        return heal

    def _fail_service(self, fault: Fault) -> Callable[[], None]:
        service = self.discovery.service if fault.kind == "stall-roster" else self.release_control.service
        service.fault = ServiceFault.ERRORS if fault.kind == "break-conveyor" else ServiceFault.SILENT

        def end() -> None:
            service.fault = None

        return end

    def _delay_release_states(self, fault: Fault) -> Callable[[], None]:
        self.release_control.extra_delay = fault.size

        def end() -> None:
            self.release_control.extra_delay = 0.0

        return end

    def _slow_all_servers(self, fault: Fault) -> Callable[[], None]:
        self.conditions.slowdown = fault.size

        def end() -> None:
            self.conditions.slowdown = 1.0

        return end

    def _increase_traffic(self, fault: Fault) -> Callable[[], None]:
        self.traffic_factor = fault.size

        def end() -> None:
            self.traffic_factor = 1.0

        return end
