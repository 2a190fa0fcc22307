import dataclasses

import pytest

import basaltport.consensus.log as log
import basaltport.controller.messages as controller_messages
import basaltport.fleet.messages as fleet_messages
import basaltport.frames as frames
import basaltport.identifiers as identifiers
import basaltport.messages as messages

TERM = identifiers.Term(3, "ledger-1")
HEARTBEAT = messages.Heartbeat(
    TERM,
    identifiers.MemberId("s1"),
    identifiers.Name("ledger-1"),
    "127.0.0.1:1",
    7,
    identifiers.LogIndex(5),
    TERM,
    TERM,
    identifiers.LogIndex(4),
    [log.LogEntry(identifiers.LogIndex(5), TERM, log.TermBegun())],
    None,
    identifiers.Millis(12),
    9,
)


def test_a_packed_message_unpacks_to_an_equal_one():
    unpacked = frames.unpack(frames.pack(HEARTBEAT)).ok_value
    assert unpacked == HEARTBEAT
    assert type(unpacked.commit_index) is identifiers.LogIndex and type(unpacked.term) is identifiers.Term


def _with_changed_byte(raw, at):
    return raw[:at] + bytes([raw[at] ^ 0x41]) + raw[at + 1 :]


@pytest.mark.parametrize(
    "raw, why",
    [
        (_with_changed_byte(frames.pack(HEARTBEAT), 0), "garbled header"),
        (_with_changed_byte(frames.pack(HEARTBEAT), 4), "frame version"),
        (_with_changed_byte(frames.pack(HEARTBEAT), 5), "unknown kind"),
        (_with_changed_byte(frames.pack(HEARTBEAT), 30), "checksum differs"),
        (frames.pack(HEARTBEAT)[:-3], "checksum differs"),
        (frames.pack(HEARTBEAT)[:9], "garbled header"),
    ],
)
def test_a_malformed_frame_is_refused_with_a_reason(raw, why):
    assert why in frames.unpack(raw).err_value


def test_a_body_with_the_wrong_fields_is_refused():
    body = b"\x05hello"
    head = frames.HEADER.build({"version": 1, "kind": 6, "crc": __import__("zlib").crc32(body), "length": 6})
    assert "garbled body" in frames.unpack(head + body).err_value


def test_a_default_value_of_an_added_field_is_not_sent_and_other_values_follow_the_former_fields():
    order = ["load", "m", "", 7]
    plain = controller_messages.OrderRequest(identifiers.Term(3, "n"), 1, 2, "a:1", "r", "b:1", *order)
    extended = dataclasses.replace(plain, expected=41)
    former, newer = frames.pack(plain), frames.pack(extended)
    assert frames.unpack(former).ok_value == plain and frames.unpack(newer).ok_value == extended
    body = former[frames.HEADER_SIZE :]
    assert newer[frames.HEADER_SIZE :][: len(body)] == body and len(newer) == len(former) + 8


def test_an_added_document_field_is_optional():
    plain = fleet_messages.Want("p", "z", "a", {"m": 2})
    newer = dataclasses.replace(plain, waited_ms={"m": 700})
    assert frames.unpack(frames.pack(plain)).ok_value == plain
    assert frames.unpack(frames.pack(newer)).ok_value == newer
    assert frames.pack(newer)[frames.HEADER_SIZE :].startswith(frames.pack(plain)[frames.HEADER_SIZE :])


FOLLOW = fleet_messages.Follow("p", "z", "a:1", identifiers.Term(3, "n"), 7, 4, {"m": 1}, {"r": 2})
UPDATE = fleet_messages.Update(
    identifiers.Term(3, "n"), "n", "a:1", ["a:1"], 7, [], None, False, 4, 4, {}, [], 9
)


@pytest.mark.parametrize(
    "plain, added",
    [
        (FOLLOW, {"last_update": 5}),
        (FOLLOW, {"last_update": 5, "proxy_count": 9}),
        (UPDATE, {"number": 5}),
        (UPDATE, {"number": 5, "is_count_settled": False}),
        (UPDATE, {"number": 5, "is_count_settled": False, "unconfirmed_zones": ["z1", "z2"]}),
        (UPDATE, {"unconfirmed_zones": ["z1"]}),
    ],
)
def test_the_added_fields_of_the_feed_follow_those_that_earlier_releases_know(plain, added):
    newer = dataclasses.replace(plain, **added)
    former_body = frames.pack(plain)[frames.HEADER_SIZE :]
    assert frames.unpack(frames.pack(plain)).ok_value == plain
    assert frames.unpack(frames.pack(newer)).ok_value == newer
    assert frames.pack(newer)[frames.HEADER_SIZE :].startswith(former_body)
