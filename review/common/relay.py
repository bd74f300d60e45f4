"""A relay of datagrams between umpires, which cuts some of them off from the others for a while."""

from __future__ import annotations

import asyncio
import socket

from lib import HOST, Record, free_port


class Relay:
    """Gives each umpire a port at which the others reach it.

    `cut` has the umpires that are cut off: what they send and what is sent to them is dropped.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.cut: set[int] = set()
        self.real: list[int] = []  # where each umpire receives, and sends from
        self.public: list[int] = []  # where the others reach it

    async def open(self, count: int) -> None:
        self.real = [free_port(socket.SOCK_DGRAM) for _ in range(count)]
        loop = asyncio.get_running_loop()
        for number in range(count):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _Port(self, number), local_addr=(HOST, 0)
            )
            self.public.append(transport.get_extra_info("sockname")[1])

    def pass_on(self, sender_port: int, to: int) -> bool:
        sender = self.real.index(sender_port) if sender_port in self.real else None
        return sender == to or not ({sender, to} & self.cut)

    def set_cut(self, *numbers: int) -> None:
        self.cut = set(numbers)
        self.record("cut off from the other umpires:", sorted(self.cut))


class _Port(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number = relay, number

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if self.relay.pass_on(address[1], self.number):
            self.transport.sendto(data, (HOST, self.relay.real[self.number]))
