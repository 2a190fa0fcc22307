"""Defines a command of the command line: its help text, flags and function."""

import collections.abc
import sys

import absl.flags as flags

import basaltport.command_line.exit_codes as exit_codes

Run = collections.abc.Callable[[flags.FlagValues, list[str]], int | None]
Define = collections.abc.Callable[[flags.FlagValues], None]


class Command:
    """One command: `define` adds its flags, `run` executes it and returns an exit code."""

    def __init__(self, help: str, run: Run, define: Define | None = None, args: str = "") -> None:
        """Create a command; `help` is its line in the list of commands, `args` names its arguments."""
        self.help = help
        self.run = run
        self.define = define
        self.args = args

    def call(self, argv: list[str]) -> int | None:
        """Parse `argv`, which begins with the command's name, run the command and return its exit code."""
        values = flags.FlagValues()
        flags.DEFINE_bool("help", False, "Show this help.", short_name="h", flag_values=values)
        if self.define:
            self.define(values)
        try:
            arguments = values(argv)
        except flags.Error as error:
            print(f"basaltport {argv[0]}: {error}", file=sys.stderr)
            return exit_codes.BAD_INPUT
        if values.help:
            print(f"usage: basaltport {argv[0]} [flags] {self.args}\n\n{self.help}\n{values.get_help()}")
            return exit_codes.DONE
        return self.run(values, arguments[1:])
