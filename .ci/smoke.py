"""Build as deployed, start the deployed command, and have one transaction relayed by it on the wire."""

import struct
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
SETTINGS = b"""Lanes.count=1
Lanes.0.PromiseMs=500.0
Lanes.0.DeadlineMs=2000.0
Lanes.0.Idempotency=repeatable
Limits.MaxAttempts=3
RegistryMode=pushed
Siblings=1
"""
BOX = bytes((10, 0, 0, 9)) + struct.pack("<H", 8080)


def frame(clock: float, records: bytes) -> bytes:
    return struct.pack("<Id", 12 + len(records), clock) + records


def main() -> None:
    with (ROOT / "deploy/balancer.toml").open("rb") as file:
        deploy = tomllib.load(file)
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True)
    entry = struct.pack("<6sBHHfBfd", BOX, 0, 0, 0, 1.0, 1, 1.0, 0.0)
    start = (
        struct.pack("<BHQI", 18, 3, 42, len(SETTINGS))
        + SETTINGS
        + struct.pack("<BHI", 26, 0, 1)
        + entry
        + struct.pack("<BHBQH", 20, 3, 3, 1, 0)
    )
    call = struct.pack("<BHQHBddQB", 25, 3, 77, 0, 0, 0.0, 9000.0, 0, 0)
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]],
        cwd=ROOT,
        check=True,
        capture_output=True,
        input=frame(8000.0, start) + frame(8005.0, call),
    )
    place = struct.pack("<BHQ", 16, 3, 77) + BOX
    if place not in done.stdout:
        raise SystemExit(f"smoke: no relay in the reply {done.stdout.hex()} {done.stderr.decode()}")
    torn = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=ROOT, capture_output=True, input=frame(8000.0, start)[:-3]
    )
    if torn.returncode == 0 or torn.stdout:
        raise SystemExit("smoke: a torn frame was answered")
    bare = {"PATH": "/usr/bin:/bin"}
    bad = subprocess.run(["/bin/sh", "-c", deploy["run"]], cwd=ROOT, capture_output=True, env=bare)
    if bad.returncode != 2 or b"PROXY_CONFIG" not in bad.stderr:
        raise SystemExit(f"smoke: run without a configuration gave {bad.returncode} {bad.stderr.decode()}")
    print("smoke: one transaction relayed, a torn frame and a run without configuration turned away")


if __name__ == "__main__":
    main()
