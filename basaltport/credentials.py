"""Digests of the keys by which clients say for which tenant they send.

Beyond the configuration itself only digests are kept and compared. Keys are found by their digest, so that
the time of a comparison tells nothing of a key.
"""

import collections.abc
import hashlib

import basaltport.identifiers as identifiers

NO_KEY = identifiers.KeyDigest(b"")
"""What stands for a request without a key."""


def digest(key: str) -> identifiers.KeyDigest:
    """The digest of a key (SHA-256)."""
    raw = key.encode("utf-8", "surrogateescape")
    return identifiers.KeyDigest(hashlib.sha256(raw).digest())


def digest_of_headers(values: collections.abc.Sequence[str]) -> identifiers.KeyDigest:
    """The digest of what a request's key headers say, NO_KEY where it has none. Several that differ are no
    key that anybody has."""
    distinct = sorted(set(values))
    if not distinct or distinct == [""]:
        return NO_KEY
    return digest("\n".join(distinct))
