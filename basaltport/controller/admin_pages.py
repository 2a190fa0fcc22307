"""The way to keeper.admin, which is read, beside the loop, when one of its pages is first asked for."""

import asyncio
import importlib

PREFIX = "/basaltport/"


class Pages:
    """`of`: keeper or proxy, which the shell is of."""

    def __init__(self, shell, of):
        self.shell = shell
        self.of = of
        self.admin = None

    async def serve(self, request):
        if self.admin is None:
            m = await asyncio.to_thread(importlib.import_module, "basaltport.controller.admin_api")
            self.admin = self.admin or getattr(m, f"of_{self.of}")(self.shell)
        return await self.admin.serve(request)
