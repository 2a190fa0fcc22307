"""Hop-by-hop headers, and whether a response head determines the end of its body."""

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
"""Headers of a single connection (RFC 9110, section 7.6.1), and those that aiohttp writes itself."""
NO_BODY_STATUSES = (204, 304)
"""Statuses of responses without a body."""
CHUNKED = "chunked"
"""The transfer coding that states the end of a body (RFC 9112, section 7.1)."""
IDENTITY = "identity"
"""The coding of a body that is not encoded."""
EVENT_STREAM = "text/event-stream"
"""Media type of Server-Sent Events."""


def end_to_end(
    headers: multidict.CIMultiDictProxy[str], excluded: collections.abc.Set[str] = frozenset()
) -> multidict.CIMultiDict[str]:
    """Returns the headers without hop-by-hop headers and those of `excluded`, which are in lower case."""
    dropped = HOP_BY_HOP | excluded
    for value in headers.getall("Connection", ()):
        dropped |= {name.strip().lower() for name in value.split(",")}
    end_to_end_headers = ((name, value) for name, value in headers.items() if name.lower() not in dropped)
    return multidict.CIMultiDict(end_to_end_headers)


def has_stated_end(response: aiohttp.ClientResponse) -> bool:
    """Whether a head states where its body ends.

    A body that is ended only by the end of its connection is complete only if the connection was closed
    cleanly.
    """
    if response.method == "HEAD" or response.status in NO_BODY_STATUSES:
        return True
    return "Content-Length" in response.headers or CHUNKED in transfer_codings(response.headers)


def transfer_codings(headers: multidict.CIMultiDictProxy[str]) -> list[str]:
    """Returns the transfer codings of a body in lower case and in order, without the identity coding."""
    values = ",".join(headers.getall("Transfer-Encoding", ())).lower().split(",")
    return [name for name in (value.strip() for value in values) if name not in ("", IDENTITY)]


def may_be_event_stream(headers: collections.abc.Mapping[str, str]) -> bool:
    """Whether a body may be a stream of Server-Sent Events: its media type says so, or is not stated."""
    media_type = headers.get("Content-Type", EVENT_STREAM).partition(";")[0]
    return media_type.strip().lower() == EVENT_STREAM
