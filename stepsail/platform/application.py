"""The life of an instance on the platform: start, reload on SIGHUP, graceful shutdown on SIGTERM."""

from __future__ import annotations

import signal
from collections.abc import Callable, Sequence

from stepsail.decisions.interface import MakeRouter, ServerHandle, Verdict
from stepsail.loop import Loop, Task
from stepsail.platform.client_protocol import PlatformClientProtocol
from stepsail.platform.configuration import REREAD_INTERVAL, PlatformConfiguration
from stepsail.platform.discovery import PlatformDiscovery
from stepsail.platform.errors import InvalidConfiguration
from stepsail.platform.release_control import PlatformReleaseControl
from stepsail.platform.upstream_protocol import PlatformUpstreamProtocol
from stepsail.proxy.decision_host import Logger
from stepsail.proxy.request_audit import NoAudit
from stepsail.proxy.serving_process import POLL_INTERVAL, ServingProcess
from stepsail.settings.model import Address

CONNECTING_CLIENTS_GRACE = 0.6  # s after SIGTERM in which clients still connect
FIRST_LIST_TIMEOUT = 6.0  # s for the first list; an instance is expected to be ready within 10 s
LISTEN_TIMEOUT = 10.0  # s in which the address for clients may become free
LISTEN_RETRY_INTERVAL = 0.2  # s
RELOAD_ATTEMPTS = 10  # reads of a configuration file that is invalid
MAX_LOGGED_ERROR = 300  # characters


class PlatformApplication(ServingProcess):
    """One instance on one loop.

    Attributes:
        configuration: The configuration of the start.
        discovery: The endpoint list.
        release_control: Events of releases, and votes.
        sweep: Closes connections that have been idle too long; None before the start.
        reload_task: The reload that is under way, or the last one.
        reload_attempts_left: Reads of an invalid file that are left to the reload under way.
    """

    def __init__(
        self,
        loop: Loop,
        configuration: PlatformConfiguration,
        make_router: MakeRouter,
        log: Logger,
        reread_configuration: Callable[[], PlatformConfiguration],
        unix_offset: Callable[[], float],
    ) -> None:
        """Create an instance that neither listens nor calls yet.

        Args:
            loop: The loop that it runs on.
            configuration: What to run by.
            make_router: Creates the router.
            log: Where events are reported.
            reread_configuration: Reads the configuration as it is now, or raises InvalidConfiguration.
            unix_offset: Gives the seconds by which Unix time is ahead of the loop's clock now.
        """
        super().__init__(loop, configuration.settings, make_router, log)
        self.configuration = configuration
        self.reread_configuration = reread_configuration
        settings = configuration.settings
        self.discovery = PlatformDiscovery(
            loop, settings, self.host, log, settings.discovery_address, unix_offset
        )
        self.release_control = PlatformReleaseControl(
            loop, settings, self.host, log, settings.release_control_address, settings.seed or 0
        )
        table = self.discovery.table
        client_protocol = PlatformClientProtocol(settings)
        upstream_protocol = PlatformUpstreamProtocol(settings, table.location, configuration.load_reports)
        self.connect_protocols(client_protocol, upstream_protocol, NoAudit())
        table.on_stale_connections = self.upstream_pool.close_idle
        self.host.endpoint_list_usable = self.discovery.is_list_usable
        self.host.on_request_finished = client_protocol.attempts_ended
        self.sweep: Task | None = None
        self.reload_task: Task | None = None
        self.reload_attempts_left = 0

    # Commands of the router, beside those of ServingProcess.

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Vote on a build."""
        self.release_control.cast_vote(build, stage, verdict)

    def poll_endpoints(self) -> None:
        """Call for the endpoint list once."""
        self.discovery.poll()

    def watch_endpoints(self) -> None:
        """Keep a watch on the endpoint list from now on."""
        self.discovery.watch()

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Do nothing: the platform's configuration has no peers."""

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Do nothing: the platform's configuration has no peers."""

    def gossip_stalled_classes(self, products: Sequence[int]) -> None:
        """Do nothing: the platform's configuration has no peers."""

    def run(self) -> int:
        """Serve until SIGTERM.

        Returns:
            The exit code, as `shut_down` tells it.

        Raises:
            OSError: The address for clients cannot be had.
        """
        self.stop_on_signals()
        self.loop.driver.on_signal(signal.SIGHUP, self.reload)
        self._start_router()
        self.sweep = self.start_sweep()
        self.loop.spawn(self.log_counters_periodically, name="report counters")
        self._open_listener()
        self._wait_for_first_list()
        self.accept_requests(len(self.discovery.table.endpoints))
        self.stop_requested.wait(reason="a signal to stop")
        return self.shut_down()

    def stop_accepting(self) -> None:
        """Go on for a while for clients that still connect, each connection ending with its response."""
        self.listener.close_after_responses()
        self.loop.sleep(CONNECTING_CLIENTS_GRACE)
        self.listener.begin_shutdown()

    def release_resources(self) -> None:
        """End the one background task that would last for ever."""
        if self.sweep:
            self.sweep.cancel()

    def reload(self) -> None:
        """Read the configuration again, on SIGHUP, and take over the addresses of discovery and release control.

        A signal that comes while an invalid file is read again grants it all attempts anew.
        """
        self.discovery.lease.configuration_changed(self.loop.now())
        self.reload_attempts_left = RELOAD_ATTEMPTS
        if self.reload_task is None or self.reload_task.done:
            self.reload_task = self.loop.spawn(self._reload_configuration, name="move")

    def _start_router(self) -> None:
        self.host.start(self.make_router, self, self.settings.seed or 0)
        self.discovery.load_cached_list(self.configuration.cached_list)
        if self.configuration.release_state is not None:
            self.release_control.release_state_received(self.configuration.release_state)
        self.release_control.start()
        if not self.settings.router.must_poll_endpoints:
            self.discovery.watch()

    def _open_listener(self) -> None:
        """Listen for clients; what holds the address may be about to go, so it is tried for a while."""
        deadline = self.loop.now() + LISTEN_TIMEOUT
        while True:
            try:
                self.listener.open()
            except OSError as error:
                self.log.warning("listen_failed", error=str(error))
                if self.loop.now() >= deadline or self.stop_requested.is_set:
                    raise
            else:
                return
            self.loop.sleep(LISTEN_RETRY_INTERVAL)

    def _wait_for_first_list(self) -> None:
        """Wait a while for a list of this start, as the cached one may be old."""
        deadline = self.loop.now() + FIRST_LIST_TIMEOUT
        first_list_received = self.discovery.receiver.first_list_received
        while (
            not first_list_received.is_set and not self.stop_requested.is_set and self.loop.now() < deadline
        ):
            self.loop.sleep(POLL_INTERVAL)

    def _reload_configuration(self) -> None:
        while self.reload_attempts_left:
            self.reload_attempts_left -= 1
            try:
                configuration = self.reread_configuration()
            except InvalidConfiguration as error:
                self.log.warning(
                    "configuration_invalid",
                    error=str(error)[:MAX_LOGGED_ERROR],
                    attempts_left=self.reload_attempts_left,
                )
                self.loop.sleep(REREAD_INTERVAL)
            else:
                self._take_over_addresses(configuration)
                return

    def _take_over_addresses(self, configuration: PlatformConfiguration) -> None:
        discovery = configuration.settings.discovery_address
        release_control = configuration.settings.release_control_address
        self.log.info(
            "configuration_reloaded",
            discovery=_address_text(discovery),
            release_control=_address_text(release_control),
        )
        self.discovery.set_address(discovery)
        self.release_control.set_address(release_control)


def _address_text(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
