import unittest

from wagtailtide_gateway.serving import events


class EventSplitterTest(unittest.TestCase):
    def test_only_whole_events_are_passed_on(self):
        # A server that crashes in the middle of an event must not leave the
        # caller with that half followed by the next server's whole event.
        splitter = events.EventSplitter()
        first = splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        second = splitter.feed(b'ta: b\n\n')
        self.assertEqual(first, b'id: 1\ndata: a\n\n')
        self.assertEqual(second, b'id: 2\ndata: b\n\n')
        self.assertEqual((splitter.last_id, splitter.count), ('2', 2))

    def test_unfinished_event_does_not_count(self):
        splitter = events.EventSplitter('7')
        self.assertEqual(splitter.feed(b'id: 8\ndata: x\n'), b'')
        self.assertEqual(splitter.last_id, '7')
        self.assertEqual(splitter.take_partial(), b'id: 8\ndata: x\n')

    def test_event_id_after_another_field_is_recognised(self):
        splitter = events.EventSplitter()
        splitter.feed(b'x-weight-versions: 2\nid: 5\ndata: x\n\n')
        self.assertEqual(splitter.last_id, '5')

    def test_lines_may_end_with_crlf(self):
        splitter = events.EventSplitter()
        complete = splitter.feed(b'id: 3\r\ndata: x\r\n\r\nid')
        self.assertEqual(complete, b'id: 3\r\ndata: x\r\n\r\n')
        self.assertEqual(splitter.last_id, '3')
