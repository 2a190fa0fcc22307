"""Troubles of proxies in a soak: stops and freezes.

Once it is in touch again, a proxy that was frozen goes by the configuration in force.
"""

import asyncio
import json
import signal
import time
import typing

import tests.soak.tenants as tenants
import tests.soak.troubles as troubles

if typing.TYPE_CHECKING:
    import tests.soak.rig as rig

OK = 200


async def make(soak: "rig.Rig", trouble: troubles.Trouble) -> None:
    """Stop or freeze a proxy that is in no other trouble; others take its clients meanwhile."""
    proxies = soak.plan.proxies
    name = proxies[int(100 * trouble.chance) % len(proxies)]
    is_in_trouble = name in soak.stopping or name in soak.freezing or not soak.fleet.has_started(name)
    if is_in_trouble or len(soak.stopping) + 1 >= len(proxies):
        return
    if trouble.kind == troubles.Kind.STOP:
        await restart(soak, name)
    else:
        await freeze(soak, name, trouble.length)


async def restart(soak: "rig.Rig", name: str) -> None:
    """Ask a proxy to stop, and start it again once it has ended."""
    soak.stopping.add(name)
    await soak.fleet.terminate(name)
    soak.fleet.start_member(name)
    soak.stopping.discard(name)


async def freeze(soak: "rig.Rig", name: str, seconds: float) -> None:
    """Stop a proxy by a signal and let it go on, then look at its configuration once it is in touch."""
    process = soak.fleet.processes[name]
    soak.freezing.add(name)
    with soak.book.frozen(name):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
    soak.freezing.discard(name)
    await check_configuration(soak, name, time.monotonic())


async def check_configuration(soak: "rig.Rig", name: str, woke_at: float) -> None:
    """Keep a violation where a proxy in touch goes by an edition older than one acknowledged before."""
    await asyncio.sleep(tenants.IN_TOUCH_S - tenants.APPLY_S)
    acknowledged = soak.edition
    await asyncio.sleep(tenants.APPLY_S)
    if soak.is_over or name in soak.stopping or name in soak.freezing or not soak.book.is_calm(woke_at):
        return
    status, text = await soak.call("GET", f"{soak.plan.readiness[name]}/basaltport/status?own=1")
    if status == OK and json.loads(text)["edition"] < acknowledged:
        found, awake_s = json.loads(text)["edition"], time.monotonic() - woke_at
        soak.verdict.violations.append(
            f"CONFIG: {name}, awake for {awake_s:.1f} s, goes by {found}, not {acknowledged}"
        )
