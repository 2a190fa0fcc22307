"""A process's settings: a JSON file, flags over it, all findings together."""

import re

import result
import trafaret

import basaltport.configuration.check as check
import basaltport.configuration.read as read

_ADDR = trafaret.Regexp(re.compile(r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"))

FORM = trafaret.Dict(
    {
        trafaret.Key("house"): check.NAME,
        trafaret.Key("name"): check.NAME,
        trafaret.Key("zone"): check.NAME,
        trafaret.Key("addr"): _ADDR,
        trafaret.Key("http"): _ADDR,
        trafaret.Key("seeds"): trafaret.List(_ADDR, min_length=1, max_length=16),
        trafaret.Key("expected_seats"): check.whole(1, 1000),
        trafaret.Key("expected_ledgers", default=3): check.whole(1, 9),
        trafaret.Key("data", optional=True): trafaret.String(),
        trafaret.Key("log", optional=True): trafaret.String(),
        trafaret.Key("operator_token", optional=True): check.HASH,
        trafaret.Key("body_limit", default=1_000_000): check.whole(100, 100_000_000),
        trafaret.Key("manifest_limit", default=48_000_000): check.whole(100, 60_000_000),
    }
)


def load(path, over, role):
    try:
        with open(path) as f:
            got = read.loads(f.read())
    except OSError as e:
        return result.Err([{"place": path, "finding": e.strerror}])
    except UnicodeDecodeError:
        return result.Err([{"place": path, "finding": "not text"}])
    if got.is_err():
        return got
    doc = got.ok_value
    if not isinstance(doc, dict):
        return result.Err([{"place": path, "finding": "not an object"}])
    doc.update({k: v for k, v in over.items() if v is not None})
    got = check.shape(FORM, doc)
    if got.is_err():
        return got
    s = got.ok_value
    fs = []
    if role == "ledger" and not s.get("data"):
        fs.append({"place": "data", "finding": "a ledger needs a data folder"})
    if s["addr"] == s["http"]:
        fs.append({"place": "http", "finding": "same as addr"})
    if set(s["seeds"]) == {s["addr"]}:
        fs.append({"place": "seeds", "finding": "the only seed is this member itself"})
    return result.Err(fs) if fs else result.Ok(s)
