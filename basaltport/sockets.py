"""Socket options of all TCP connections: one whose peer is dead or reads nothing is closed within seconds."""

import socket
import typing

UNDELIVERED_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 2

AddressInfo = tuple[int, int, int, str, tuple[typing.Any, ...]]


def set_timeouts(sock: socket.socket) -> None:
    """Close the connection when sent bytes stay unacknowledged for UNDELIVERED_TIMEOUT_MS, or when the peer
    does not answer keepalive probes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNDELIVERED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def create_socket(info: AddressInfo) -> socket.socket:
    """Returns a socket with these options, for aiohttp's connector."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    set_timeouts(sock)
    return sock


def host_and_port(address: str) -> tuple[str, int]:
    """Returns the two parts of `host:port`."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
