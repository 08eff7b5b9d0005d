"""Classification of replies as evidence of a target's health."""

from __future__ import annotations

import testtools

from sardinedoor_node import health
from sardinedoor_node.owner import monitored
from sardinedoor_node.owner import target
from sardinedoor_schema import codes

_C = codes.Code


class ClassifyTest(testtools.TestCase):
    def test_kind_of_evidence_by_reply(self):
        rows = [
            (
                target.TargetReply(_C.ANSWERED, status=200),
                health.OutcomeKind.ANSWERED,
            ),
            (
                target.TargetReply(_C.ANSWERED, status=503),
                health.OutcomeKind.ERROR,
            ),
            (target.TargetReply(_C.TARGET_TIMEOUT), health.OutcomeKind.TIMEOUT),
            (target.TargetReply(_C.CONNECT_FAILED), health.OutcomeKind.ERROR),
            (
                target.TargetReply(_C.TARGET_CONNECTION_LOST),
                health.OutcomeKind.ERROR,
            ),
            (target.TargetReply(_C.DEADLINE_EXPIRED), None),
            (target.TargetReply(_C.TARGET_TIMEOUT, True), None),
            (target.TargetReply(_C.TARGET_CONNECTION_LOST, True), None),
        ]
        for reply, kind in rows:
            self.assertIs(kind, monitored.classify(reply), str(reply))
