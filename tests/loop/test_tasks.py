"""Tasks, cancellation, timeouts and timers: the scheduler without sockets, on a manual clock."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from stepsail.loop import (
    Cancelled,
    Channel,
    CleanupExpired,
    Closed,
    Event,
    Loop,
    PollDriver,
    Semaphore,
    Task,
    TimedOut,
)


class ManualClockDriver(PollDriver):
    """A driver whose clock advances by the timeout of each poll, without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1000.0

    def now(self) -> float:  # type: ignore[override]
        return self.time

    def poll(self, timeout: float | None) -> None:
        super().poll(0.0)
        self.time += timeout or 0.0


@pytest.fixture()
def loop() -> Iterator[Loop]:
    driver = ManualClockDriver()
    loop = Loop(driver, lambda event, **fields: reports.append((event, fields)))
    reports.clear()
    yield loop
    driver.shutdown()


reports: list[tuple[str, dict[str, Any]]] = []


def test_cancelled_is_raised_once_and_a_finally_block_may_still_wait(loop: Loop) -> None:
    seen: list[str] = []

    def worker() -> None:
        try:
            loop.sleep(100)
        finally:
            seen.append("ended")
            loop.sleep(1)
            seen.append("tidied")

    def main() -> float:
        task = loop.spawn(worker)
        loop.sleep(1)
        task.cancel()
        task.cancel()
        task.join()
        return loop.now()

    assert loop.run(main) == 1002.0 and seen == ["ended", "tidied"] and reports == []


def test_a_cleanup_that_waits_too_long_is_ended_and_reported(loop: Loop) -> None:
    ends: list[str] = []

    def worker() -> None:
        try:
            loop.sleep(100)
        finally:
            try:
                loop.sleep(1000)
            except CleanupExpired:
                ends.append("expired")
                raise

    def main() -> None:
        task = loop.spawn(worker)
        loop.sleep(1)
        task.cancel()
        task.join()

    loop.run(main)
    assert ends == ["expired"] and loop.now() == 1006.0 and reports[0][0] == "task_cleanup_overran"


def test_a_callback_posted_after_shutdown_writes_to_no_descriptor() -> None:
    # A thread that writes to disk may finish after the loop has ended. By then, another file may have the
    # descriptor number of the wakeup pipe.
    driver = PollDriver()
    driver.shutdown()
    read_end, write_end = os.pipe()
    other_fds = [os.dup(write_end) for _ in range(4)]
    driver.call_threadsafe(lambda: None)
    os.set_blocking(read_end, False)
    with pytest.raises(BlockingIOError):
        os.read(read_end, 1)
    for fd in (read_end, write_end, *other_fds):
        os.close(fd)


def test_a_cancel_that_races_with_a_result_keeps_the_result(loop: Loop) -> None:
    """A result that arrives in the same round is not lost, and Cancelled is raised at the next wait."""
    received: list[object] = []
    channel: Channel[int] = Channel(loop, 1)

    def worker() -> None:
        received.append(channel.get())
        try:
            loop.sleep(1)
        except Cancelled:
            received.append("cancelled")
            raise

    def main() -> None:
        task = loop.spawn(worker)
        loop.yield_turn()
        channel.put(7)
        task.cancel()
        task.join()

    loop.run(main)
    assert received == [7, "cancelled"]


def test_a_task_cancelled_before_its_first_turn_never_starts(loop: Loop) -> None:
    calls: list[int] = []

    def main() -> None:
        task = loop.spawn(calls.append, 1)
        task.cancel()
        task.join()

    loop.run(main)
    assert calls == []


def test_an_outer_timeout_that_expires_passes_through_the_inner_one(loop: Loop) -> None:
    def main() -> tuple[bool, bool, float]:
        with loop.timeout(2) as outer, loop.timeout(5) as inner:
            loop.sleep(100)
        return outer.expired, inner.expired, loop.now()

    assert loop.run(main) == (True, False, 1002.0)


def test_a_timeout_that_expires_without_a_wait_is_raised_at_the_next_wait(loop: Loop) -> None:
    def main() -> bool:
        driver = loop.driver
        assert isinstance(driver, ManualClockDriver)
        with loop.timeout(1) as timeout_scope:
            driver.time += 5  # a long computation
            loop.yield_turn()
            loop.sleep(0)
            return False
        return timeout_scope.expired

    assert loop.run(main) is True


def test_the_timeout_of_one_wait_does_not_end_the_block_around_it(loop: Loop) -> None:
    def main() -> bool:
        event = Event(loop)
        with loop.timeout(10) as timeout_scope:
            with pytest.raises(TimedOut):
                event.wait(timeout=1)
            loop.sleep(1)
        return timeout_scope.expired

    assert loop.run(main) is False


