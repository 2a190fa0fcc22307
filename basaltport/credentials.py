"""Digests of tenant keys, by which clients authenticate as a tenant.

Outside the configuration itself only digests are stored and compared. Keys are looked up by their digest, so
that the duration of a comparison reveals nothing about a key.
"""

import collections.abc
import hashlib

import basaltport.identifiers as identifiers

NO_KEY = identifiers.KeyDigest(b"")
"""The digest of a request without a key."""


def digest(key: str) -> identifiers.KeyDigest:
    """Returns the SHA-256 digest of a key."""
    raw = key.encode("utf-8", "surrogateescape")
    return identifiers.KeyDigest(hashlib.sha256(raw).digest())


def digest_of_headers(values: collections.abc.Sequence[str]) -> identifiers.KeyDigest:
    """Returns the digest of the key in a request's key headers, or NO_KEY if there is none.

    Headers that differ are joined with a line break, so that their digest matches no tenant's key.
    """
    distinct = sorted(set(values))
    if not distinct or distinct == [""]:
        return NO_KEY
    return digest("\n".join(distinct))
