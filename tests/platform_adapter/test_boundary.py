"""Tests that only the adapter uses the platform's names."""

import pathlib
import re
import unittest

PACKAGE = pathlib.Path(__file__).parents[2] / 'lavenderstile'
ADAPTER = PACKAGE / 'platform'

# Names of the platform's headers, settings and calls. The product has its own
# name for each of them.
NAMES = (
    r'x-lavenderstile-',
    r'server-(limit|leaving)',
    r'kv-(key|range|watch)',
    r'op/(config|evacuate)',
    r'(?<![./\w])servers/',
    r'apiKeys|api_keys',
    r'trafficSplit|traffic_split',
    r'ratePerS|rate_per_s',
    r'targetLatencyS|target_latency_s',
    r'warmupLeftS|warmup_left_s',
    r'LAVENDERSTILE_NODE_FILE',
    r'retryBudgetRatio|budgetSlack|graceS',
)
PATTERN = re.compile('|'.join(NAMES), re.IGNORECASE)

# Limit for the size of the adapter, which only translates.
MAX_LINES = 800


class BoundaryTest(unittest.TestCase):
    """Guards against dependencies of the product on names of the platform."""

    def test_no_name_is_used_outside_the_adapter(self):
        found = [
            f'{path.relative_to(PACKAGE)}:{number}: {line.strip()}'
            for path in sorted(PACKAGE.rglob('*.py'))
            if ADAPTER not in path.parents
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if PATTERN.search(line)
        ]
        self.assertEqual(found, [])

    def test_the_pattern_finds_the_adapters_names(self):
        text = ''.join(path.read_text() for path in ADAPTER.glob('*.py'))
        self.assertGreater(len(PATTERN.findall(text)), 10)

    def test_the_adapter_is_small(self):
        lines = sum(
            len(path.read_text().splitlines()) for path in ADAPTER.glob('*.py')
        )
        self.assertLess(lines, MAX_LINES)
