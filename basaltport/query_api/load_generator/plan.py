"""What is to be sent and when: demand documents, checked, and the open-loop schedule made from them."""

import random
import typing

import result
import trafaret

import basaltport.configuration.check as check

Demand = dict[str, typing.Any]


class Planned(typing.NamedTuple):
    """One request to send: when, in seconds from the start, on which line, for what, and as whom."""

    at: float
    line: str
    item: str
    sender: str


_RATE = trafaret.Float(gte=0, lte=100_000) | trafaret.Int(gte=0, lte=100_000)
LINE = trafaret.Dict(
    {
        trafaret.Key("rate"): _RATE,
        trafaret.Key("items"): trafaret.List(trafaret.String(), min_length=1),
        trafaret.Key("senders"): trafaret.Mapping(trafaret.String(), trafaret.String()),
        trafaret.Key("stream", optional=True): trafaret.Bool(),
    }
)
BURST = trafaret.Dict(
    {
        trafaret.Key("line"): trafaret.String(),
        trafaret.Key("at_s"): _RATE,
        trafaret.Key("for_s"): _RATE,
        trafaret.Key("factor"): _RATE,
    }
)
DEMAND = trafaret.Dict(
    {
        trafaret.Key("lines"): trafaret.Mapping(trafaret.String(), LINE),
        trafaret.Key("bursts", default=[]): trafaret.List(BURST),
    }
)


def demand(doc: object) -> result.Result[Demand, check.Findings]:
    """The demand of a document, or all findings."""
    got = check.validate(DEMAND, doc)
    if isinstance(got, result.Err):
        return got
    fs = []
    lines = got.ok_value["lines"]
    for n, b in enumerate(got.ok_value["bursts"]):
        if b["line"] not in lines:
            fs.append({"place": f"bursts.{n}.line", "finding": f"no line {b['line']!r}"})
    for k, v in lines.items():
        if not v["senders"]:
            fs.append({"place": f"lines.{k}.senders", "finding": "at least one sender is needed"})
    return result.Err(fs) if fs else got


def rate_at(d: Demand, line: str, t: float) -> float:
    """A line's rate at a time, with the bursts of that time."""
    rate: float = d["lines"][line]["rate"]
    for b in d["bursts"]:
        if b["line"] == line and b["at_s"] <= t < b["at_s"] + b["for_s"]:
            rate *= b["factor"]
    return rate


def schedule(d: Demand, seconds: float, seed: int) -> list[Planned]:
    """All shots by time; the same for the same seed."""
    out = []
    for line in sorted(d["lines"]):
        v = d["lines"][line]
        rng = random.Random(f"{seed}/{line}")
        peak = v["rate"] * max([1] + [b["factor"] for b in d["bursts"] if b["line"] == line])
        t = 0.0
        while peak > 0:
            t += rng.expovariate(peak)
            if t >= seconds:
                break
            if rng.random() * peak > rate_at(d, line, t):
                continue
            out.append(Planned(t, line, rng.choice(v["items"]), rng.choice(sorted(v["senders"]))))
    out.sort()
    return out
