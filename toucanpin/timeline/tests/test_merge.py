"""Tests of the causal merge."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.timeline.event import Cause, Event
from toucanpin.timeline.faults import (
    AmbiguousCause,
    ConflictingCopies,
    Cycle,
    EventId,
    Fault,
    Gap,
    MissingCause,
    explain_fault,
)
from toucanpin.timeline.merge import identify, merge


def make_event(process, sequence, wall, causes=(), incarnation="1", kind="x"):
    """Make an event of a process."""
    return Event(process, incarnation, sequence, wall, wall, kind, {}, "", tuple(causes))


def merge_all(events):
    """Return the processes and sequence numbers in merged order, and the faults."""
    faults: list[Fault] = []
    order = list(merge(events, faults.append))
    return [(event.process, event.sequence) for event in order], faults


class MergeTest(unittest.TestCase):
    def test_cause_precedes_its_effect_although_its_clock_is_ahead(self):
        sent = make_event("a", 1, wall=50.0)
        received = make_event("b", 1, wall=10.0, causes=[Cause("a", 1)])
        order, faults = merge_all([received, sent])
        self.assertEqual(order, [("a", 1), ("b", 1)])
        self.assertEqual(faults, [])

    def test_backward_clock_step_does_not_reorder_a_process(self):
        events = [make_event("a", 1, 10.0), make_event("a", 2, 5.0), make_event("b", 1, 7.0)]
        order, _ = merge_all(events)
        self.assertEqual(order, [("b", 1), ("a", 1), ("a", 2)])

    def test_incarnations_are_ordered_by_number(self):
        events = [
            make_event("a", 1, 3.0, incarnation="10"),
            make_event("a", 1, 9.0, incarnation="9"),
        ]
        merged = list(merge(events, self.fail))
        self.assertEqual([event.incarnation for event in merged], ["9", "10"])

    def test_missing_cause_and_gap_are_reported_and_other_events_kept(self):
        events = [make_event("a", 1, 1.0), make_event("b", 1, 0.0, [Cause("a", 2, "1")])]
        events.append(make_event("a", 4, 5.0))
        order, faults = merge_all(events)
        self.assertEqual(order, [("a", 1), ("b", 1), ("a", 4)])
        self.assertIn(MissingCause(EventId("b", "1", 1), Cause("a", 2, "1")), faults)
        self.assertIn(Gap("a", "1", 2, 3), faults)

    def test_cycle_is_reported_and_every_event_yielded_once(self):
        events = [
            make_event("a", 1, 1.0, [Cause("b", 1)]),
            make_event("b", 1, 2.0, [Cause("a", 1)]),
            make_event("c", 1, 3.0, [Cause("b", 1)]),
        ]
        order, faults = merge_all(events)
        self.assertEqual(order, [("a", 1), ("b", 1), ("c", 1)])
        self.assertEqual(faults, [Cycle(EventId("a", "1", 1))])

    def test_event_of_two_sources_is_yielded_once(self):
        event = make_event("a", 1, 1.0)
        self.assertEqual(merge_all([event, event]), ([("a", 1)], []))
        other = make_event("a", 1, 1.0, kind="y")
        one_way = list(merge([event, other], lambda fault: None))
        other_way = list(merge([other, event], lambda fault: None))
        self.assertEqual(one_way, other_way)
        self.assertEqual(merge_all([event, other])[1], [ConflictingCopies(EventId("a", "1", 1))])

    def test_cause_without_incarnation_means_the_newest_not_after_its_effect(self):
        events = [
            make_event("a", 1, 1.0, incarnation="1"),
            make_event("a", 1, 5.0, incarnation="2"),
            make_event("b", 1, 3.0, [Cause("a", 1)]),
        ]
        faults: list[Fault] = []
        merged = list(merge(events, faults.append))
        self.assertEqual([event.wall for event in merged], [1.0, 3.0, 5.0])
        self.assertEqual(faults, [AmbiguousCause(EventId("b", "1", 1), Cause("a", 1), "1")])
        self.assertIn("b@1#1", explain_fault(faults[0]))

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(st.data())
    def test_any_gathering_order_gives_one_causal_order(self, data):
        """
        Processes send and receive at random while their clocks lie.

        Every event must follow its causes and its process's earlier events, and the same events
        gathered in another order must give the same time line.
        """
        events: list[Event] = []
        count = {"a": 0, "b": 0, "c": 0}
        for _ in range(data.draw(st.integers(1, 25))):
            process = data.draw(st.sampled_from("abc"))
            count[process] += 1
            causes: tuple[Cause, ...] = ()
            if events and data.draw(st.booleans()):
                cause = data.draw(st.sampled_from(events))
                causes = (Cause(cause.process, cause.sequence, "1"),)
            wall = float(data.draw(st.integers(0, 5)))
            events.append(make_event(process, count[process], wall, causes))
        shuffled = data.draw(st.permutations(events))
        faults: list[Fault] = []
        merged = list(merge(shuffled, faults.append))
        self.assertEqual(faults, [])
        self.assertEqual(merged, list(merge(events, faults.append)))
        self.assertCountEqual(merged, events)
        place = {identify(event): number for number, event in enumerate(merged)}
        for event in events:
            if event.sequence > 1:
                before = EventId(event.process, "1", event.sequence - 1)
                self.assertLess(place[before], place[identify(event)])
            for cause in event.causes:
                before = EventId(cause.process, "1", cause.sequence)
                self.assertLess(place[before], place[identify(event)])


if __name__ == "__main__":
    unittest.main()
