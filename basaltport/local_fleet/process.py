"""Runs one process of the local fleet: a controller, a proxy, or all stand-in replicas."""

import asyncio
import json
import signal
import sys
import typing

import absl.flags as flags

import basaltport.controller.server as controller_server
import basaltport.local_fleet.messages as messages
import basaltport.local_fleet.port as port
import basaltport.local_fleet.stand_ins as stand_ins
import basaltport.proxy.server as proxy_server
import basaltport.proxy.header_names as header_names

BAD_INPUT = 2
FAILED = 1


async def run_controller(settings: dict[str, typing.Any]) -> None:
    """Serve as a controller until a signal ends the process."""
    addresses = port.PortSettings(settings["listing"]["address"], settings["operators"])
    await controller_server.ControllerServer(settings, port.Port(addresses)).run()


async def run_proxy(settings: dict[str, typing.Any]) -> None:
    """Serve as a proxy until a signal ends the process."""
    await proxy_server.ProxyServer(settings, header_names.HeaderNames()).run()


async def run_stand_ins(settings: dict[str, typing.Any]) -> None:
    """Serve all stand-in replicas until a signal ends the process."""
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    replicas = stand_ins.StandIns(messages.stand_in_settings(settings))
    await replicas.start()
    await stop_requested.wait()
    await replicas.stop()


ROLES = {"controller": run_controller, "proxy": run_proxy, "stand-ins": run_stand_ins}


async def _run_for(process: messages.ProcessSettings) -> None:
    async with asyncio.timeout(process.seconds):
        await ROLES[process.role](process.settings)


def define(values: flags.FlagValues) -> None:
    """Define the flags of a single process."""
    flags.DEFINE_string("conf", None, "The process's file, as the runner writes it.", flag_values=values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run one process and return its exit code."""
    try:
        with open(values.conf or "") as file:
            process = messages.ProcessSettings(**json.load(file))
        asyncio.run(_run_for(process))
    except (ValueError, KeyError, TypeError) as error:
        print(f"--conf: {type(error).__name__}: {error}", file=sys.stderr)
        return BAD_INPUT
    except OSError as error:
        print(f"{values.conf}: {error}", file=sys.stderr)
        return FAILED
    return 0
