"""Tasks as greenlets: waits, cancellation, joins and timeouts around a block."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any, Protocol

from greenlet import greenlet

from stepsail.loop.errors import Cancelled, CleanupExpired, TimedOut
from stepsail.loop.timers import Timer

# Seconds for which a cancelled task may still wait in its cleanup.
CLEANUP_SECONDS = 5.0


class Scheduler(Protocol):
    """The interface that a task needs from the loop that runs it."""

    scheduler_greenlet: greenlet  # a task switches to this greenlet when it waits
    run_queue: deque[tuple[Task, Any, BaseException | None]]  # tasks to resume, each with a value or an error
    tasks: dict[Task, None]
    report: Callable[..., object]

    def now(self) -> float:
        """Return the loop's clock, in seconds."""

    def current(self) -> Task:
        """Return the running task."""

    def waiter(self) -> Waiter:
        """Create a waiter for the running task."""

    def park(self, waiter: Waiter, reason: str, timeout: float | None = None) -> Any:
        """Suspend the running task until its waiter is woken."""

    def call_at(self, when: float, callback: Callable[[], object]) -> Timer:
        """Run a callback at a time on the loop's clock."""

    def call_later(self, seconds: float, callback: Callable[[], object]) -> Timer:
        """Run a callback after a delay."""

    def task_failed(self, task: Task, error: BaseException) -> None:
        """Handle a task that has ended with an error."""


class Waiter:
    """A single wait of one task; the first wake or throw ends it and later ones do nothing."""

    __slots__ = ("done", "task")

    def __init__(self, task: Task) -> None:
        self.task = task
        self.done = False

    def wake(self, value: Any = None) -> bool:
        """Resume the task with a value; return False if the wait had already ended."""
        if self.done:
            return False
        self.done = True
        self.task.loop.run_queue.append((self.task, value, None))
        return True

    def throw(self, error: BaseException) -> bool:
        """Resume the task with an error; return False if the wait had already ended."""
        if self.done:
            return False
        self.done = True
        self.task.loop.run_queue.append((self.task, None, error))
        return True


class Task:
    """A function that runs in a greenlet of its own and has a name.

    Attributes:
        result: The function's return value, once the task is `done`.
        error: The exception that ended the task. The loop reports it unless a task joins this one.
        started: Whether the function has been called.
        current_wait: The waiter that the task is suspended on; None while it runs and before its first turn.
        wait_reason: Human-readable description of what the task waits for.
        essential: Whether an error of this task ends the loop.
    """

    __slots__ = (
        "args",
        "function",
        "cancel_pending",
        "cancelling",
        "cleanup_timer",
        "current_wait",
        "done",
        "error",
        "essential",
        "greenlet",
        "joiners",
        "loop",
        "name",
        "result",
        "started",
        "timeouts",
        "ops_without_wait",
        "wait_reason",
    )

    def __init__(
        self, loop: Scheduler, name: str, function: Callable[..., Any], args: tuple[Any, ...], essential: bool
    ) -> None:
        self.loop = loop
        self.name = name
        self.function = function
        self.args = args
        self.essential = essential
        self.greenlet: greenlet | None = greenlet(self._run, parent=loop.scheduler_greenlet)
        self.result: Any = None
        self.error: BaseException | None = None
        self.done = False
        self.started = False
        self.cancelling = False
        self.cancel_pending = False  # Cancelled will be raised at the next wait
        self.current_wait: Waiter | None = None
        self.wait_reason = "its first turn"
        self.joiners: list[Waiter] = []
        self.timeouts: list[Timeout] = []
        self.ops_without_wait = 0  # consecutive operations that did not have to wait
        self.cleanup_timer: Timer | None = None

    def _run(self, *_: Any) -> None:
        try:
            if not self.cancel_pending:  # a task cancelled before its first turn never starts
                self.started = True
                self.result = self.function(*self.args)
        except Cancelled as end:
            # The traceback refers to the task and to all that its frames held; nobody reads it.
            self.error = end.with_traceback(None)
        except BaseException as error:
            self.error = error
            self.loop.task_failed(self, error)
        self._finish()

    def _finish(self) -> None:
        self.done = True
        self.function = _no_op
        self.args = ()
        self.greenlet = None
        if self.cleanup_timer:
            self.cleanup_timer.cancel()
        self.loop.tasks.pop(self, None)
        for joiner in self.joiners:
            joiner.wake()

    def cancel(self) -> None:
        """Raise Cancelled inside the task, exactly once, at its current or next wait.

        If the current wait has already ended with a value, the task still receives that value, and Cancelled
        is raised at the wait that follows.
        """
        if self.done or self.cancelling:
            return
        self.cancelling = True
        if not (self.current_wait and self.current_wait.throw(Cancelled())):
            self.cancel_pending = True
        self.cleanup_timer = self.loop.call_later(CLEANUP_SECONDS, self._expire_cleanup)

    def _expire_cleanup(self) -> None:
        if self.current_wait and self.current_wait.throw(CleanupExpired()):
            self.loop.report("task_cleanup_overran", task=self.name, seconds=CLEANUP_SECONDS)

    def join(self, timeout: float | None = None) -> Any:
        """Wait until the task has ended, at most `timeout` seconds, and return its result.

        Raises:
            TimedOut: The task is still running.
            BaseException: The exception that ended the task, except for a cancellation.
        """
        if not self.done:
            waiter = self.loop.waiter()
            self.joiners.append(waiter)
            try:
                self.loop.park(waiter, f"the end of {self.name}", timeout)
            finally:
                if waiter in self.joiners and not self.done:
                    self.joiners.remove(waiter)
        if self.error and not isinstance(self.error, Cancelled):
            raise self.error
        return self.result


def _no_op() -> None:
    """Replaces the function of a task that has ended, so that the objects it refers to can be freed."""


class Timeout:
    """Context manager that ends its block after some time: `with loop.timeout(seconds) as timeout:`.

    Timeouts can be nested.

    Attributes:
        expired: Whether this timeout ended the block; set when the block is left.
    """

    def __init__(self, loop: Scheduler, seconds: float) -> None:
        self.loop = loop
        self.deadline = loop.now() + seconds
        self.expired = False
        self.pending = False  # TimedOut will be raised at the task's next wait
        self.task: Task | None = None
        self.timer: Timer | None = None

    def __enter__(self) -> Timeout:
        self.task = self.loop.current()
        self.task.timeouts.append(self)
        self.timer = self.loop.call_at(self.deadline, self._expire)
        return self

    def _expire(self) -> None:
        assert self.task
        if not (self.task.current_wait and self.task.current_wait.throw(TimedOut(self))):
            self.pending = True

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        assert self.task
        assert self.timer
        self.timer.cancel()
        self.task.timeouts.remove(self)
        self.expired = isinstance(error, TimedOut) and error.scope is self
        return self.expired
