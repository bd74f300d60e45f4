"""The simulated instances of one process: hands each event record to its instance's router."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import IntEnum
from typing import Any, BinaryIO

from stepsail.adapter import frames
from stepsail.adapter.frames import MILLISECONDS, Batch, EventCode, MalformedBatch, Reply
from stepsail.adapter.instance import Instance
from stepsail.decisions.interface import AttemptOutcome, MakeRouter, ReleasePhase, VoteReceipt
from stepsail.settings.flat_settings import parse_pairs, read_router_settings

EFFORT_KNOWN = 1  # bits of a call
IS_RETRY = 2
EXIT_MALFORMED = 2  # of the process


class ListScope(IntEnum):
    """What a `Discovery` record holds; other numbers are changes alone."""

    COMPLETE = 1
    CACHED = 3
    FAILED = 4


class AdapterProcess:
    """All instances of this process, and the numbered endpoint lists that they share."""

    def __init__(self, make: MakeRouter) -> None:
        self.make = make
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: dict[int, list[tuple[Any, ...]]] = {}
        self.batch = Batch(b"", 0.0)
        self.reply = Reply()
        self.readers: dict[int, Callable[[], None]] = {
            EventCode.BELL: self._timer_due,
            EventCode.ROLLOUT_STATE: self._release_state,
            EventCode.POWER_ON: self._start_instance,
            EventCode.NEIGHBOUR_SAYS: self._peer_message,
            EventCode.DISCOVERY: self._endpoint_list,
            EventCode.WITHDRAWN: self._client_disconnected,
            EventCode.METRICS: self._release_counts,
            EventCode.COMPLETED: self._attempt_ended,
            EventCode.CONTESTED: self._answer_disputed,
            EventCode.CALL: self._request,
            EventCode.REGISTER: self._endpoint_entries,
            EventCode.KILLED: self._stop_instance,
            EventCode.STARTED: self._first_byte,
            EventCode.ECHO: self._health_check_finished,
        }

    def answer(self, batch: Batch) -> bytes:
        """Work off a batch; the reply to it. Raises MalformedBatch."""
        self.batch = batch
        self.reply = Reply()
        while (code := batch.next_code()) is not None:
            reader = self.readers.get(code)
            if reader is None:
                raise MalformedBatch(f"unknown event code {code} at byte {batch.offset - 1}")
            reader()
        return self.reply.encode()

    def _instance(self, number: int) -> Instance | None:
        """A running instance, at the batch's clock and with its reply."""
        found = self.instances.get(number)
        if found is not None:
            found.clock = self.batch.clock
            found.reply = self.reply
        return found

    @contextmanager
    def _reporting(self, instance: Instance) -> Iterator[None]:
        """Report an exception of the router as `Bug`, with the traceback on standard error."""
        try:
            yield
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            instance.report_exception(error)

    # -- instances ---------------------------------------------------------------------------------------

    def _start_instance(self) -> None:
        number, seed, size = self.batch.fields(frames.POWER_ON)
        text = self.batch.tail(size).decode()
        instance = self.instances[number] = Instance(number, self.batch.clock, self.reply)
        with self._reporting(instance):
            instance.start(self.make, read_router_settings(parse_pairs(text)), seed)

    def _stop_instance(self) -> None:
        (number,) = self.batch.fields(frames.KILLED)
        self.instances.pop(number, None)

    def _timer_due(self) -> None:
        number, timer = self.batch.fields(frames.BELL)
        instance = self._instance(number)
        call = instance.timers.pop(timer, None) if instance else None
        if instance and call:
            with self._reporting(instance):
                call()

    def _peer_message(self) -> None:
        number, peer, size = self.batch.fields(frames.NEIGHBOUR_SAYS)
        message = self.batch.tail(size)
        instance = self._instance(number)
        if instance:
            with self._reporting(instance):
                instance.message_received(peer, message)

    # -- endpoints ---------------------------------------------------------------------------------------

    def _endpoint_entries(self) -> None:
        number, count = self.batch.fields(frames.REGISTER)
        body = self.batch.tail(count * frames.REGISTER_ENTRY.size)
        self.endpoint_lists[number] = list(frames.REGISTER_ENTRY.iter_unpack(body))

    def _endpoint_list(self) -> None:
        number, scope, _, list_number = self.batch.fields(frames.DISCOVERY)
        instance = self._instance(number)
        if instance is None:
            return
        if scope == ListScope.FAILED:
            poll_failed = instance.router.endpoint_poll_failed
            with self._reporting(instance):
                poll_failed()
            return
        with self._reporting(instance):
            for address, zone, _, cell, build, state, size, since in self.endpoint_lists.get(list_number, []):
                server = instance.server(address)
                server.update_endpoint(zone, cell, int(build), state, since / MILLISECONDS, size)
            is_cached = scope == ListScope.CACHED
            instance.router.endpoint_list_received(scope == ListScope.COMPLETE or is_cached, is_cached)

    def _health_check_finished(self) -> None:
        number, address, duration, outcome, columns = self.batch.fields(frames.ECHO)
        report = self.batch.fields(frames.LOAD_REPORTS[columns])
        instance = self._instance(number)
        if instance and address in instance.servers:
            with self._reporting(instance):
                server = instance.servers[address]
                server.health_check_finished(duration / MILLISECONDS, AttemptOutcome(outcome), report)

    def _answer_disputed(self) -> None:
        number, address, class_index, since = self.batch.fields(frames.CONTESTED)
        instance = self._instance(number)
        if instance and address in instance.servers:
            with self._reporting(instance):
                instance.servers[address].answer_disputed(class_index, since / MILLISECONDS)

    # -- requests ----------------------------------------------------------------------------------------

    def _request(self) -> None:
        number, request_number, tenant, class_index, effort, deadline, key, bits = self.batch.fields(
            frames.CALL
        )
        instance = self._instance(number)
        if instance is None:
            return
        with self._reporting(instance):
            request = instance.router.accept_request(
                request_number,
                class_index,
                min(tenant, instance.tenants),
                effort / MILLISECONDS if bits & EFFORT_KNOWN else None,
                deadline / MILLISECONDS,
                key,
                bool(bits & IS_RETRY),
            )
            instance.requests[request_number] = request
            instance.forget_if_finished(request)

    def _attempt_ended(self) -> None:
        number, request_number, outcome, is_final, attempt, duration, _, columns = self.batch.fields(
            frames.COMPLETED
        )
        report = self.batch.fields(frames.LOAD_REPORTS[columns])
        instance = self._instance(number)
        request = instance.requests.get(request_number) if instance else None
        if instance and request:
            with self._reporting(instance):
                request.attempt_ended(
                    attempt, AttemptOutcome(outcome), bool(is_final), duration / MILLISECONDS, report
                )
                instance.forget_if_finished(request)

    def _client_disconnected(self) -> None:
        number, request_number = self.batch.fields(frames.WITHDRAWN)
        instance = self._instance(number)
        request = instance.requests.get(request_number) if instance else None
        if instance and request:
            with self._reporting(instance):
                request.client_disconnected()
            instance.forget_if_finished(request)

    def _first_byte(self) -> None:
        self.batch.fields(frames.STARTED)  # of streamed classes only, which no site of the simulator's has

    # -- the release -------------------------------------------------------------------------------------

    def _release_state(self) -> None:
        number, age, limit, build, stage, phase, receipt, is_answer = self.batch.fields(frames.ROLLOUT_STATE)
        instance = self._instance(number)
        if instance is None:
            return
        with self._reporting(instance):
            if receipt == VoteReceipt.COUNTED:
                instance.router.release_state_received(
                    age / MILLISECONDS, limit, build, stage, ReleasePhase(phase)
                )
            if is_answer:
                instance.router.vote_acknowledged(VoteReceipt(receipt))

    def _release_counts(self) -> None:
        number, build, class_index, count, failed, mean, age = self.batch.fields(frames.METRICS)
        instance = self._instance(number)
        if instance:
            with self._reporting(instance):
                instance.router.release_counts_received(
                    build, class_index, count, failed, mean / MILLISECONDS, age / MILLISECONDS
                )


def serve(make: MakeRouter, source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; the exit code. A malformed batch ends the process without a reply."""
    process = AdapterProcess(make)
    try:
        while (batch := frames.read_batch(source)) is not None:
            sink.write(process.answer(batch))
            sink.flush()
    except MalformedBatch as error:
        print(f"stepsail: malformed input: {error}", file=sys.stderr)
        return EXIT_MALFORMED
    return 0
