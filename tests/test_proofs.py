"""Tests that docs/proofs.md is complete and cites tests that exist."""

import pathlib
import re
import unittest

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
PROOFS = (DOCS / 'proofs.md').read_text()
DESIGN = (DOCS / 'design.md').read_text()

VERDICTS = ('proved', 'partly', 'not proved', 'measured')
# Column numbers of a row, from 0.
STATEMENT = 1
TESTS = 3
VERDICT = 6
TEST_ID = re.compile(r'`(tests\.[\w.]+)`')


def list_rows(text):
    """Return the cells of each row with an id such as I1."""
    rows = re.findall(r'^\| ([IFM]\d+ \|.*) \|$', text, re.MULTILINE)
    return [[cell.strip() for cell in row.split(' | ')] for row in rows]


def find_section(number):
    """Return the text of a subsection of the design page."""
    _, _, later_text = DESIGN.partition(f'\n### {number} ')
    return later_text.partition('\n### ')[0].partition('\n')[2]


def join_lines(text):
    """Return a text with each run of white space as one space."""
    return ' '.join(text.split())


def list_invariants():
    """Return (id, statement) of each invariant."""
    return re.findall(
        r'^\| (I\d+) \| (.*?) \|', find_section('1.1'), re.MULTILINE
    )


def list_measures():
    """Return the measures, which semicolons separate in one sentence."""
    sentence = join_lines(find_section('1.2')).partition('. ')[0]
    _, _, listed = sentence.partition(': ')
    return [part.removeprefix('and ') for part in listed.split('; ')]


def list_failures():
    """Return the failures of the list and of the sentences below it."""
    list_text, _, later_text = find_section('1.4').partition(
        '\n\nAny of these'
    )
    items = re.split(r'^- ', list_text, flags=re.MULTILINE)[1:]
    failures = [join_lines(item).removesuffix('.') for item in items]
    combined, _, added = join_lines(later_text).partition('. In addition, ')
    failures.append('Any of these ' + combined)
    workspace, _, domains = added.removesuffix('.').partition(', and ')
    return [*failures, workspace, domains]


class ProofsTest(unittest.TestCase):
    """Guards against statements of the design that no test proves."""

    def setUp(self):
        super().setUp()
        self.rows = list_rows(PROOFS)

    def check_statements(self, letter, expected):
        stated = {
            row[STATEMENT] for row in self.rows if row[0].startswith(letter)
        }
        self.assertEqual(stated, set(expected))

    def test_every_named_test_exists(self):
        """Guards against cited tests that were renamed or removed."""
        names = sorted(set(TEST_ID.findall(PROOFS)))
        self.assertTrue(names)
        loader = unittest.TestLoader()
        for name in names:
            suite = loader.loadTestsFromName(name)
            self.assertGreater(suite.countTestCases(), 0, name)
        self.assertEqual(loader.errors, [])

    def test_every_row_has_a_verdict(self):
        """Guards against rows without a verdict or its reason."""
        for row in self.rows:
            self.assertEqual(len(row), VERDICT + 1, row)
            self.assertTrue(all(row), row)
            word, _, reason = row[VERDICT].partition(':')
            self.assertIn(word, VERDICTS, row)
            self.assertTrue(reason.strip(), row)

    def test_every_proof_names_a_test(self):
        """Guards against a proof that cites no test."""
        for row in self.rows:
            if not row[VERDICT].startswith('not proved'):
                self.assertTrue(TEST_ID.findall(row[TESTS]), row)

    def test_ids_are_unique(self):
        """Guards against two rows with the same id."""
        ids = [row[0] for row in self.rows]
        self.assertEqual(len(ids), len(set(ids)))

    def test_every_invariant_has_a_row(self):
        expected = dict(list_invariants())
        self.assertEqual(len(expected), 11)
        found = {
            row[0]: row[STATEMENT]
            for row in self.rows
            if row[0].startswith('I')
        }
        self.assertEqual(found, expected)

    def test_every_failure_has_a_row(self):
        self.assertEqual(len(list_failures()), 11)
        self.check_statements('F', list_failures())

    def test_every_measure_has_a_row(self):
        self.assertEqual(len(list_measures()), 4)
        self.check_statements('M', list_measures())
