"""HTTP client sessions that never send a request twice by themselves."""

import collections.abc
import typing

import aiohttp
import aiohttp.abc


class SessionOptions(typing.TypedDict, total=False):
    """The options of `aiohttp.ClientSession` that are used."""

    connector: aiohttp.BaseConnector
    timeout: aiohttp.ClientTimeout
    cookie_jar: aiohttp.abc.AbstractCookieJar
    headers: collections.abc.Mapping[str, str]
    skip_auto_headers: collections.abc.Iterable[str]
    auto_decompress: bool
    max_line_size: int
    max_field_size: int
    read_bufsize: int


def once_session(**options: typing.Unpack[SessionOptions]) -> aiohttp.ClientSession:
    """A session that never sends a request twice by itself, as aiohttp's do on a connection that broke."""
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
