"""Hosts the simulated instances of one process and passes each event record to the router of its instance."""

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

# Flags of a `Call` record.
EFFORT_KNOWN = 1
IS_RETRY = 2

EXIT_MALFORMED = 2  # exit code after malformed input


class ListScope(IntEnum):
    """Contents of a `Discovery` record; any other number means only the changed entries."""

    COMPLETE = 1
    CACHED = 3
    FAILED = 4


class AdapterProcess:
    """The instances of this process, and the endpoint lists that they share, by number."""

    def __init__(self, make_router: MakeRouter) -> None:
        self.make_router = make_router
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: dict[int, list[tuple[Any, ...]]] = {}
        self.batch = Batch(b"", 0.0)
        self.reply = Reply()
        self.handlers: dict[int, Callable[[], None]] = {
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

    def process_batch(self, batch: Batch) -> bytes:
        """Process all records of a batch and return the encoded reply. Raises MalformedBatch."""
        self.batch = batch
        self.reply = Reply()
        while (code := batch.next_code()) is not None:
            handler = self.handlers.get(code)
            if handler is None:
                raise MalformedBatch(f"unknown event code {code} at byte {batch.offset - 1}")
            handler()
        return self.reply.encode()

    def _instance(self, instance_number: int) -> Instance | None:
        """Return a running instance, set to the clock and reply of this batch; None if it does not run."""
        instance = self.instances.get(instance_number)
        if instance is not None:
            instance.clock = self.batch.clock
            instance.reply = self.reply
        return instance

    @contextmanager
    def _exceptions_reported(self, instance: Instance) -> Iterator[None]:
        """Report exceptions of the router as `Bug` records, and print their tracebacks to standard error."""
        try:
            yield
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            instance.report_exception(error)

    # -- instances ---------------------------------------------------------------------------------------

    def _start_instance(self) -> None:
        instance_number, seed, size = self.batch.read_fields(frames.POWER_ON)
        settings_text = self.batch.read_tail(size).decode()
        instance = self.instances[instance_number] = Instance(instance_number, self.batch.clock, self.reply)
        with self._exceptions_reported(instance):
            instance.start(self.make_router, read_router_settings(parse_pairs(settings_text)), seed)

    def _stop_instance(self) -> None:
        (instance_number,) = self.batch.read_fields(frames.KILLED)
        self.instances.pop(instance_number, None)

    def _timer_due(self) -> None:
        instance_number, timer_number = self.batch.read_fields(frames.BELL)
        instance = self._instance(instance_number)
        callback = instance.timers.pop(timer_number, None) if instance else None
        if instance and callback:
            with self._exceptions_reported(instance):
                callback()

    def _peer_message(self) -> None:
        instance_number, peer, size = self.batch.read_fields(frames.NEIGHBOUR_SAYS)
        message = self.batch.read_tail(size)
        instance = self._instance(instance_number)
        if instance:
            with self._exceptions_reported(instance):
                instance.message_received(peer, message)

    # -- endpoints ---------------------------------------------------------------------------------------

    def _endpoint_entries(self) -> None:
        list_number, count = self.batch.read_fields(frames.REGISTER)
        body = self.batch.read_tail(count * frames.REGISTER_ENTRY.size)
        self.endpoint_lists[list_number] = list(frames.REGISTER_ENTRY.iter_unpack(body))

    def _endpoint_list(self) -> None:
        instance_number, scope, _, list_number = self.batch.read_fields(frames.DISCOVERY)
        instance = self._instance(instance_number)
        if instance is None:
            return
        if scope == ListScope.FAILED:
            poll_failed = instance.router.endpoint_poll_failed
            with self._exceptions_reported(instance):
                poll_failed()
            return
        with self._exceptions_reported(instance):
            for address, zone, _, cell, build, state, size, started_at in self.endpoint_lists.get(
                list_number, []
            ):
                server = instance.server(address)
                server.update_endpoint(zone, cell, int(build), state, started_at / MILLISECONDS, size)
            is_cached = scope == ListScope.CACHED
            instance.router.endpoint_list_received(scope == ListScope.COMPLETE or is_cached, is_cached)

    def _health_check_finished(self) -> None:
        instance_number, address, duration, outcome, columns = self.batch.read_fields(frames.ECHO)
        report = self.batch.read_fields(frames.LOAD_REPORTS[columns])
        instance = self._instance(instance_number)
        if instance and address in instance.servers:
            with self._exceptions_reported(instance):
                server = instance.servers[address]
                server.health_check_finished(duration / MILLISECONDS, AttemptOutcome(outcome), report)

    def _answer_disputed(self) -> None:
        instance_number, address, class_index, since = self.batch.read_fields(frames.CONTESTED)
        instance = self._instance(instance_number)
        if instance and address in instance.servers:
            with self._exceptions_reported(instance):
                instance.servers[address].answer_disputed(class_index, since / MILLISECONDS)

    # -- requests ----------------------------------------------------------------------------------------

    def _request(self) -> None:
        instance_number, request_number, tenant, class_index, effort, deadline, key, flags = (
            self.batch.read_fields(frames.CALL)
        )
        instance = self._instance(instance_number)
        if instance is None:
            return
        with self._exceptions_reported(instance):
            request = instance.router.accept_request(
                request_number,
                class_index,
                min(tenant, instance.tenants),
                effort / MILLISECONDS if flags & EFFORT_KNOWN else None,
                deadline / MILLISECONDS,
                key,
                bool(flags & IS_RETRY),
            )
            instance.requests[request_number] = request
            instance.forget_if_finished(request)

    def _attempt_ended(self) -> None:
        instance_number, request_number, outcome, is_final, attempt, duration, _, columns = (
            self.batch.read_fields(frames.COMPLETED)
        )
        report = self.batch.read_fields(frames.LOAD_REPORTS[columns])
        instance = self._instance(instance_number)
        request = instance.requests.get(request_number) if instance else None
        if instance and request:
            with self._exceptions_reported(instance):
                request.attempt_ended(
                    attempt, AttemptOutcome(outcome), bool(is_final), duration / MILLISECONDS, report
                )
                instance.forget_if_finished(request)

    def _client_disconnected(self) -> None:
        instance_number, request_number = self.batch.read_fields(frames.WITHDRAWN)
        instance = self._instance(instance_number)
        request = instance.requests.get(request_number) if instance else None
        if instance and request:
            with self._exceptions_reported(instance):
                request.client_disconnected()
            instance.forget_if_finished(request)

    def _first_byte(self) -> None:
        # Ignored: the record is sent only for streamed request classes, which no simulated site has.
        self.batch.read_fields(frames.STARTED)

    # -- the release -------------------------------------------------------------------------------------

    def _release_state(self) -> None:
        instance_number, age, limit, build, stage, phase, receipt, is_answer = self.batch.read_fields(
            frames.ROLLOUT_STATE
        )
        instance = self._instance(instance_number)
        if instance is None:
            return
        with self._exceptions_reported(instance):
            if receipt == VoteReceipt.COUNTED:
                instance.router.release_state_received(
                    age / MILLISECONDS, limit, build, stage, ReleasePhase(phase)
                )
            if is_answer:
                instance.router.vote_acknowledged(VoteReceipt(receipt))

    def _release_counts(self) -> None:
        instance_number, build, class_index, count, failed, mean, age = self.batch.read_fields(frames.METRICS)
        instance = self._instance(instance_number)
        if instance:
            with self._exceptions_reported(instance):
                instance.router.release_counts_received(
                    build, class_index, count, failed, mean / MILLISECONDS, age / MILLISECONDS
                )


def serve(make_router: MakeRouter, source: BinaryIO, sink: BinaryIO) -> int:
    """Reply to batches until the end of input, and return the exit code.

    A malformed batch gets no reply and ends the process.
    """
    process = AdapterProcess(make_router)
    try:
        while (batch := frames.read_batch(source)) is not None:
            sink.write(process.process_batch(batch))
            sink.flush()
    except MalformedBatch as error:
        print(f"stepsail: malformed input: {error}", file=sys.stderr)
        return EXIT_MALFORMED
    return 0
