"""The way to the operators' pages: their module is imported, beside the loop, with the first request."""

import asyncio
import collections.abc
import enum
import importlib
import typing

import aiohttp.web

PREFIX = "/basaltport/"


class Role(enum.StrEnum):
    """Whose pages are served."""

    CONTROLLER = "controller"
    PROXY = "proxy"


class Admin(typing.Protocol):
    """The pages of one process; see `controller.admin_api.Admin`."""

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """Answer a request for a page."""


class Pages:
    """The pages of a server, made when the first of them is asked for."""

    def __init__(self, server: object, role: str) -> None:
        """`server`: the ControllerServer or RelayShell to show; `role`: which of the two it is."""
        self.server = server
        self.role = Role(role)
        self.admin: Admin | None = None

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """Answer a request for a page."""
        if self.admin is None:
            module = await asyncio.to_thread(importlib.import_module, "basaltport.controller.admin_api")
            make: dict[Role, collections.abc.Callable[[object], Admin]] = {
                Role.CONTROLLER: module.controller_admin,
                Role.PROXY: module.proxy_admin,
            }
            self.admin = self.admin or make[self.role](self.server)
        return await self.admin.serve(request)
