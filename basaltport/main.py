"""The command line: the first words name a role to run, or a noun and a verb."""

import os
import sys
import typing

import basaltport.command_line.command as command
import basaltport.command_line.config as config
import basaltport.command_line.exit_codes as exit_codes
import basaltport.command_line.fleet as fleet
import basaltport.command_line.former_names as former_names
import basaltport.daemon as daemon
import basaltport.local_fleet.cli as local_fleet
import basaltport.model.cli as model
import basaltport.query_api.admin.command_line as query_api
import basaltport.query_api.load_generator.cli as load_generator
import basaltport.scale.cli as scale
import basaltport.simulation.query_api.cli as simulation
import basaltport.simulation.query_api.drills.drill as drill
import basaltport.simulation.query_api.planner as planner
import basaltport.simulation.query_api.play as play
import basaltport.simulation.routes.play as routes_play

Commands = dict[str, command.Command]

GROUPS: list[tuple[str, Commands]] = [
    ("A fleet behind routes", {**config.COMMANDS, **fleet.COMMANDS, **local_fleet.COMMANDS}),
    ("The JSON API: roles", daemon.COMMANDS),
    ("The JSON API: operators, at any node", {**query_api.COMMANDS, **planner.COMMANDS}),
    ("The JSON API: trial fleets", {**simulation.COMMANDS, **load_generator.COMMANDS, **drill.COMMANDS}),
    ("Checks", {**routes_play.COMMANDS, **play.COMMANDS, **model.COMMANDS}),
    ("Scale runs", scale.COMMANDS),
]
NAME_WIDTH = 21
STANDARD_OUTPUT = 1


def usage() -> str:
    """Returns the help text that lists all commands."""
    lines = ["usage: basaltport COMMAND [--flag=value ...] [argument ...]", ""]
    for title, group in GROUPS:
        lines.append(title + ":")
        lines += [f"  {name:<{NAME_WIDTH}} {entry.help}" for name, entry in group.items()]
        lines.append("")
    lines += [
        "`basaltport COMMAND --help` tells a command's flags.",
        "Exit codes: 0 done, 1 refused or a check failed, 2 bad input, 3 unknown outcome, 4 nobody answered.",
        "Former names of commands still answer: docs/operate/command-line.md lists them.",
    ]
    return "\n".join(lines)


def all_commands() -> Commands:
    """Returns all commands by name; a name is one word, or a noun and a verb."""
    return {name: entry for _, group in GROUPS for name, entry in group.items()}


def resolve(words: list[str], commands: Commands) -> list[str] | None:
    """Returns the arguments with the command's name joined into the first one, and a former name replaced by
    the current one; None if there is no such command."""
    name = " ".join(words[:2])
    if name in commands:
        return [name, *words[2:]]
    if words[0] in commands:
        return words
    return former_names.translate(words)


def verbs_of(noun: str, commands: Commands) -> str:
    """Returns the verbs of a noun with their arguments, joined by "or"; "" if no command has this noun."""
    verbs = {name.split(" ")[-1]: entry for name, entry in commands.items() if name.startswith(noun + " ")}
    return ", or ".join(f"{verb} {entry.args}".rstrip() for verb, entry in verbs.items())


def report_unknown_command(words: list[str], commands: Commands) -> int:
    """Print why the arguments name no command; returns the exit code."""
    noun = former_names.NOUNS.get(words[0], words[0])
    verbs = verbs_of(noun, commands)
    if verbs:
        print(f"{noun}: needs {verbs}", file=sys.stderr)
    else:
        print(f"no command {words[0]!r}\n\n{usage()}", file=sys.stderr)
    return exit_codes.BAD_INPUT


def run(argv: list[str] | None = None) -> typing.NoReturn:
    """Run the command that the arguments name, and exit with its exit code."""
    words = list(sys.argv if argv is None else argv)[1:]
    if not words or words[0] in ("-h", "--help", "help"):
        print(usage())
        sys.exit(exit_codes.DONE if words else exit_codes.BAD_INPUT)
    commands = all_commands()
    resolved = resolve(words, commands)
    if resolved is None:
        sys.exit(report_unknown_command(words, commands))
    try:
        code = commands[resolved[0]].call(resolved) or exit_codes.DONE
        sys.stdout.flush()
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), STANDARD_OUTPUT)
        code = exit_codes.DONE
    sys.exit(code)


if __name__ == "__main__":
    run()
