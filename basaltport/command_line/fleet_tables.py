"""Prints the answers of controllers and proxies as text and tables."""

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


def format_pairs(value: typing.Iterable[object]) -> str:
    """Format a small map or list for a table cell."""
    if not isinstance(value, dict):
        return " ".join(map(str, value))
    return " ".join(
        f"{key}({','.join(inner)})" if isinstance(inner, list) else f"{key}:{inner}"
        for key, inner in value.items()
    )


def format_age(ms: int | None) -> str:
    """Format an age in milliseconds as `1.2 s ago`; `never` for None."""
    return "never" if ms is None else f"{ms / MS_PER_SECOND:.1f} s ago"


def status(answer: Document) -> None:
    """Print the status of a controller or a proxy."""
    if answer["role"] == "proxy":
        print_proxy_status(answer)
    else:
        print_controller_status(answer)


def print_controller_status(answer: Document) -> None:
    """Print the status of a controller."""
    leader, term, log_index = answer["leader"] or "none", answer["generation"], answer["serial"]
    print(f"{answer['name']}: leader {leader}, generation {term}, serial {log_index}")
    evacuated = ", ".join(answer["evacuated"]) or "none"
    print(f"configuration {answer['edition'] or 'none yet'}; evacuated: {evacuated}")
    if answer["leads"]:
        holds = f"holds fence {answer['fence']}" if answer["holds"] else "does not hold"
        print(f"{holds}; list of replicas read {format_age(answer['list_age_ms'])}")
    output.section("unsettled", [{"reason": reason} for reason in answer["unsettled"]], ["reason"])
    controllers = answer["controllers"] if "controllers" in answer else answer["keepers"]
    output.section("controllers", controllers, CONTROLLER_COLUMNS)
    output.section("proxies", answer["proxies"], PROXY_COLUMNS)
    output.section("orders", answer["orders"], ORDER_COLUMNS)


def print_proxy_status(answer: Document) -> None:
    """Print the status of a proxy."""
    ready = "ready" if answer["ready"] else "not ready"
    led = "led" if answer["led"] else "not led"
    print(f"{answer['name']}: {ready}, {led} by {answer['leader_address'] or 'nobody'}")
    edition, log_index = answer["edition"] or "none yet", answer["serial"]
    print(f"configuration {edition}, serial {log_index}, rows {format_age(answer['rows_age_ms'])}")
    sent = sum(answer["runs"].values())
    print(f"{answer['requests']} requests, {sent} sent; {answer['proxies']} proxies")
    output.section("waiting", answer["queue"], ["service", "item", "waiting", "oldest_ms"])
    output.section("replicas", answer["replicas"], PROXY_REPLICA_COLUMNS, lacks=format_pairs)
    outcomes = [{"outcome": outcome, "count": count} for outcome, count in answer["tally"].items()]
    output.section("ends", outcomes, ["outcome", "count"])
    retries = [{"service": service, **row} for service, row in answer["retries"].items()]
    output.section("further attempts", retries, ["service", "first", "further", "left"])


def placement(answer: Document) -> None:
    """Print models with their copies, waiting requests, running loads and replicas."""
    print(f"by {answer['leader']}, fence {answer['fence']}")
    output.section(
        "models",
        answer["models"],
        MODEL_COLUMNS,
        copies=format_pairs,
        due_zones=format_pairs,
        loading=format_pairs,
    )
    output.section("wanted", answer["wants"], ["item", "age_ms", "waiting", "zones"], zones=format_pairs)
    output.section("loads under way", answer["loads"], ORDER_COLUMNS)
    replicas = [{**row, "mb": f"{row['used_mb']}/{row['room_mb']}"} for row in answer["replicas"]]
    output.section("replicas", replicas, REPLICA_COLUMNS, models=format_pairs)


def explanation(answer: Document) -> None:
    """Print what a proxy would do with a request."""
    route = answer["route"]
    if route is None:
        reason = f", {answer['why']}," if answer["outcome"] == "refused" else ""
        print(f"{answer['outcome']} ({answer['status']}){reason} for {answer['host']}{answer['path']}")
        return
    attempts, deadline_ms = route["attempts"], route["deadline_ms"]
    access = answer["access"]
    key = ", needs a key" if access["needs_key"] else ""
    print(f"route {route['name']}: {route['kind']}, {attempts} attempts, {deadline_ms} ms{key}")
    if access["outcome"] == "refused":
        print(f"refused ({access['status']}), {access['why']}")
    for outcome in answer["outcomes"]:
        print(format_outcome(outcome))
        output.section("candidates", outcome["candidates"], ["replica", "zone", "verdict", "score"])


def format_outcome(outcome: Document) -> str:
    """Format the outcome of a request at one of the services that its route may choose."""
    line = f"service {outcome['service']} ({outcome['part']:.0%}): {outcome['outcome']}"
    if outcome["outcome"] == "sent":
        line += f" to {outcome['replica']} at {outcome['address']}"
    if outcome["outcome"] == "waits":
        line += f", {outcome['why']}; at most {outcome['at_most_ms']} ms, {outcome['ahead']} ahead"
    if outcome["outcome"] == "refused":
        line += f" ({outcome['status']}), {outcome['why']}; again after {outcome['retry_after_ms']} ms"
    return line
