"""An instance with settings written by the migration command, on loopback with scripted servers."""

from __future__ import annotations

from pathlib import Path

from rig import Rig, ScriptedServer, answers

from stepsail.settings.migration import migrate_file, write_settings

DECISIONS = {
    ("release", "one-way"): True,
    ("release", "replaces"): True,
    ("servers", "drain-grace"): 0.25,
    ("servers", "warm-keys"): True,
}


class MigratedRig(Rig):
    """Migrates the settings file before each start of the instance."""

    def start(self) -> None:
        migration = migrate_file(self.folder / "umpire.conf", self.folder, DECISIONS)
        write_settings(self.folder / "moved.conf", migration.text, True)
        self.settings_file = self.folder / "moved.conf"
        super().start()


def builds_that_served(rig: Rig, subject: str) -> list[int]:
    return [
        server.build
        for server in rig.servers
        for request in server.seen
        if (b"subject", subject.encode()) in request.headers
    ]


def test_keys_are_sticky_until_the_build_is_withdrawn(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        for server in rig.servers[:2]:
            server.build = 2
        rig.state = {"build": 2, "stage": 0, "phase": "trial", "cap": 1.0, "age": 9.0}
        rig.application.stop()
        rig.loop.sleep(0.3)
        rig.start()
        # The instance sends no requests to the canary build until one exposure window after its start.
        rig.loop.sleep(1.2)
        sticky_keys = set()
        for round_index in range(6):
            for key in map(str, range(12)):
                builds_before = set(builds_that_served(rig, key))
                assert rig.request("GET", "/look", subject=key).status == 200
                builds_after = builds_that_served(rig, key)
                assert (
                    2 not in builds_before
                    or 2 in set(builds_after)
                    and builds_after.count(1) == build_1_counts.get(key, 0)
                )
                build_1_counts[key] = builds_after.count(1)
                sticky_keys |= {key} if 2 in builds_after else set()
            assert round_index < 5 or sticky_keys
        assert len(sticky_keys) > 3
        rig.state = {"build": 2, "stage": 0, "phase": "withdrawn", "cap": 0.0, "age": 0.0}
        for server in rig.servers[:2]:
            server.state = "gone"
        rig.loop.sleep(0.6)
        for key in sorted(sticky_keys):
            assert rig.request("GET", "/look", subject=key).status == 200
            assert builds_that_served(rig, key).count(1) == build_1_counts[key] + 1

    build_1_counts: dict[str, int] = {}
    MigratedRig(
        tmp_path,
        test,
        [answers()] * 4,
        "door {\n    subject-secret 0123456789abcdef\n}",
        exposure_window="1s",
    )


def test_draining_server_gets_no_new_attempt_after_a_quarter_second(tmp_path: Path) -> None:
    arrivals: list[tuple[float, ScriptedServer]] = []

    def test(rig: Rig) -> None:
        drain_times = []
        list_endpoints = rig._serve_endpoint_list

        def list_and_note_drain(query: dict[str, str]) -> dict[str, object]:
            endpoint_list = list_endpoints(query)
            if rig.servers[0].state == "draining":
                drain_times.append(rig.loop.now())
            return endpoint_list

        rig._serve_endpoint_list = list_and_note_drain  # type: ignore[method-assign]
        for index in range(120):
            if index == 40:
                rig.servers[0].state = "draining"
            assert rig.request("GET", "/look", subject=str(index % 7)).status == 200
            arrivals.extend(
                (rig.loop.now(), server)
                for server in rig.servers
                for _ in range(len(server.seen) - requests_counted[server.address])
            )
            requests_counted.update((server.address, len(server.seen)) for server in rig.servers)
            rig.loop.sleep(0.01)
        times_at_first_server = [arrived_at for arrived_at, server in arrivals if server is rig.servers[0]]
        assert drain_times and times_at_first_server and max(times_at_first_server) <= drain_times[0] + 0.25
        assert max(arrived_at for arrived_at, _ in arrivals) > drain_times[0] + 0.5

    class ZeroByDefault(dict[str, int]):
        def __missing__(self, key: str) -> int:
            return 0

    requests_counted = ZeroByDefault()
    MigratedRig(tmp_path, test, [answers()] * 3, "door {\n    subject-secret 0123456789abcdef\n}")