def test_timers_that_are_cancelled_or_set_for_the_past(loop: Loop) -> None:
    fired: list[int] = []

    def main() -> None:
        timers = [loop.call_later(1 + i / 1e6, lambda i=i: fired.append(i)) for i in range(100_000)]  # type: ignore[misc]
        for index, timer in enumerate(timers):
            if index % 100:
                timer.cancel()
        assert len(loop.timers) == 1000 and len(loop.timers.heap) <= 2000
        loop.call_at(loop.now() - 50, lambda: fired.append(-1))
        loop.sleep(0.5)
        assert fired == [-1]
        loop.sleep(1)

    loop.run(main)
    assert fired == [-1, *range(0, 100_000, 100)]


def test_a_task_with_endless_work_starves_neither_tasks_nor_timers(loop: Loop) -> None:
    turns: list[str] = []

    def greedy() -> None:
        while True:
            loop.checkpoint()

    def main() -> None:
        task = loop.spawn(greedy)
        loop.call_at(loop.now(), lambda: turns.append("timer"))
        for _ in range(3):
            loop.yield_turn()
            turns.append("turn")
        task.cancel()

    loop.run(main)
    assert turns == ["timer", "turn", "turn", "turn"] or turns == ["turn", "timer", "turn", "turn"]


def test_a_slow_turn_is_reported_with_the_name_of_its_task(loop: Loop) -> None:
    def run_long() -> None:
        driver = loop.driver
        assert isinstance(driver, ManualClockDriver)
        driver.time += 0.7

    loop.run(lambda: loop.spawn(run_long, name="run_long").join())
    assert [(e, f["task"]) for e, f in reports] == [("task_slow", "run_long")]


def test_a_failed_task_is_reported_and_ends_the_loop_only_if_essential(loop: Loop) -> None:
    def fails() -> None:
        raise ValueError("no such server")

    def main(essential: bool) -> None:
        loop.spawn(fails, name="fails", essential=essential)
        loop.sleep(1)

    loop.run(main, False)
    assert reports[0][0] == "task_failed" and "no such server" in reports[0][1]["trace"]
    with pytest.raises(ValueError, match="no such server"):
        loop.run(main, True)


def test_join_raises_the_error_of_the_task_and_can_time_out(loop: Loop) -> None:
    def fails() -> None:
        raise KeyError("x")

    def main() -> None:
        with pytest.raises(KeyError):
            loop.spawn(fails).join()
        with pytest.raises(TimedOut):
            loop.spawn(loop.sleep, 10).join(timeout=1)

    loop.run(main)


def test_list_tasks_names_what_each_task_waits_for(loop: Loop) -> None:
    def main() -> list[tuple[str, str]]:
        loop.spawn(Event(loop).wait, name="door")
        loop.yield_turn()
        return loop.list_tasks()

    assert ("door", "an event") in loop.run(main)


def test_a_channel_is_bounded_and_closing_wakes_both_sides(loop: Loop) -> None:
    channel: Channel[int] = Channel(loop, 2)
    received: list[object] = []

    def producer() -> None:
        for number in range(5):
            channel.put(number)
        channel.close()

    def consumer() -> None:
        while True:
            try:
                received.append(channel.get())
            except Closed:
                received.append("closed")
                return

    def main() -> None:
        task = loop.spawn(producer)
        loop.yield_turn()
        assert len(channel.items) == 2 and not channel.offer(9)
        loop.spawn(consumer).join()
        task.join()

    loop.run(main)
    assert received == [0, 1, 2, 3, 4, "closed"]


@pytest.mark.parametrize("cancel_first", [True, False])
def test_a_semaphore_loses_no_permit_when_a_waiter_is_cancelled(loop: Loop, cancel_first: bool) -> None:
    semaphore = Semaphore(loop, 1)
    acquired_by: list[str] = []

    def acquire_and_release(name: str) -> None:
        with semaphore:
            acquired_by.append(name)

    def main() -> None:
        semaphore.acquire()
        first, second = loop.spawn(acquire_and_release, "one"), loop.spawn(acquire_and_release, "two")
        loop.yield_turn()
        steps: list[Callable[[], object]] = [first.cancel, semaphore.release]
        for step in steps if cancel_first else steps[::-1]:
            step()
        second.join()

    loop.run(main)
    assert "two" in acquired_by and semaphore.available == 1


def test_tasks_left_at_the_end_of_the_main_task_are_cancelled(loop: Loop) -> None:
    ended: list[str] = []

    def worker() -> None:
        try:
            loop.sleep(1e9)
        finally:
            ended.append("worker")

    def main() -> Task:
        task = loop.spawn(worker)
        loop.yield_turn()
        return task

    assert loop.run(main).done and ended == ["worker"]
