"""Cooperative tasks on greenlets, over a driver that supplies the clock, readiness and sockets.

`scheduler` runs the `tasks`. Tasks wait by means of `stream` and `sync`. `driver` defines the interface of a
driver: `poll` implements it with real sockets and `select.poll`, `stepsail.simulation` in virtual time.
"""

from stepsail.loop.errors import Cancelled, CleanupExpired, Closed, LoopError, TimedOut
from stepsail.loop.poll import PollDriver
from stepsail.loop.scheduler import Loop
from stepsail.loop.stream import Datagrams, Listener, Stream
from stepsail.loop.sync import Channel, Event, Semaphore
from stepsail.loop.tasks import Task, Timeout, Waiter

__all__ = [
    "Cancelled",
    "Channel",
    "CleanupExpired",
    "Closed",
    "Datagrams",
    "Event",
    "Listener",
    "Loop",
    "LoopError",
    "PollDriver",
    "Semaphore",
    "Stream",
    "Task",
    "TimedOut",
    "Timeout",
    "Waiter",
]
