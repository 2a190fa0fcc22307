"""The command line: one program; the first words are a role, or what is worked on and what is done."""

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
    """The list of all commands."""
    lines = ["usage: basaltport COMMAND [--flag=value ...] [argument ...]", ""]
    for title, group in GROUPS:
        lines.append(title + ":")
        lines += [f"  {name:<{NAME_WIDTH}} {one.help}" for name, one in group.items()]
        lines.append("")
    lines += [
        "`basaltport COMMAND --help` tells a command's flags.",
        "Exit codes: 0 done, 1 refused or a check failed, 2 bad input, 3 unknown outcome, 4 nobody answered.",
        "Former names of commands still answer: docs/operate/command-line.md lists them.",
    ]
    return "\n".join(lines)


def all_commands() -> Commands:
    """All commands by name; names are one word, or two: a noun and a verb."""
    return {name: one for _, group in GROUPS for name, one in group.items()}


def resolve(words: list[str], commands: Commands) -> list[str] | None:
    """The words of a command line with the command's name as one word, in the place of a former name too;
    None where there is no such command."""
    name = " ".join(words[:2])
    if name in commands:
        return [name, *words[2:]]
    if words[0] in commands:
        return words
    return former_names.translate(words)


def verbs_of(noun: str, commands: Commands) -> str:
    """The verbs of a noun with their arguments, as a sentence has them; "" for no noun."""
    verbs = {name.split(" ")[-1]: one for name, one in commands.items() if name.startswith(noun + " ")}
    return ", or ".join(f"{verb} {one.args}".rstrip() for verb, one in verbs.items())


def bad_command(words: list[str], commands: Commands) -> int:
    """Say why the words name no command; the exit code for that."""
    noun = former_names.NOUNS.get(words[0], words[0])
    verbs = verbs_of(noun, commands)
    if verbs:
        print(f"{noun}: needs {verbs}", file=sys.stderr)
    else:
        print(f"no command {words[0]!r}\n\n{usage()}", file=sys.stderr)
    return exit_codes.BAD_INPUT


def run(argv: list[str] | None = None) -> typing.NoReturn:
    """Run the command that the first words name, and exit with its code."""
    words = list(sys.argv if argv is None else argv)[1:]
    if not words or words[0] in ("-h", "--help", "help"):
        print(usage())
        sys.exit(exit_codes.DONE if words else exit_codes.BAD_INPUT)
    commands = all_commands()
    resolved = resolve(words, commands)
    if resolved is None:
        sys.exit(bad_command(words, commands))
    try:
        code = commands[resolved[0]].call(resolved) or exit_codes.DONE
        sys.stdout.flush()
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), STANDARD_OUTPUT)
        code = exit_codes.DONE
    sys.exit(code)


if __name__ == "__main__":
    run()
