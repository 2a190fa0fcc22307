"""Tenants in front of stand-in replicas: their configuration, requests with any key headers, and what of
those headers came to a replica."""

import dataclasses

import basaltport.proxy.events as events
import basaltport.proxy.tenant_directory as tenant_directory
import tests.support.proxy_stand as stand

KEY = "Basaltport-Key"
TENANT = "Basaltport-Tenant"
KEYS = {"north-hall": ["k-north-61fe", "k-north-0b2c"], "yard": ["k-yard-93ad"]}
SECRETS = [key.encode() for keys in KEYS.values() for key in keys]


def document(**more):
    """The configuration of the stand, with tenants."""
    rows = [{"name": name, "keys": keys} for name, keys in KEYS.items()]
    return {**stand.document(**more), "tenants": rows}


def stand_in_reducer(proxy):
    """Give each attempt the tenant of its request's key, where the reducer doesn't."""
    directory = tenant_directory.TenantDirectory(proxy.doc)
    owners = {}
    step, start = proxy.shell.clients.step, proxy.shell.attempts.start

    def keep_owner(event):
        if isinstance(event, events.Arrived):
            owner = directory.owner_of(event.key)
            owners[event.request] = owner.name if owner else ""
        step(event)

    def start_with_tenant(effect, answer):
        start(dataclasses.replace(effect, tenant=effect.tenant or owners[effect.request]), answer)

    proxy.shell.clients.step = keep_owner
    proxy.shell.attempts.start = start_with_tenant


def text(proxy, path, pairs, body=b"hello", **more):
    """A request with further headers as pairs, in their order, before all others."""
    line, _, rest = proxy.text(path, body, **more).partition(b"\r\n")
    said = "".join(f"{name}: {value}\r\n" for name, value in pairs).encode()
    return line + b"\r\n" + said + rest


def told(replica):
    """Of each request that came to a replica, the headers that are a key's or a tenant's, as they came."""
    names = (KEY.lower(), TENANT.lower())
    return [[pair for pair in head if pair[0].lower() in names] for head in replica.heads]
