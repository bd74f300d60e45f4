"""Starts an instance on the platform, reloads it on SIGHUP and shuts it down gracefully on SIGTERM."""

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

# Time in seconds after SIGTERM during which new client connections are still accepted.
CONNECTING_CLIENTS_GRACE = 0.6
# Longest wait in seconds for the first endpoint list; an instance is expected to be ready within 10 s.
FIRST_LIST_TIMEOUT = 6.0
# Time in seconds during which listening is retried while the listen address is unavailable.
LISTEN_TIMEOUT = 10.0
LISTEN_RETRY_INTERVAL = 0.2  # seconds between two attempts to listen
# Number of times that a reload reads an invalid configuration file before it is given up.
RELOAD_ATTEMPTS = 10
MAX_LOGGED_ERROR = 300  # longest error text in a log line, in characters


class PlatformApplication(ServingProcess):
    """One instance, running on one event loop.

    Attributes:
        configuration: The configuration that was read at the start.
        discovery: Keeps the endpoint list current.
        release_control: Receives the events of releases and sends votes.
        idle_sweep_task: Closes connections that have been idle too long; None before the start.
        reload_task: The reload in progress, or the last reload; None if no reload was started.
        reload_attempts_left: How many more times the reload in progress may read the configuration file.
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
        """Create an instance that does not yet listen or make calls.

        Args:
            loop: The event loop that the instance runs on.
            configuration: The instance's configuration.
            make_router: Creates the router.
            log: The log that events are written to.
            reread_configuration: Reads the current configuration, or raises InvalidConfiguration.
            unix_offset: Returns the seconds by which Unix time is currently ahead of the loop's clock.
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
        client_protocol = PlatformClientProtocol(settings, loop.now)
        upstream_protocol = PlatformUpstreamProtocol(settings, table.locate, configuration.load_reports)
        self.connect_protocols(client_protocol, upstream_protocol, NoAudit())
        table.on_stale_connections = self.upstream_pool.close_idle
        self.host.endpoint_list_usable = self.discovery.is_list_usable
        self.host.on_request_finished = client_protocol.attempts_ended
        self.idle_sweep_task: Task | None = None
        self.reload_task: Task | None = None
        self.reload_attempts_left = 0

    # Commands of the router, in addition to those that ServingProcess implements.

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a vote on a build to release control."""
        self.release_control.cast_vote(build, stage, verdict)

    def poll_endpoints(self) -> None:
        """Request the endpoint list once."""
        self.discovery.poll()

    def watch_endpoints(self) -> None:
        """Start to keep a watch on the endpoint list open."""
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
            The exit code that `shut_down` returned.

        Raises:
            OSError: The listen address is unavailable.
        """
        self.stop_on_signals()
        self.loop.driver.on_signal(signal.SIGHUP, self.reload)
        self._start_router()
        self.idle_sweep_task = self.start_sweep()
        self.loop.spawn(self.log_counters_periodically, name="report counters")
        self._open_listener()
        self._wait_for_first_list()
        self.accept_requests(len(self.discovery.table.endpoints))
        self.stop_requested.wait(reason="a signal to stop")
        return self.shut_down()

    def stop_accepting(self) -> None:
        """Stop accepting connections after a grace period; close each connection after its response."""
        self.listener.close_after_responses()
        self.loop.sleep(CONNECTING_CLIENTS_GRACE)
        self.listener.begin_shutdown()

    def release_resources(self) -> None:
        """Cancel the sweep of idle connections, which would otherwise never end."""
        if self.idle_sweep_task:
            self.idle_sweep_task.cancel()

    def reload(self) -> None:
        """Reread the configuration on SIGHUP and apply its addresses of discovery and release control.

        A signal that arrives while the reads of an invalid file are being retried resets the number of
        attempts.
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
        """Listen for clients; retry, because a process that uses the address may be about to exit."""
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
        """Wait, for a limited time, for an endpoint list received after the start.

        The cached endpoint list may be outdated.
        """
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
                self._apply_addresses(configuration)
                return

    def _apply_addresses(self, configuration: PlatformConfiguration) -> None:
        discovery = configuration.settings.discovery_address
        release_control = configuration.settings.release_control_address
        self.log.info(
            "configuration_reloaded",
            discovery=_format_address(discovery),
            release_control=_format_address(release_control),
        )
        self.discovery.set_address(discovery)
        self.release_control.set_address(release_control)


def _format_address(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
