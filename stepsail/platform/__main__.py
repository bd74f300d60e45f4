"""Runs one instance in the foreground: `python -m stepsail.platform`, configured by environment variables.

Exit codes: 0 if SIGTERM stopped the instance and every request was answered, 2 for an invalid configuration,
3 if the instance stopped with unanswered requests, 4 if the listen address is unavailable or the program
itself failed.
"""

from __future__ import annotations

import gc
import os
import sys
import time
import traceback
from collections.abc import Callable

from stepsail.decisions.router import Router
from stepsail.loop import Loop, PollDriver
from stepsail.platform.application import PlatformApplication
from stepsail.platform.configuration import REREAD_INTERVAL, PlatformConfiguration, read_configuration
from stepsail.platform.errors import InvalidConfiguration
from stepsail.platform.json_log import JsonLog
from stepsail.proxy.process_memory import resident_bytes

START_READ_ATTEMPTS = 6
# Thresholds of Python's garbage collector. The first is the number of new objects that triggers a collection
# of the youngest generation. Each of the other two is the number of collections of the next younger
# generation that triggers a collection of an older generation.
GC_THRESHOLDS = (5_000, 20, 20)
EXIT_INVALID_CONFIGURATION = 2
EXIT_FAILURE = 4


def read_with_retries(read: Callable[[], PlatformConfiguration]) -> PlatformConfiguration:
    """Read the configuration; if it is invalid, retry, because the file may be about to be replaced.

    Raises:
        InvalidConfiguration: The configuration was invalid at every attempt.
    """
    for _ in range(START_READ_ATTEMPTS - 1):
        try:
            return read()
        except InvalidConfiguration:
            time.sleep(REREAD_INTERVAL)
    return read()


def main() -> int:
    """Run an instance until a signal stops it.

    Returns:
        The exit code.
    """
    driver = PollDriver()
    log = JsonLog(driver.now)

    def read() -> PlatformConfiguration:
        return read_configuration(os.environ, resident_bytes())

    try:
        configuration = read_with_retries(read)
    except InvalidConfiguration as error:
        print(f"stepsail: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    loop = Loop(driver, log.warning)
    try:
        application = PlatformApplication(
            loop, configuration, Router, log, read, unix_offset=lambda: driver.wall_clock() - driver.now()
        )
        application.resident_bytes = resident_bytes
        return int(loop.run(application.run))
    except Exception as error:  # any failure must be in the last log line
        _report_failure(log, error)
        return EXIT_FAILURE
    finally:
        driver.shutdown()


def _report_failure(log: JsonLog, error: Exception) -> None:
    log.error("failed", error=repr(error), trace=traceback.format_exc())


if __name__ == "__main__":
    sys.exit(main())
