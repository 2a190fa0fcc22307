"""What may hinder a request of an operator, and until when it must be done at the latest."""

import collections
import typing

import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.trace as trace

IN_FORCE_MS = 2000
HINDERS_MS = 3000
FOREVER_MS = 10**12

FAULTS = (
    rows.Kill,
    rows.Stop,
    rows.Freeze,
    rows.Wake,
    rows.Cut,
    rows.Split,
    rows.Heal,
    rows.Stall,
    rows.Full,
    rows.Boot,
)


class Span(typing.NamedTuple):
    """From one time to another."""

    start_ms: int
    end_ms: int


class CutOff(typing.NamedTuple):
    """A span in which these processes may not reach a leader."""

    span: Span
    nodes: set[str]


def hindered(trace_rows: trace.Trace) -> list[Span]:
    """Spans in which a fault may hinder: HINDERS_MS from each event of one; bad links while they last."""
    spans, since = [], None
    for row in trace_rows:
        if isinstance(row, FAULTS):
            spans.append(Span(row.at_ms, row.at_ms + HINDERS_MS))
        if isinstance(row, rows.BadLinks):
            if since is not None:
                spans.append(Span(since, row.at_ms + HINDERS_MS))
            since = row.at_ms if row.bad else None
    if since is not None:
        spans.append(Span(since, FOREVER_MS))
    return sorted(spans)


def cut_off(trace_rows: trace.Trace) -> list[CutOff]:
    """Which processes were cut off, and when."""
    over: list[CutOff] = []
    lasting: list[tuple[int, set[str]]] = []
    for row in trace_rows:
        if isinstance(row, rows.Cut):
            lasting.append((row.at_ms, {row.source, row.target}))
        elif isinstance(row, rows.Split):
            lasting.append((row.at_ms, set(row.left)))
        elif isinstance(row, rows.Heal):
            over += [CutOff(Span(since, row.at_ms), nodes) for since, nodes in lasting]
            lasting = []
    return over + [CutOff(Span(since, FOREVER_MS), nodes) for since, nodes in lasting]


def heard_at(trace_rows: trace.Trace) -> dict[str, int]:
    """By call, when its node could hear it: a frozen one hears when it goes on."""
    frozen: set[str] = set()
    waiting: dict[str, list[str]] = collections.defaultdict(list)
    heard: dict[str, int] = {}
    for row in trace_rows:
        if isinstance(row, rows.Freeze):
            frozen.add(row.node)
        elif isinstance(row, (rows.Wake, rows.Boot)):
            frozen.discard(row.node)
            heard.update(dict.fromkeys(waiting.pop(row.node, []), row.at_ms))
        elif isinstance(row, rows.Asked):
            heard[row.call] = row.at_ms
            if row.node in frozen:
                waiting[row.node].append(row.call)
    return heard


class Deadlines:
    """When requests of operators must be done at the latest. `heard`: when their nodes could hear them."""

    def __init__(self, trace_rows: trace.Trace) -> None:
        """Of a whole trace."""
        self.hindered = hindered(trace_rows)
        self.cuts = cut_off(trace_rows)
        self.heard = heard_at(trace_rows)

    def due(self, ask: rows.Asked) -> int:
        """The requests of a node that is cut off are due once it no longer is; every fault meanwhile adds to
        it."""
        heard = self.heard[ask.call]
        ends = [
            cut.span.end_ms
            for cut in self.cuts
            if cut.span.start_ms <= heard <= cut.span.end_ms and ask.node in cut.nodes
        ]
        start = max([heard, *ends])
        end = start + IN_FORCE_MS
        for span in self.hindered:
            if span.start_ms <= end and span.end_ms >= start:
                end = max(end, span.end_ms + IN_FORCE_MS)
        return end

    def unhindered(self, ask: rows.Asked) -> bool:
        """Whether nothing hindered a request."""
        return self.due(ask) == self.heard[ask.call] + IN_FORCE_MS
