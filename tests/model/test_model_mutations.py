"""Each check of the model is seen to fail, and holds on the same seed where nothing is broken."""

import pytest

import basaltport.model.finding as finding
import basaltport.model.run as run
import tests.support.model_mutations as mutations
import tests.support.model_word_mutations as word_mutations

MUTATIONS = [*mutations.MUTATIONS, *word_mutations.MUTATIONS]


@pytest.mark.parametrize("mutation", MUTATIONS, ids=[m.name for m in MUTATIONS])
def test_a_broken_rule_is_found_and_an_unbroken_one_holds(mutation):
    found = mutation.find()
    assert found is not None
    assert run.play(mutation.plan(found[0])).broken is None


def test_every_check_is_seen_red_by_a_mutation():
    assert set().union(*(m.rules for m in MUTATIONS)) == set(finding.Rule)


def test_the_page_lists_every_mutation(request):
    page = (request.config.rootpath / "docs" / "model.md").read_text()
    assert [m.name for m in MUTATIONS if f"| {m.name} |" not in page] == []
