"""What must hold of the control machines, checked over a trace, beside the checks of routes."""

import basaltport.simulation.routes.checks as routechecks

UNCLEAR = (0, 408, 429, 500, 502, 503, 504)
find = routechecks.find


def stale_read(trace, about):
    """A read begun after an acknowledgement, or after another read's end, gives that or something newer."""
    out, newest, least, sent = [], 0, {}, changes(trace)
    for r in trace:
        if r["k"] == "answer" and r["verb"] == "configure" and r["status"] == 200:
            newest = max(newest, sent[r["change"]]["edition"])
        if r["k"] == "read":
            least[r["read"]] = (newest, r["node"])
        if r["k"] == "read-end" and r["status"] == 200:
            edition, node = least[r["read"]]
            if r["edition"] < edition:
                out.append(
                    find("stale-read", r, f"{node} gave {r['edition']}; {edition} was in force before")
                )
            newest = max(newest, r["edition"])
    return out


def changes(trace):
    """The rows of changes by id."""
    return {r["change"]: r for r in trace if r["k"] == "change"}


def confirmed(trace):
    """(row, edition) of each acknowledged configuration."""
    sent = changes(trace)
    rows = [r for r in trace if r["k"] == "answer" and r["verb"] == "configure" and r["status"] == 200]
    return [(r, sent[r["change"]]["edition"]) for r in rows]


def two_confirmed(trace, about):
    """Under one number one change is confirmed, and nowhere is another in force."""
    out, by_number = [], {}
    for r, edition in confirmed(trace):
        first = by_number.setdefault(edition, r["change"])
        if first != r["change"]:
            out.append(find("two-confirmed", r, f"{first} and {r['change']} both under {edition}"))
    for r in trace:
        if r["k"] not in ("kept", "edition", "read-end") or not r["change"]:
            continue
        if by_number.get(r["edition"], r["change"]) != r["change"]:
            text = f"{r['change']} in force as {r['edition']}, confirmed is {by_number[r['edition']]}"
            out.append(find("two-confirmed", r, text))
    return out


def wrongly_refused(trace, about):
    """Every change here is valid, so it is refused only where another one on its base came before."""
    out, on_base, sent = [], {}, changes(trace)
    for r in trace:
        if r["k"] == "change" and r["verb"] == "configure":
            on_base.setdefault(r["base"], []).append(r["change"])
        if r["k"] != "answer" or r["status"] in (200, *UNCLEAR):
            continue
        base = sent[r["change"]]["base"]
        others = [c for c in on_base.get(base, ()) if c != r["change"]]
        if r["status"] != 412 or r["verb"] != "configure" or not others:
            out.append(find("wrongly-refused", r, f"{r['change']} on {base} was answered {r['status']}"))
    return out


def refused_but_taken(trace, about):
    """What was refused is in force at no control machine, and no read gives it."""
    no = {r["change"] for r in trace if r["k"] == "answer" and r["status"] not in (200, *UNCLEAR)}
    return [
        find("refused-but-taken", r, f"{r['change']} was refused and is in force as {r['edition']}")
        for r in trace
        if r["k"] in ("kept", "read-end") and r["change"] in no
    ]


def repeat_refused(trace, about):
    """A change that was confirmed, sent again as it was, is confirmed again or left open."""
    yes = {r["change"] for r in trace if r["k"] == "answer" and r["status"] == 200}
    return [
        find("repeat-refused", r, f"{r['change']} again at {r['node']}: {r['status']}")
        for r in trace
        if r["k"] == "repeat" and r["change"] in yes and r["status"] not in (200, *UNCLEAR)
    ]


def controller_back(trace, about):
    """In one life of a control machine no older configuration comes into force."""
    out, newest = [], {}
    for r in trace:
        if r["k"] != "kept":
            continue
        incarnation = r["node"], r["life"]
        if r["edition"] < newest.get(incarnation, 0):
            out.append(find("keeper-back", r, f"{r['node']} went from {newest[life]} to {r['edition']}"))
        newest[incarnation] = r["edition"]
    return out


def old_given(trace, about):
    """No proxy, in touch or not, takes up a configuration that was superseded `apply_ms` ago."""
    out, acked = [], [(r["t"], edition) for r, edition in confirmed(trace)]
    for r in trace:
        if r["k"] != "edition":
            continue
        least = max((e for t, e in acked if t < r["t"] - about["apply_ms"]), default=0)
        if r["edition"] < least:
            out.append(find("old-given", r, f"{r['node']} took up {r['edition']}, {least} was acknowledged"))
    return out


def one_holder(trace, about):
    """At most one control machine holds at a time, and it has all that is acknowledged in force."""
    out = []
    for r in trace:
        if r["k"] != "holders":
            continue
        if len(r["nodes"]) > 1:
            out.append(find("one-holder", r, f"{r['nodes']} hold at once"))
        if r["behind"]:
            out.append(
                find("holder-behind", r, f"{r['behind']} without {r['acked']}, which was acknowledged")
            )
    return out


def bounds(trace, about):
    """What was to be there within a stated time was."""
    out = []
    for r in trace:
        if r["k"] == "bound" and (r["took"] is None or r["took"] > r["most"]):
            took = "never" if r["took"] is None else f"after {r['took']} ms"
            out.append(find(r["what"], r, f"there {took}, to be there within {r['most']} ms"))
    return out


CHECKS = (
    stale_read,
    two_confirmed,
    wrongly_refused,
    refused_but_taken,
    repeat_refused,
    controller_back,
    old_given,
    one_holder,
    bounds,
)


def run(trace, about):
    return [f for check in CHECKS for f in check(trace, about)]
