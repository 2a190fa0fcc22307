"""Networks of 127.0.0.0/8 for rigs that run at once, each reserved by a socket that is bound in it."""

import random
import socket

RESERVED_HOST = 254
"""No process of a rig has this address."""
RESERVED_PORT = 8199


class Network:
    """A network of the form 127.X.Y that no other rig uses until it is released."""

    def __init__(self) -> None:
        """Draw networks until one is free."""
        chance = random.SystemRandom()
        self.reservation = None
        while self.reservation is None:
            self.prefix = f"127.{chance.randrange(16, 250)}.{chance.randrange(1, 250)}"
            self.reservation = reserve(f"{self.prefix}.{RESERVED_HOST}")

    def release(self) -> None:
        """Let other rigs use the network."""
        self.reservation.close()


def reserve(address: str) -> socket.socket | None:
    """Returns a socket that is bound to an address, None if another one is."""
    reservation = socket.socket()
    try:
        reservation.bind((address, RESERVED_PORT))
    except OSError:
        reservation.close()
        return None
    return reservation
