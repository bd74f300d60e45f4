"""The event loop: runs tasks in rounds, over a driver that supplies the clock and the readiness of ports."""

from __future__ import annotations

import sys
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent

from stepsail.loop.driver import Driver, Port
from stepsail.loop.errors import Cancelled, LoopError, TimedOut
from stepsail.loop.tasks import Task, Timeout, Waiter
from stepsail.loop.timers import Timer, Timers

# Number of consecutive operations without a wait after which a task yields to the other tasks.
MAX_OPS_WITHOUT_WAIT = 16
# Seconds; a turn of a task or a timer's callback that takes longer than this is reported as slow.
SLOW_TURN = 0.1
# Largest number of live tasks; when this many are alive, `spawn` raises an error.
MAX_TASKS = 100_000


class Loop:
    """Runs tasks in rounds: a round runs the ready tasks and the due timers, then polls the driver.

    In a turn, a task runs until its next wait. A round gives one turn to each task that was ready when the
    round began, so a task that always has data cannot starve the other tasks or the timers. `report` is
    called with an event name and fields for every irregularity, such as a task that failed or was slow.
    """

    def __init__(self, driver: Driver, report: Callable[..., object] | None = None) -> None:
        self.driver = driver
        self.now = driver.now
        self.scheduler_greenlet = getcurrent()
        self.run_queue: deque[tuple[Task, Any, BaseException | None]] = deque()
        self.timers = Timers()
        self.tasks: dict[Task, None] = {}  # in the order in which they were spawned
        self.running: Task | None = None
        self.fatal: BaseException | None = None  # the error of an essential task
        self.report = report or _print_report
        self.rounds = 0
        self.polled_at = driver.now()  # when the last poll ended and this round began
        self.previous_round_seconds = 0.0  # duration of the previous round, up to its poll

    # -- tasks -------------------------------------------------------------------------------------------

    def spawn(
        self, function: Callable[..., Any], *args: Any, name: str = "", essential: bool = False
    ) -> Task:
        """Start a task in the next round; if an essential task fails, `run` stops and raises its error.

        Raises:
            LoopError: There are MAX_TASKS live tasks already.
        """
        if len(self.tasks) >= MAX_TASKS:
            raise LoopError(f"cannot spawn a task: {MAX_TASKS} are running already")
        task = Task(self, name or getattr(function, "__qualname__", "task"), function, args, essential)
        self.tasks[task] = None
        self.run_queue.append((task, None, None))
        return task

    def current(self) -> Task:
        """Return the running task.

        Raises:
            RuntimeError: No task is running. Callbacks of timers and of the driver run outside of tasks and
                cannot wait.
        """
        if self.running is None:
            raise RuntimeError("only a task can wait; a callback of a timer or of the driver cannot")
        return self.running

    def run(self, function: Callable[..., Any], *args: Any, name: str = "main") -> Any:
        """Run a function as the main task, and return its result or raise its error.

        Once it has ended, or an essential task has failed, the remaining tasks are cancelled.
        """
        main_task = self.spawn(function, *args, name=name)
        # A task with a joiner does not report its error, which is raised below instead.
        main_task.joiners.append(Waiter(main_task))
        self._run_until(lambda: main_task.done or self.fatal is not None)
        for task in tuple(self.tasks):
            task.cancel()
        self._run_until(lambda: not self.tasks)
        if self.fatal:
            raise self.fatal
        if main_task.error:
            raise main_task.error
        return main_task.result

    def _run_until(self, condition: Callable[[], bool]) -> None:
        run_queue, timers, now = self.run_queue, self.timers, self.now
        while not condition():
            self.rounds += 1
            clock = self._run_ready()
            if timers.heap and timers.heap[0][0] <= clock:
                for callback in timers.pop_due(clock):
                    self._run_callback(callback)
            if condition():
                return
            self.previous_round_seconds = now() - self.polled_at
            if run_queue:
                self.driver.poll(0.0)
                continue
            next_due = timers.next_due_time()
            self.driver.poll(None if next_due is None else max(0.0, next_due - now()))

    def _run_ready(self) -> float:
        """Run one turn of each task that is ready; return the time at which the last turn ended."""
        run_queue, now = self.run_queue, self.now
        # One reading of the clock serves as the end of a turn and the start of the next one.
        clock = self.polled_at = now()
        for _ in range(len(run_queue)):
            task, value, error = run_queue.popleft()
            task_greenlet = task.greenlet
            if task_greenlet is None:
                continue
            task.ops_without_wait = 0
            self.running = task
            if error is not None:
                task_greenlet.throw(error)
            else:
                task_greenlet.switch(value)
            before = clock
            clock = now()
            if clock - before > SLOW_TURN:
                self._report_slow(task.name, clock - before)
        self.running = None
        return clock

    def _run_callback(self, callback: Callable[[], object]) -> None:
        start = self.now()
        try:
            callback()
        except Exception as error:
            self.report("timer_failed", error=repr(error), trace=traceback.format_exc())
        elapsed = self.now() - start
        if elapsed > SLOW_TURN:
            self._report_slow(getattr(callback, "__qualname__", "timer"), elapsed)

    def _report_slow(self, name: str, seconds: float) -> None:
        self.report("task_slow", task=name, seconds=round(seconds, 3))

    def task_failed(self, task: Task, error: BaseException) -> None:
        """Stop the loop if the failed task is essential; otherwise report its error if no task joins it."""
        if task.essential:
            self.fatal = error
        elif not task.joiners:
            trace = "".join(traceback.format_exception(error))
            self.report("task_failed", task=task.name, error=repr(error), trace=trace)

    def list_tasks(self) -> list[tuple[str, str]]:
        """Return each task's name and what it waits for, sorted by name."""
        return sorted((t.name, t.wait_reason if t.current_wait else "its turn") for t in self.tasks)

    # -- waits -------------------------------------------------------------------------------------------

    def waiter(self) -> Waiter:
        """Create a waiter for the running task.

        Pass it to the code that will end the wait, then to `park`.
        """
        return Waiter(self.current())

    def park(self, waiter: Waiter, reason: str, timeout: float | None = None) -> Any:
        """Suspend the running task until the waiter is woken, and return the value passed to `wake`.

        Raises:
            TimedOut: The wait took longer than `timeout` seconds, or an enclosing `Timeout` block expired.
            Cancelled: The task was cancelled.
        """
        task = waiter.task
        self._raise_pending(task, waiter)
        timer = None if timeout is None else self.call_later(timeout, lambda: waiter.throw(TimedOut()))
        task.current_wait = waiter
        task.wait_reason = reason
        try:
            return self.scheduler_greenlet.switch()
        finally:
            task.current_wait = None
            if timer:
                timer.cancel()

    @staticmethod
    def _raise_pending(task: Task, waiter: Waiter) -> None:
        """Raise a cancellation or an expired timeout that occurred while the task was not waiting."""
        if task.cancel_pending:
            task.cancel_pending = False
            waiter.done = True
            raise Cancelled
        for timeout in task.timeouts:
            if timeout.pending:
                timeout.pending = False
                waiter.done = True
                raise TimedOut(timeout)

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        waiter = self.waiter()
        timer = self.call_later(seconds, waiter.wake)
        try:
            self.park(waiter, f"{seconds:.3f} s to pass")
        finally:
            timer.cancel()

    def yield_turn(self) -> None:
        """Let the other ready tasks run a turn each."""
        waiter = self.waiter()
        waiter.wake()
        self.park(waiter, "its turn")

    def checkpoint(self) -> None:
        """Yield to the other tasks if this task has called it MAX_OPS_WITHOUT_WAIT times in its turn.

        It is called after each operation that did not have to wait.
        """
        task = self.current()
        task.ops_without_wait += 1
        if task.ops_without_wait >= MAX_OPS_WITHOUT_WAIT:
            self.yield_turn()

    def wait_ready(self, port: Port, direction: int, reason: str, timeout: float | None = None) -> None:
        """Wait until a port is ready.

        Wake-ups may be spurious: the caller has to retry its operation and wait again if that would block.

        Raises:
            TimedOut: The port was not ready within `timeout` seconds.
            Closed: The port was closed, before the call or during the wait.
        """
        waiter = self.waiter()
        self.driver.add_waiter(port, direction, waiter)
        try:
            self.park(waiter, reason, timeout)
        finally:
            self.driver.remove_waiter(port, direction, waiter)

    def unread_age(self) -> float:
        """Return the longest time, in seconds, for which data that is read now may have been waiting unread.

        This is the time since the last poll plus the duration of the round before it. It does not include a
        pause of the process during a poll, which only the operating system can report.
        """
        return self.previous_round_seconds + self.now() - self.polled_at

    def timeout(self, seconds: float) -> Timeout:
        """Create a context manager that ends its block after this time."""
        return Timeout(self, seconds)

    def call_at(self, when: float, callback: Callable[[], object]) -> Timer:
        """Run a callback at a time on the loop's clock; the callback must not wait."""
        return self.timers.add(when, callback)

    def call_later(self, seconds: float, callback: Callable[[], object]) -> Timer:
        """Run a callback after a delay; the callback must not wait."""
        return self.timers.add(self.now() + seconds, callback)


def _print_report(event: str, **fields: object) -> None:
    print(event, *(f"{key}={value}" for key, value in fields.items()), file=sys.stderr)
