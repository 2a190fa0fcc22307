"""HTTP client sessions that do not resend requests on their own."""

import collections.abc
import typing

import aiohttp
import aiohttp.abc


class SessionOptions(typing.TypedDict, total=False):
    """The options of `aiohttp.ClientSession` that this package uses."""

    connector: aiohttp.BaseConnector
    timeout: aiohttp.ClientTimeout
    cookie_jar: aiohttp.abc.AbstractCookieJar
    headers: collections.abc.Mapping[str, str]
    skip_auto_headers: collections.abc.Iterable[str]
    auto_decompress: bool
    max_line_size: int
    max_field_size: int
    read_bufsize: int


def session_without_resend(**options: typing.Unpack[SessionOptions]) -> aiohttp.ClientSession:
    """Returns a session without aiohttp's automatic resend of a request whose connection broke, so that no
    request can run twice."""
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
