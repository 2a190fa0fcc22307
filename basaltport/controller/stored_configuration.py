"""Converts a configuration that an earlier release stored with sections under their former names, which it
didn't read.

The leader stores the converted configuration as a log entry, so that members of both releases hold the same
state, whichever leads. An invalid configuration stays as it is stored, and its findings are logged."""

import collections.abc
import typing

import basaltport.configuration.routes as routes
import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.log_events as log_events

Document = dict[str, typing.Any]
ReadStored = collections.abc.Callable[[Document], tuple[list[str], Document]]
"""Returns the names of the sections of a stored configuration that an earlier release wrote, and the same
sections in the form of this release."""
BAD_REQUEST = 400
FINDINGS_LOGGED = 3


class StoredConfigurationNeeds(typing.Protocol):
    """The members of the controller that `StoredConfigurationMixin` uses."""

    appended_state: state_machine.ClusterState

    def has_committed_in_term(self) -> bool:
        """Whether the first entry of this leader's term is committed."""

    def append(self, operation: log.Operation) -> typing.Any:
        """Append an entry to the log."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""


if typing.TYPE_CHECKING:
    Needs = StoredConfigurationNeeds
else:
    Needs = object


class StoredConfigurationMixin(Needs):
    """Converts stored configurations on the leader. `read_stored` is the platform's conversion, None if no
    earlier release stored another form."""

    read_stored: ReadStored | None = None

    def stored_configuration_start(self) -> None:
        """Initialize: no configuration was checked yet."""
        self.last_checked_document: object = None

    def tick_stored(self) -> None:
        """Convert a configuration that an earlier release stored; each configuration is checked once."""
        if self.read_stored is None or not self.has_committed_in_term():
            return
        document = typing.cast(Document | None, self.appended_state.configuration)
        if document is self.last_checked_document or document is None:
            return
        self.last_checked_document = document
        former_sections, sections = self.read_stored(document)
        if former_sections:
            kept = {name: value for name, value in document.items() if name not in former_sections}
            self.store_converted(kept, {name: items for name, items in sections.items() if items is not None})

    def store_converted(self, kept: Document, sections: Document) -> None:
        """Store the unconverted sections together with the converted ones, if the result is valid."""
        change = {"edition": kept["edition"], "put": sections}
        findings = routes.check_put_sections(sections)
        current = {} if findings else routes.patch({**dict.fromkeys(sections, []), **kept}, change)
        findings = findings or routes.check_content(current)
        if not findings:
            self.append(log.ConfigurationPut(current))
            self.last_checked_document = self.appended_state.configuration
            return
        logged_findings = findings[:FINDINGS_LOGGED]
        self.note(log_events.Event.CHANGE_REFUSED, change=None, status=BAD_REQUEST, findings=logged_findings)
