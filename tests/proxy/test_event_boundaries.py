"""Event boundaries of a stream are found in any form of line ends and however the bytes arrive."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

import basaltport.proxy.event_boundaries as event_boundaries
import basaltport.proxy.response_stream as response_stream

LINE_ENDS = (b"\n", b"\r", b"\r\n")
LINES = (b"", b":", b": comment", b"id: 7", b"data: a", b"data", b"weight-versions: 3")


def split(raw, cuts):
    """Returns `raw` in parts, cut at the offsets."""
    offsets = [0, *sorted(cut % (len(raw) + 1) for cut in cuts), len(raw)]
    return [raw[start:end] for start, end in zip(offsets, offsets[1:], strict=False)]


def fed(parts):
    """Returns the boundaries after the parts, and the offset at which the last complete event ends."""
    boundaries, position, end = event_boundaries.EventBoundaries(), 0, 0
    for part in parts:
        found = boundaries.feed(part)
        end = position + found if found else end
        position += len(part)
    return boundaries, end


def expected(lines, rest):
    """Returns whether lines that all end, and a rest without an end, leave an event open."""
    has_fields = False
    for line in lines:
        has_fields = bool(line) and (has_fields or not line.startswith(b":"))
    return has_fields or bool(rest)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    lines=strategies.lists(strategies.sampled_from(LINES)),
    line_end=strategies.sampled_from(LINE_ENDS),
    rest=strategies.sampled_from(LINES),
    cuts=strategies.lists(strategies.integers(0, 500), max_size=6),
)
def test_a_position_in_a_stream_is_the_same_however_its_bytes_arrive(lines, line_end, rest, cuts):
    raw = b"".join(line + line_end for line in lines) + rest
    boundaries, end = fed(split(raw, cuts))
    assert boundaries.is_inside_event() == expected(lines, rest)
    empty = [index for index, line in enumerate(lines) if not line]
    complete = lines[: empty[-1] + 1] if empty else []
    assert end == len(b"".join(line + line_end for line in complete))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, 500), max_size=6),
    ends=strategies.lists(strategies.sampled_from(LINE_ENDS), min_size=8, max_size=8),
)
def test_mixed_line_ends_keep_all_bytes_and_the_last_id(cuts, ends):
    lines = (b"id: 1", b"data: a", b"data: b", b"", b"id: 2", b"data: c", b"data: d", b"")
    raw = b"".join(line + end for line, end in zip(lines, ends, strict=True))
    stream = response_stream.EventStream()
    out = b"".join(stream.feed(part) or b"" for part in split(raw, cuts))
    assert out + stream.incomplete == raw
    complete, _, rest = raw.replace(b"\r\n", b"\n").replace(b"\r", b"\n").rpartition(b"\n\n")
    ids = [line.removeprefix(b"id: ").decode() for line in complete.splitlines() if line.startswith(b"id: ")]
    assert stream.last_id == (ids[-1] if ids else "")
    assert stream.is_inside_event() == bool(rest)


# Found by hypothesis: the LF of a comment's CRLF, arriving by itself, counted as the end of an event.
def test_the_rest_of_a_comment_s_line_end_ends_no_event():
    boundaries = event_boundaries.EventBoundaries()
    assert boundaries.feed(b"\r\n:\r") == 2
    assert boundaries.feed(b"\n") == 0


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_an_id_never_holds_a_line_end(line_end):
    stream = response_stream.EventStream()
    stream.feed(line_end.join((b"id: 41", b"data: a", b"", b"")))
    assert stream.resume() == "41"
