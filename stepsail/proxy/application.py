"""The daemon: starts up, opens its listener once it can route requests, serves, and shuts down gracefully."""

from __future__ import annotations

import os
from collections.abc import Sequence
from typing import Any

from stepsail.capture.recorder import with_recording
from stepsail.capture.writer import CaptureWriter, fingerprint
from stepsail.decisions.interface import MakeRouter, ServerHandle, Verdict
from stepsail.loop import Loop, Task
from stepsail.proxy.daemon_client_protocol import DaemonClientProtocol
from stepsail.proxy.decision_host import Logger
from stepsail.proxy.endpoint_discovery import EndpointDiscovery
from stepsail.proxy.in_flight import InFlightRequest
from stepsail.proxy.membership import MembershipService
from stepsail.proxy.peer_gossip import PeerGossip
from stepsail.proxy.policy_service import PolicyService
from stepsail.proxy.release_control import ReleaseControlClient
from stepsail.proxy.serving_process import POLL_INTERVAL, ServingProcess
from stepsail.proxy.trail_recorder import TrailRecorder
from stepsail.proxy.upstream_protocol import DaemonUpstreamProtocol
from stepsail.proxy.wire_names import VERDICT_NAMES
from stepsail.settings import InstanceSettings
from stepsail.trail.entries import EntryKind

# Longest time in seconds that startup waits for the state of release control. If the state has not arrived
# by then, the instance starts to serve without it.
RELEASE_STATE_TIMEOUT = 1.0
SEED_BYTES = 6
UNKNOWN_BUILD = -1  # stands for the build of a server whose build is not known


def _random_seed() -> int:
    return int.from_bytes(os.urandom(SEED_BYTES), "big")


