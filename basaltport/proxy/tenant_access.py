"""Authorizes requests by their key and the tenant that owns it.

A key or route that is unknown here may exist in a newer configuration if this proxy has lost contact with the
leader or missed a message. In that case a request is answered with 503 and a retry time, not with a final
refusal.
"""

import dataclasses
import enum
import typing

import basaltport.credentials as credentials
import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.request as request
import basaltport.proxy.routing as routing
import basaltport.proxy.tenant_directory as tenant_directory

UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
RETRY_AFTER_MS = 150
"""When a client that this proxy cannot authorize now may retry; its next connection may reach another
proxy."""


class Reason(enum.StrEnum):
    """Why a request may not be sent; part of the response to the client, and the label of the refusal
    counters."""

    NO_ROUTE = "no route"
    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    KEY_TAKEN_AWAY = "its key was taken away"
    KEY_OF_ANOTHER = "its key is another tenant's now"
    OUT_OF_TOUCH = "out of touch with the controllers"


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A request may be sent for `tenant`, which is None if the request needs no tenant."""

    tenant: tenant_directory.Tenant | None


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """A request may not be sent. `retry_after_ms` is when its client may retry, 0 if a retry is pointless."""

    status: int
    reason: Reason
    retry_after_ms: int = 0


def check_key(
    directory: tenant_directory.TenantDirectory, is_public: bool, key: identifiers.KeyDigest
) -> Granted | Reason:
    """Returns the tenant of a key, or why it is refused.

    Without configured tenants no request needs a key. On a public route a request may have no key, but a key
    that is sent must be known.
    """
    if directory.is_empty:
        return Granted(None)
    if key == credentials.NO_KEY:
        return Granted(None) if is_public else Reason.NO_KEY
    tenant = directory.owner_of(key)
    return Reason.UNKNOWN_KEY if tenant is None else Granted(tenant)


class ConfigurationView(typing.Protocol):
    """The attributes and methods of the node that authorization uses. `table` is the configuration in
    force."""

    table: routing.RoutingTable

    def is_up_to_date(self) -> bool:
        """Whether everything that the leader announced recently is in force here."""
        ...


class TenantAccess:
    """Authorizes each request by the configuration in force; nothing is cached per request or connection."""

    def __init__(self, node: ConfigurationView) -> None:
        """`node` provides the configuration in force."""
        self.node = node

    def deny_unknown_route(self) -> Denied:
        """Returns the denial of a request that matches no route."""
        return self._denied(NOT_FOUND, Reason.NO_ROUTE)

    def check(self, route: routing.Route, key: identifiers.KeyDigest) -> Granted | Denied:
        """Authorize an arriving request for a route."""
        found = check_key(self.node.table.tenants, route.public, key)
        return found if isinstance(found, Granted) else self._denied(UNAUTHORIZED, found)

    def recheck(self, admitted: request.Request) -> Denied | None:
        """Authorize a request again; returns a denial if it may no longer be sent, else None.

        A request stays with the tenant under whose limit it was counted. If its key now belongs to another
        tenant, it is sent for neither of them: its client must retry and is counted under the new tenant.
        """
        directory = self.node.table.tenants
        found = check_key(directory, admitted.route.public, admitted.key)
        if isinstance(found, Reason):
            return self._denied(UNAUTHORIZED, Reason.KEY_TAKEN_AWAY if admitted.tenant else found)
        if directory.is_empty or _tenant_name(found.tenant) == _tenant_name(admitted.tenant):
            return None
        return Denied(UNAVAILABLE, Reason.KEY_OF_ANOTHER, RETRY_AFTER_MS)

    def tenant_of(self, admitted: request.Request) -> tenant_directory.Tenant | None:
        """Returns the tenant of a request as defined in the configuration in force."""
        return self.node.table.tenants.get(_tenant_name(admitted.tenant))

    def _denied(self, status: int, reason: Reason) -> Denied:
        if not self.node.is_up_to_date():
            return Denied(UNAVAILABLE, Reason.OUT_OF_TOUCH, RETRY_AFTER_MS)
        return Denied(status, reason)


def _tenant_name(tenant: tenant_directory.Tenant | None) -> identifiers.TenantName:
    return events.NO_TENANT if tenant is None else tenant.name
