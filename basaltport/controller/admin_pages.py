"""Loads the operators' pages lazily: their module is imported in a thread at the first request."""

import asyncio
import collections.abc
import enum
import importlib
import typing

import aiohttp.web

PREFIX = "/basaltport/"


class Role(enum.StrEnum):
    """The kinds of process that serve pages."""

    CONTROLLER = "controller"
    PROXY = "proxy"


class Admin(typing.Protocol):
    """The interface of `controller.admin_api.Admin`, the pages of one process."""

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """Answer a request for a page."""


class Pages:
    """The pages of a process, created at the first request for one of them."""

    def __init__(self, server: object, role: str) -> None:
        """Create the pages of `server`, a ControllerServer or RelayShell; `role` says which of the two it
        is."""
        self.server = server
        self.role = Role(role)
        self.admin: Admin | None = None

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """Answer a request for a page."""
        if self.admin is None:
            module = await asyncio.to_thread(importlib.import_module, "basaltport.controller.admin_api")
            page_factories: dict[Role, collections.abc.Callable[[object], Admin]] = {
                Role.CONTROLLER: module.controller_admin,
                Role.PROXY: module.proxy_admin,
            }
            self.admin = self.admin or page_factories[self.role](self.server)
        return await self.admin.serve(request)
