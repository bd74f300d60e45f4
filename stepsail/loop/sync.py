"""Events, bounded channels and semaphores for the tasks of one loop."""

from __future__ import annotations

from collections import deque
from types import TracebackType
from typing import Generic, TypeVar

from stepsail.loop.errors import Closed
from stepsail.loop.scheduler import Loop
from stepsail.loop.tasks import Waiter

T = TypeVar("T")


class Event:
    """A flag that is set once, which wakes all tasks that wait for it; later waits return at once."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.is_set = False
        self.waiters: list[Waiter] = []

    def set(self) -> None:
        """Set the event and wake all tasks that wait for it; further calls have no effect."""
        self.is_set = True
        for waiter in self.waiters:
            waiter.wake()
        self.waiters.clear()

    def wait(self, timeout: float | None = None, reason: str = "an event") -> None:
        """Wait until the event is set. Raises TimedOut."""
        if not self.is_set:
            waiter = self.loop.waiter()
            self.waiters.append(waiter)
            try:
                self.loop.park(waiter, reason, timeout)
            finally:
                if waiter in self.waiters:
                    self.waiters.remove(waiter)


class Channel(Generic[T]):
    """A queue of at most `capacity` items; `put` waits while it is full, `offer` does not."""

    def __init__(self, loop: Loop, capacity: int) -> None:
        self.loop = loop
        self.capacity = capacity
        self.closed = False
        self.items: deque[T] = deque()
        self.getters: deque[Waiter] = deque()
        self.putters: deque[Waiter] = deque()

    @staticmethod
    def _wake_next(waiters: deque[Waiter]) -> None:
        while waiters and not waiters.popleft().wake():
            pass

    def offer(self, item: T) -> bool:
        """Add an item unless the channel is full; return whether it was added. Raises Closed."""
        if self.closed:
            raise Closed("the channel is closed")
        if len(self.items) >= self.capacity:
            return False
        self.items.append(item)
        self._wake_next(self.getters)
        return True

    def put(self, item: T, timeout: float | None = None) -> None:
        """Add an item, waiting while the channel is full. Raises TimedOut, Closed."""
        while not self.offer(item):
            waiter = self.loop.waiter()
            self.putters.append(waiter)
            try:
                self.loop.park(waiter, "free space in a channel", timeout)
            except BaseException:
                # If this task was woken and cancelled in one round, the next waiting putter gets the space.
                if waiter.done:
                    self._wake_next(self.putters)
                raise

    def get(self, timeout: float | None = None) -> T:
        """Remove and return the next item. Raises TimedOut, and Closed if the channel is closed and empty."""
        while not self.items:
            if self.closed:
                raise Closed("the channel is closed")
            waiter = self.loop.waiter()
            self.getters.append(waiter)
            try:
                self.loop.park(waiter, "an item in a channel", timeout)
            except BaseException:
                if self.items:
                    self._wake_next(self.getters)
                raise
        item = self.items.popleft()
        self._wake_next(self.putters)
        return item

    def close(self) -> None:
        """Accept no more items; those already in the channel can still be fetched with `get`."""
        self.closed = True
        for waiter in (*self.getters, *self.putters):
            waiter.wake()


class Semaphore:
    """A semaphore with a number of permits, granted to waiting tasks in the order of their requests."""

    def __init__(self, loop: Loop, permits: int) -> None:
        self.loop = loop
        self.available = permits
        self.waiters: deque[Waiter] = deque()

    def acquire(self, timeout: float | None = None) -> None:
        """Acquire a permit, waiting until one is available. Raises TimedOut."""
        if self.available > 0 and not self.waiters:
            self.available -= 1
            return
        waiter = self.loop.waiter()
        self.waiters.append(waiter)
        try:
            self.loop.park(waiter, "a semaphore", timeout)  # `release` passes its permit to the woken task
        except BaseException:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            raise

    def release(self) -> None:
        """Release a permit: pass it to the next waiting task, or make it available."""
        while self.waiters:
            if self.waiters.popleft().wake():
                return
        self.available += 1

    def __enter__(self) -> None:
        self.acquire()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.release()
