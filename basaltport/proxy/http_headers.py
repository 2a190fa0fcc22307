"""Headers that hold for one connection only, and what a head tells of its body's end."""

import collections.abc

import aiohttp
import multidict

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers of a single connection (RFC 9110, section 7.6.1), and those that the library writes itself."""
BODILESS = (204, 304)
"""Statuses whose answers have no body."""


def end_to_end(
    headers: multidict.CIMultiDictProxy[str], left_out: collections.abc.Set[str] = frozenset()
) -> multidict.CIMultiDict[str]:
    """Headers but those of a single connection, and those that are left out, which are in small letters."""
    dropped = HOP_BY_HOP | left_out
    for value in headers.getall("Connection", ()):
        dropped |= {name.strip().lower() for name in value.split(",")}
    kept = ((name, value) for name, value in headers.items() if name.lower() not in dropped)
    return multidict.CIMultiDict(kept)


def states_its_end(response: aiohttp.ClientResponse) -> bool:
    """Whether a head tells where its body ends. Where only the end of the connection does, a body is whole
    if that was closed in good order."""
    if response.method == "HEAD" or response.status in BODILESS:
        return True
    headers = response.headers
    return "Content-Length" in headers or "chunked" in headers.get("Transfer-Encoding", "").lower()
