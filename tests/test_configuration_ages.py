"""Tests of the age of the configuration in force."""

import unittest

from lavenderstile import configuration_ages


class ConfigurationAgesTest(unittest.TestCase):
    """Guards against rights that grow before all hosts have a change."""

    def setUp(self):
        self.ages = configuration_ages.ConfigurationAges()

    def test_a_new_state_has_no_age(self):
        self.assertEqual(self.ages.get_age(b'a', 10.0), 0.0)
        self.assertEqual(self.ages.get_age(b'a', 13.0), 3.0)

    def test_a_longer_age_of_a_peer_counts(self):
        self.ages.record(b'a', 60.0, 10.0)
        self.assertEqual(self.ages.get_age(b'a', 11.0), 61.0)

    def test_a_shorter_age_of_a_peer_is_ignored(self):
        self.ages.record(b'a', 60.0, 10.0)
        self.ages.record(b'a', 1.0, 10.0)
        self.assertEqual(self.ages.get_age(b'a', 10.0), 60.0)

    def test_states_have_their_own_ages(self):
        self.ages.record(b'a', 60.0, 10.0)
        self.assertEqual(self.ages.get_age(b'b', 10.0), 0.0)

    def test_memory_is_bounded(self):
        limit = configuration_ages.MAX_DIGESTS
        self.ages.record(b'a', 60.0, 10.0)
        for number in range(limit):
            self.ages.record(b'%d' % number, 0.0, 10.0)
        self.assertEqual(self.ages.get_age(b'a', 10.0), 0.0)
