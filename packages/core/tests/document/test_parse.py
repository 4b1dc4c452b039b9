import json
import re
import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.document import fast_read
from wagtailtide_core.document import parse
from wagtailtide_core.document import positions

JSON = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
    max_leaves=20,
)


class ParseTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=300)
    @hypothesis.given(strategies.binary() | strategies.text())
    def test_any_input_gives_a_document_or_problems(self, data):
        # An exception would end the task of an instance that reads documents.
        parsed = parse.parse(data)
        self.assertEqual(parsed.document is None, bool(parsed.problems))

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(JSON)
    def test_comments_and_trailing_commas_do_not_change_the_value(self, value):
        # json.dumps writes line breaks only between tokens.
        text = json.dumps(value, indent=1)
        text = re.sub(r'(\n *[\]}])', r',\1', text)
        text = text.replace('\n', ' /* , } */ // ]\n')
        self.assertEqual(json.loads(positions.locate(text).plain), value)
        self.assertEqual(fast_read.read(text), value)

    def test_a_large_document_in_json5_is_refused_quickly_with_its_line(self):
        models = ',\n'.join("{name: 'm'}" for _ in range(8_000))
        parsed = parse.parse(f'{{"service": "s", "models": [\n{models}]}}')
        self.assertEqual(parsed.problems[0].line, 2)
        self.assertIn('double quotes', parsed.problems[0].advice)
