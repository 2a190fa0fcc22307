"""A verb of the command line: its help, its flags, its function."""

import collections.abc
import sys

import absl.flags as flags


Run = collections.abc.Callable[[flags.FlagValues, list[str]], int | None]
Define = collections.abc.Callable[[flags.FlagValues], None]


class Verb:
    """`define` adds flags to the verb's own set; `run` gets them and the arguments, gives an exit code."""

    def __init__(self, help: str, run: Run, define: Define | None = None, args: str = "") -> None:
        """`help` is the line of the list of verbs, `args` names the arguments."""
        self.help = help
        self.run = run
        self.define = define
        self.args = args

    def call(self, argv: list[str]) -> int | None:
        """Parse flags, `argv` beginning with the verb, and run; the exit code."""
        fv = flags.FlagValues()
        flags.DEFINE_bool("help", False, "Show this help.", short_name="h", flag_values=fv)
        if self.define:
            self.define(fv)
        try:
            rest = fv(argv)
        except flags.Error as e:
            print(f"basaltport {argv[0]}: {e}", file=sys.stderr)
            return 2
        if fv.help:
            print(f"usage: basaltport {argv[0]} [flags] {self.args}\n\n{self.help}\n{fv.get_help()}")
            return 0
        return self.run(fv, rest[1:])
