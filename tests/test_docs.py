"""Tests that the pages cover the reasons, metrics and modules."""

import pathlib
import re
import unittest

from lavenderstile import metrics
from lavenderstile import verdicts

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / 'docs'
PAGES = [ROOT / 'README.md', *sorted(DOCS.rglob('*.md'))]
LINK = re.compile(r'\]\(([^)\s]+)\)')
SCHEME = re.compile(r'[a-z][a-z+.-]*:')


def read_page(name):
    """Return the text of a page."""
    return (DOCS / name).read_text()


def list_rows(text):
    """Return the cells of each row whose first cell is code."""
    found = re.findall(r'^\| (`.*) \|$', text, re.MULTILINE)
    return [[cell.strip() for cell in row.split(' | ')] for row in found]


def list_links(page):
    """Return the targets of relative links without their fragments."""
    links = LINK.findall(page.read_text())
    paths = [link.partition('#')[0] for link in links]
    return [path for path in paths if path and not SCHEME.match(path)]


class CallersPageTest(unittest.TestCase):
    """Guards against refusals that callers cannot look up."""

    def test_every_reason_has_a_row_with_its_status(self):
        codes = {reason.value for reason in verdicts.Reason}
        rows = {
            row[0].strip('`'): row
            for row in list_rows(read_page('callers.md'))
            if len(row) == 5
        }
        self.assertEqual(set(rows), codes)
        for reason, status in verdicts.STATUS_BY_REASON.items():
            row = rows[reason.value]
            self.assertEqual(row[1], str(status), row)
            self.assertTrue(all(row), row)


class OperatorsPageTest(unittest.TestCase):
    """Guards against metrics that operators cannot look up."""

    def test_every_metric_has_a_row(self):
        body, _ = metrics.Metrics().render()
        names = re.findall(r'^# TYPE (\S+) ', body.decode(), re.MULTILINE)
        self.assertTrue(names)
        rows = {
            row[0].strip('`'): row
            for row in list_rows(read_page('operators.md'))
            if row[0].startswith('`lavenderstile_')
        }
        self.assertEqual(set(rows), set(names))
        for row in rows.values():
            self.assertEqual(len(row), 4, row)
            self.assertTrue(all(row), row)


class DevelopersPageTest(unittest.TestCase):
    """Guards against modules that the page does not describe."""

    def test_every_module_has_a_row(self):
        modules = {path.name for path in (ROOT / 'lavenderstile').glob('*.py')}
        rows = {
            row[0].strip('`'): row
            for row in list_rows(read_page('developers.md'))
        }
        self.assertEqual(set(rows), modules)
        for row in rows.values():
            self.assertTrue(all(row), row)


class LinkTest(unittest.TestCase):
    """Guards against broken links."""

    def test_relative_links_lead_to_files(self):
        links = [(page, link) for page in PAGES for link in list_links(page)]
        self.assertTrue(links)
        broken = [
            (page.name, link)
            for page, link in links
            if not (page.parent / link).exists()
        ]
        self.assertEqual(broken, [])

    def test_the_first_page_leads_to_all_others(self):
        """Guards against pages that the README does not link to."""
        linked = {(ROOT / link).resolve() for link in list_links(PAGES[0])}
        direct = set(DOCS.glob('*.md'))
        self.assertTrue(direct)
        self.assertLessEqual({path.resolve() for path in direct}, linked)
