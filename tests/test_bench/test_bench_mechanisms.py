"""Texts that the mutation testing replaces."""

from __future__ import annotations

import mechanisms
import testtools


class MechanismsTest(testtools.TestCase):
    def test_each_text_is_once_in_the_source(self):
        self.assertEqual([], mechanisms.missing_texts())
