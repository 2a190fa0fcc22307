"""What every wire of the system is set to: a peer that takes no bytes, or is gone, ends it within seconds."""

import socket
import typing

UNDELIVERED = 1500
IDLE_S = 2
PROBES = 2

AddressInfo = tuple[int, int, int, str, tuple[typing.Any, ...]]


def bound(sock: socket.socket) -> None:
    """Bytes that no peer has taken within UNDELIVERED end the wire, and so does a peer that is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNDELIVERED)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def factory(info: AddressInfo) -> socket.socket:
    """A bounded socket for aiohttp's connector."""
    family, kind, proto, _, _ = info
    made = socket.socket(family, kind, proto)
    made.setblocking(False)
    bound(made)
    return made


def host_and_port(address: str) -> tuple[str, int]:
    """The parts of `host:port`."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
