"""One program; the role or the verb is the first word."""

import os
import sys
import typing

import basaltport.admin.cli as cli
import basaltport.admin.fleet_cli as fleet_cli
import basaltport.daemon as daemon
import basaltport.query_api.load_generator.cli as paddle
import basaltport.model.cli as model
import basaltport.local_fleet.cli as local_fleet
import basaltport.simulation.query_api.cli as rehearsal
import basaltport.simulation.query_api.drills.drill as drill
import basaltport.simulation.query_api.planner as planner
import basaltport.simulation.query_api.play as play
import basaltport.simulation.routes.play as routes_play
import basaltport.scale.cli as scale
import basaltport.command_line.command as verbs

BAD_INPUT = 2

GROUPS: list[tuple[str, dict[str, verbs.Verb]]] = [
    ("Roles", daemon.VERBS),
    ("Operators' verbs, at any node", cli.VERBS),
    ("Of a fleet behind routes", {**fleet_cli.VERBS, **local_fleet.VERBS}),
    (
        "Tools",
        {
            **paddle.VERBS,
            **rehearsal.VERBS,
            **routes_play.VERBS,
            **play.VERBS,
            **planner.VERBS,
            **drill.VERBS,
            **model.VERBS,
        },
    ),
    ("Scale runs", scale.VERBS),
]


def usage() -> str:
    """The list of all verbs."""
    out = ["usage: basaltport VERB [--flag=value ...] [argument ...]", ""]
    for title, group in GROUPS:
        out.append(title + ":")
        out += [f"  {k:<15} {v.help}" for k, v in group.items()]
        out.append("")
    out += [
        "`basaltport VERB --help` tells a verb's flags.",
        "Exit codes: 0 done, 1 refused or a check failed, 2 bad input, 3 unknown outcome, 4 nobody answered.",
    ]
    return "\n".join(out)


def run(argv: list[str] | None = None) -> typing.NoReturn:
    """Run the verb that is the first argument, and exit with its code."""
    words = list(sys.argv if argv is None else argv)[1:]
    if not words or words[0] in ("-h", "--help", "help"):
        print(usage())
        sys.exit(0 if words else BAD_INPUT)
    known = {k: v for _, group in GROUPS for k, v in group.items()}
    if words[0] not in known:
        print(f"no verb {words[0]!r}\n\n{usage()}", file=sys.stderr)
        sys.exit(BAD_INPUT)
    try:
        code = known[words[0]].call(words) or 0
        sys.stdout.flush()
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
        code = 0
    sys.exit(code)


if __name__ == "__main__":
    run()