class Application(ServingProcess):
    """One instance of the daemon on one event loop."""

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        make_router: MakeRouter,
        log: Logger,
        verbose: bool = False,
    ) -> None:
        super().__init__(loop, settings, make_router, log, verbose)
        self.seed = _random_seed() if settings.seed is None else settings.seed
        self.trail_recorder = TrailRecorder(loop, settings, log)
        client_protocol = DaemonClientProtocol(settings, self.host)
        self.connect_protocols(client_protocol, DaemonUpstreamProtocol(settings), self.trail_recorder)
        self.release_control = ReleaseControlClient(
            loop, settings, self.host, log, self.seed, self.trail_recorder
        )
        self.endpoint_discovery = EndpointDiscovery(
            loop, settings, self.host, log, self.seed, self.trail_recorder
        )
        self.membership = MembershipService(loop, settings, self.host, log, self.seed)
        self.peer_gossip = PeerGossip(loop, settings, self.host, self.membership)
        self.policy_service = PolicyService(loop, settings, self.membership, log, self.seed)
        if self.policy_service.enabled:
            self.listener.admission.policy_gate = self.policy_service
            client_protocol.propose_policy = self.policy_service.propose
        client_protocol.pages[b"fleet"] = self.membership.status_page
        client_protocol.pages[b"policy"] = self.policy_service.status_page
        self.background_tasks: list[Task] = []
        self.capture = self._start_capture()

    def _start_capture(self) -> CaptureWriter | None:
        """Start recording the router's events and commands, if the settings name a capture folder."""
        settings = self.settings
        if not settings.capture_folder:
            return None
        capture = CaptureWriter(
            settings.capture_folder,
            settings.router.instance_index,
            fingerprint(self.make_router),
            self._warn,
            settings.capture_segment_bytes,
            settings.capture_max_bytes,
            settings.capture_max_age,
        )
        self.make_router = with_recording(self.make_router, capture)
        return capture

    def _warn(self, event: str, **fields: Any) -> None:
        self.log.warning(event, **fields)

    # -- commands of the router --------------------------------------------------------------------------

    def send_attempt(self, in_flight: InFlightRequest, server: ServerHandle, deadline: float) -> Task:
        """Start an attempt; if its server runs the canary build, count the attempt as exposure to it."""
        self.trail_recorder.attempt_sent(getattr(server, "build", UNKNOWN_BUILD))
        return super().send_attempt(in_flight, server, deadline)

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Record a vote on a build, with its evidence, in the audit trail, and send it to release control."""
        self.trail_recorder.record(
            EntryKind.VOTE,
            build=build,
            stage=stage,
            verdict=VERDICT_NAMES[verdict],
            why=self.host.last_decision_text,
        )
        self.release_control.cast_vote(build, stage, verdict)

    def poll_endpoints(self) -> None:
        """Request the endpoint list once."""
        self.endpoint_discovery.poll()

    def watch_endpoints(self) -> None:
        """Start receiving changes of the endpoint list."""
        self.endpoint_discovery.watch()

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Send the outcomes of observed attempts to one peer."""
        self.peer_gossip.gossip_outcomes(peer, outcomes)

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a verdict on a build to all peers."""
        self.peer_gossip.gossip_verdict(build, stage, verdict)

    def gossip_stalled_classes(self, request_classes: Sequence[int]) -> None:
        """Send the stalled request classes to all peers."""
        self.peer_gossip.gossip_stalled_classes(request_classes)

    # -- lifecycle ---------------------------------------------------------------------------------------

    def run(self, signals: bool = True) -> int:
        """Serve until a stop is requested, then shut down.

        Returns:
            The exit code of `shut_down`.
        """
        if signals:
            self.stop_on_signals()
        self.log.info(
            "starting",
            instance=self.settings.router.instance_index,
            instances=self.settings.router.instance_count,
            seed=self.seed,
        )
        self.host.start(self.make_router, self, self.seed)
        self.endpoint_discovery.load_cache()
        self.endpoint_discovery.watch()
        self._start_background_tasks()
        self.policy_service.start()
        open_task = self.loop.spawn(self._open_listener, name="open the listener", essential=True)
        self.stop_requested.wait(reason="a signal to stop")
        open_task.cancel()
        return self.shut_down()

    def _start_background_tasks(self) -> None:
        tasks = self.background_tasks
        spawn = self.loop.spawn
        tasks.append(spawn(self.release_control.watch, name="watch release control", essential=True))
        tasks.append(self.start_sweep())
        if self.trail_recorder.trail:
            tasks.append(spawn(self.trail_recorder.record_exposure, name="record exposure", essential=True))
        if self.settings.gossip_address:
            tasks.append(spawn(self.peer_gossip.listen, name="peer gossip", essential=True))
        if self.settings.membership:
            tasks.append(spawn(self.membership.listen, name="membership", essential=True))

    def _open_listener(self) -> None:
        """Open the listener once endpoints are known and the policy service is ready.

        This method also waits for the state of release control, but at most RELEASE_STATE_TIMEOUT seconds.
        """
        self.endpoint_discovery.has_endpoints.wait(reason="the endpoint list")
        deadline = self.loop.now() + RELEASE_STATE_TIMEOUT
        while not self.release_control.state_known and self.loop.now() < deadline:
            self.loop.sleep(POLL_INTERVAL)
        while not self.policy_service.ready:  # the policy in force is not known yet
            self.loop.sleep(POLL_INTERVAL)
        self.listener.open()
        self.accept_requests(len(self.endpoint_discovery.endpoints))

    def stop_accepting(self) -> None:
        """Stop accepting new connections, and announce to the other instances that this one leaves."""
        self.listener.begin_shutdown()
        self.membership.leave()

    def release_resources(self) -> None:
        """Release the policy lease, write the endpoint cache, and close the capture and the audit trail."""
        self.policy_service.leave()
        for task in self.background_tasks:
            task.cancel()
        self.endpoint_discovery.write_cache()
        if self.capture:
            self.capture.close()
        self.trail_recorder.close()
