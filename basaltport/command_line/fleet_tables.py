"""What the answers of controllers and proxies look like on the terminal."""

import typing

import basaltport.command_line.output as output

MS_PER_SECOND = 1000
ORDER_COLUMNS = ["replica", "goal", "for", "kind", "item", "state", "age_ms", "since_ms"]
CONTROLLER_COLUMNS = ["name", "zone", "addr", "http", "votes", "silent_ms"]
PROXY_COLUMNS = ["name", "zone", "address", "silent_ms", "serial", "behind"]
PROXY_REPLICA_COLUMNS = "id service zone state running down_ms failures first_ms cold_ms lacks".split()
MODEL_COLUMNS = ["model", "copies", "rate_s", "due", "due_zones", "loading", "wanted_ms"]
REPLICA_COLUMNS = ["id", "service", "zone", "state", "mb", "running", "slots", "known", "models"]

Document = dict[str, typing.Any]


def pairs(value: typing.Iterable[object]) -> str:
    """A small map or list in a cell."""
    if not isinstance(value, dict):
        return " ".join(map(str, value))
    return " ".join(
        f"{key}({','.join(inner)})" if isinstance(inner, list) else f"{key}:{inner}"
        for key, inner in value.items()
    )


def age(ms: int | None) -> str:
    """How long ago something was."""
    return "never" if ms is None else f"{ms / MS_PER_SECOND:.1f} s ago"


def status(answer: Document) -> None:
    """The status of a controller or a proxy."""
    if answer["role"] == "proxy":
        proxy_status(answer)
    else:
        controller_status(answer)


def controller_status(answer: Document) -> None:
    """The status of a controller."""
    leader, term, log_index = answer["leader"] or "none", answer["generation"], answer["serial"]
    print(f"{answer['name']}: leader {leader}, generation {term}, serial {log_index}")
    evacuated = ", ".join(answer["evacuated"]) or "none"
    print(f"configuration {answer['edition'] or 'none yet'}; evacuated: {evacuated}")
    if answer["leads"]:
        holds = f"holds fence {answer['fence']}" if answer["holds"] else "does not hold"
        print(f"{holds}; list of replicas read {age(answer['list_age_ms'])}")
    output.section("unsettled", [{"reason": reason} for reason in answer["unsettled"]], ["reason"])
    controllers = answer["controllers"] if "controllers" in answer else answer["keepers"]
    output.section("controllers", controllers, CONTROLLER_COLUMNS)
    output.section("proxies", answer["proxies"], PROXY_COLUMNS)
    output.section("orders", answer["orders"], ORDER_COLUMNS)


def proxy_status(answer: Document) -> None:
    """The status of a proxy."""
    ready = "ready" if answer["ready"] else "not ready"
    led = "led" if answer["led"] else "not led"
    print(f"{answer['name']}: {ready}, {led} by {answer['leader_address'] or 'nobody'}")
    edition, log_index = answer["edition"] or "none yet", answer["serial"]
    print(f"configuration {edition}, serial {log_index}, rows {age(answer['rows_age_ms'])}")
    sent = sum(answer["runs"].values())
    print(f"{answer['requests']} requests, {sent} sent; {answer['proxies']} proxies")
    output.section("waiting", answer["queue"], ["service", "item", "waiting", "oldest_ms"])
    output.section("replicas", answer["replicas"], PROXY_REPLICA_COLUMNS, lacks=pairs)
    ends = [{"outcome": outcome, "count": count} for outcome, count in answer["tally"].items()]
    output.section("ends", ends, ["outcome", "count"])
    retries = [{"service": service, **row} for service, row in answer["retries"].items()]
    output.section("further attempts", retries, ["service", "first", "further", "left"])


def placement(answer: Document) -> None:
    """Models, copies, wants, loads and replicas."""
    print(f"by {answer['leader']}, fence {answer['fence']}")
    output.section("models", answer["models"], MODEL_COLUMNS, copies=pairs, due_zones=pairs, loading=pairs)
    output.section("wanted", answer["wants"], ["item", "age_ms", "waiting", "zones"], zones=pairs)
    output.section("loads under way", answer["loads"], ORDER_COLUMNS)
    replicas = [{**row, "mb": f"{row['used_mb']}/{row['room_mb']}"} for row in answer["replicas"]]
    output.section("replicas", replicas, REPLICA_COLUMNS, models=pairs)


def explanation(answer: Document) -> None:
    """What a proxy would do with a request."""
    route = answer["route"]
    if route is None:
        why = f", {answer['why']}," if answer["outcome"] == "refused" else ""
        print(f"{answer['outcome']} ({answer['status']}){why} for {answer['host']}{answer['path']}")
        return
    attempts, deadline_ms = route["attempts"], route["deadline_ms"]
    access = answer["access"]
    key = ", needs a key" if access["needs_key"] else ""
    print(f"route {route['name']}: {route['kind']}, {attempts} attempts, {deadline_ms} ms{key}")
    if access["outcome"] == "refused":
        print(f"refused ({access['status']}), {access['why']}")
    for outcome in answer["outcomes"]:
        print(outcome_line(outcome))
        output.section("candidates", outcome["candidates"], ["replica", "zone", "verdict", "score"])


def outcome_line(outcome: Document) -> str:
    """What would become of a request at one of the services that it may go to."""
    line = f"service {outcome['service']} ({outcome['part']:.0%}): {outcome['outcome']}"
    if outcome["outcome"] == "sent":
        line += f" to {outcome['replica']} at {outcome['address']}"
    if outcome["outcome"] == "waits":
        line += f", {outcome['why']}; at most {outcome['at_most_ms']} ms, {outcome['ahead']} ahead"
    if outcome["outcome"] == "refused":
        line += f" ({outcome['status']}), {outcome['why']}; again after {outcome['retry_after_ms']} ms"
    return line
