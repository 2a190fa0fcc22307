"""Long lives of one disk: writes, refusals, kills and losses of power in any order, drawn by hypothesis."""

import hypothesis
import hypothesis.strategies as st

import tests.support.crash_files as crash_files
import tests.support.crash_states as crash_states

STEPS = ("promise", "entries", "switch", "mixed", "refuse", "kill", "kill early", "power", "power")
MOMENTS = (
    ["write"],
    ["sync"],
    ["sync", "sync"],
    ["rename"],
    ["rename", "sync"],
    ["rename", "remove"],
    ["cut"],
)


class Life:
    """The files of one member over many processes, and what they must give back."""

    def __init__(self, data: st.DataObject) -> None:
        self.data = data
        self.term = 0
        self.serial = 0
        self.begin(crash_states.Session(crash_states.ready()))

    def begin(self, session: crash_states.Session) -> None:
        self.session = session
        crash_states.SYSTEM.files = session.files
        session.open()

    def choose(self, count: int) -> int:
        return self.data.draw(st.integers(0, count - 1))

    def step(self, name: str) -> None:
        session = self.session
        if name == "refuse":
            start = session.files.operations + self.choose(40)
            session.files.refused = range(start, start + 1 + self.choose(6))
        elif name == "kill":
            session.files.kill_at = session.files.operations + self.choose(60)
        elif name == "kill early":
            session.files.kill_before = list(self.data.draw(st.sampled_from(MOMENTS)))
        elif name == "power":
            self.lose_power()
        else:
            self.write(name)

    def write(self, name: str) -> None:
        self.term += 1
        promise, entries = crash_states.promise(self.term), self.entries()
        if self.session.failed or name == "switch":
            self.session.switch()
        elif name == "promise":
            self.session.append(promise)
        elif name == "entries":
            self.session.append(*entries)
        else:
            self.session.write((entries, False), ([promise], True), (entries, False))

    def entries(self) -> list:
        """Sometimes from a serial on that the tail holds already, as a new leader's are."""
        model = self.session.model
        first = max(model.serial, model.tail[-1][0] - self.choose(2) if model.tail else 0) + 1
        return [crash_states.entry(serial, self.term) for serial in range(first, first + 1 + self.choose(3))]

    def restart(self) -> None:
        self.session.kill()
        self.session.files.refused = range(0)
        self.session.open()

    def lose_power(self) -> None:
        """At one of the last moments."""
        cuts = self.session.cuts[-30:]
        cut = cuts[-1 - self.choose(len(cuts))]
        files = crash_files.Files.after_power_loss(cut.state, self.choose)
        self.begin(crash_states.Session(files, cut.expected, self.session.starts))

    def play(self, names: list[str]) -> None:
        for name in names:
            try:
                self.step(name)
            except crash_files.Killed:
                self.restart()


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(st.lists(st.sampled_from(STEPS), min_size=4, max_size=25), st.data())
def test_whatever_happens_to_it_a_disk_gives_back_what_it_acknowledged(names, data):
    with crash_states.installed():
        Life(data).play(names)
