"""What the mixins of the zone controller need of the query node they are part of."""

import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.query_api.cell.cell as cell
import basaltport.query_api.zone_controller.owned_zone as owned_zone
import basaltport.query_api.zone_controller.replica as replica


ItemRule = rules.ItemRule


class ZoneControllerInterface(typing.Protocol):
    """See `consensus.seat`, `CellMixin`, and the other mixins of this package."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    rules: rules.Rules
    zones_with: dict[str, set[str]]
    owned_zones: dict[identifiers.Zone, owned_zone.OwnedZone]

    def leased(self) -> bool:
        """Whether this node holds a lease."""

    def address_of(self, seat: str) -> str | None:
        """The address of a member, if it is known."""

    def member_addresses(self) -> list[str]:
        """The addresses of all members."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def emit(self, e: object) -> None:
        """Add an effect."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""

    def cell_of(self, zone: str) -> cell.Cell:
        """The copy of a zone's cell."""

    def may_use(self, replica: str) -> bool:
        """Whether a replica may be used at all."""

    def is_unheard(self, zone: owned_zone.OwnedZone, grace_ms: int) -> bool:
        """Whether a new controller should still wait for the first report of some replica."""

    def place(self, zone: owned_zone.OwnedZone) -> None:
        """Order what loads and unloads are needed."""

    def is_kept_in(self, rule: ItemRule, zone: identifiers.Zone) -> bool:
        """Whether a zone should keep an item loaded."""

    def see_zones(self) -> None:
        """Note which zones have live replicas."""

    def loads_in_flight(self, zone: owned_zone.OwnedZone) -> dict[str, int]:
        """Loads that go on or were ordered, by pool."""

    def count_unaccounted(self, zone: owned_zone.OwnedZone, known: replica.ControlledReplica) -> None:
        """Compare a replica's runs with what all nodes say they use."""

    def request_permits(self, zone: owned_zone.OwnedZone) -> None:
        """Ask the store's owner for load permits."""

    def take_report(
        self, zone: owned_zone.OwnedZone, known: replica.ControlledReplica, state: dict[str, typing.Any]
    ) -> None:
        """Take a replica's report."""

    def order(
        self, zone: owned_zone.OwnedZone, known: replica.ControlledReplica, body: dict[str, object]
    ) -> None:
        """Order a replica to load or unload."""


if typing.TYPE_CHECKING:
    Interface = ZoneControllerInterface
else:
    Interface = object
