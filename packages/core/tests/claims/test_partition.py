import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model
from wagtailtide_core.claims import partition

_KEYS = tuple(
    model.hash_key('dealer', '/orders', f'key-{n}') for n in range(3)
)
_BODIES = (b'one' * 6, b'two' * 6)


class ConcurrentWriters(stateful.RuleBasedStateMachine):
    """Several writers update one head conditionally, from outdated reads.

    Guards against a second run of a request: two submissions with one key are
    both granted, and neither is released before it could run.
    """

    def __init__(self):
        super().__init__()
        self.stored = codec.encode_head(model.Head())
        self.version = 0
        self.segments = {}
        self.read = dict.fromkeys(range(3), (0, self.stored))
        self.granted = {}
        self.next_id = 0

    def _find_sealed(self, key_hash):
        for number in sorted(self.segments, reverse=True):
            if key_hash in self.segments[number]:
                return self.segments[number][key_hash]
        return None

    def _write(self, writer, head):
        version, _ = self.read[writer]
        if version != self.version:
            return False
        self.version += 1
        self.stored = codec.encode_head(head)
        return True

    @stateful.rule(writer=st.sampled_from(range(3)))
    def reread(self, writer):
        self.read[writer] = (self.version, self.stored)

    @stateful.rule(
        writer=st.sampled_from(range(3)),
        key=st.sampled_from(_KEYS),
        body=st.sampled_from(_BODIES),
        answer_lost=st.booleans(),
    )
    def submit(self, writer, key, body, answer_lost):
        self.next_id += 1
        requested = model.Claim(
            key, body, self.next_id.to_bytes(8, 'big'), f'i{writer}', 1
        )
        self._try_claim(writer, requested)
        if answer_lost:
            # The write is in doubt: read again and ask with the same id.
            self.reread(writer)
            self._try_claim(writer, requested)

    def _try_claim(self, writer, requested):
        head = codec.decode_head(self.read[writer][1])
        new_head, (result,) = partition.claim(
            head, self._find_sealed, (requested,)
        )
        if not self._write(writer, new_head):
            return
        if result.kind is model.ClaimResultKind.GRANTED:
            holders = self.granted.setdefault(requested.key_hash, set())
            holders.add(requested.claim_id)

    @stateful.rule(
        writer=st.sampled_from(range(3)),
        key=st.sampled_from(_KEYS),
        state=st.sampled_from(
            (
                model.ClaimState.DONE,
                model.ClaimState.UNKNOWN,
                model.ClaimState.RELEASED,
            )
        ),
    )
    def change_state(self, writer, key, state):
        head = codec.decode_head(self.read[writer][1])
        found = head.entries.get(key) or self._find_sealed(key)
        if found is None:
            return
        change = model.StateChange(key, found.claim_id, state)
        changed = partition.apply_changes(head, self._find_sealed, (change,))
        if not self._write(writer, changed):
            return
        if changed.entries.get(key, found).state is model.ClaimState.RELEASED:
            # A claim is released only if its request never started.
            self.granted[key].discard(found.claim_id)

    @stateful.rule(writer=st.sampled_from(range(3)))
    def seal(self, writer):
        head = codec.decode_head(self.read[writer][1])
        if self.read[writer][0] != self.version:
            return
        new_head, entries = partition.seal(head, 0)
        if self._write(writer, new_head):
            self.segments[head.next_segment] = codec.decode_segment(
                codec.encode_segment(entries)
            )

    @stateful.invariant()
    def at_most_one_submission_may_run(self):
        for holders in self.granted.values():
            assert len(holders) <= 1


ConcurrentWritersTest = ConcurrentWriters.TestCase
ConcurrentWritersTest.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)


class ClaimTest(unittest.TestCase):
    def test_a_key_of_another_organisation_never_matches(self):
        self.assertNotEqual(
            model.hash_key('a', '/orders', 'k'),
            model.hash_key('b', '/orders', 'k'),
        )
        self.assertNotEqual(
            model.hash_key('ab', 'c', 'k'), model.hash_key('a', 'bc', 'k')
        )

    def test_the_same_key_with_another_body_is_a_mismatch(self):
        first = model.Claim(_KEYS[0], _BODIES[0], b'1', 'i1', 1)
        other = model.Claim(_KEYS[0], _BODIES[1], b'2', 'i2', 1)
        head, _ = partition.claim(model.Head(), lambda _: None, (first,))
        _, (result,) = partition.claim(head, lambda _: None, (other,))
        self.assertIs(result.kind, model.ClaimResultKind.BODY_MISMATCH)

    def test_a_write_whose_answer_was_lost_can_be_repeated(self):
        requested = model.Claim(_KEYS[0], _BODIES[0], b'1', 'i1', 1)
        head, _ = partition.claim(model.Head(), lambda _: None, (requested,))
        _, (result,) = partition.claim(head, lambda _: None, (requested,))
        self.assertIs(result.kind, model.ClaimResultKind.GRANTED)

    def test_an_outcome_is_final(self):
        requested = model.Claim(_KEYS[0], _BODIES[0], b'1', 'i1', 1)
        head, _ = partition.claim(model.Head(), lambda _: None, (requested,))
        outcome = model.Outcome(201, (('content-type', 'text/plain'),), b'ok')
        done = model.StateChange(
            _KEYS[0], b'1', model.ClaimState.DONE, outcome
        )
        lost = model.StateChange(_KEYS[0], b'1', model.ClaimState.UNKNOWN)
        head = partition.apply_changes(head, lambda _: None, (done, lost))
        self.assertEqual(head.entries[_KEYS[0]].outcome, outcome)

    def test_segments_are_dropped_only_after_the_retention(self):
        head, _ = partition.seal(model.Head(), 100.0)
        kept, dropped = partition.drop_expired(head, 150.0, 60.0)
        self.assertEqual((kept, dropped), (head, ()))
        kept, dropped = partition.drop_expired(head, 161.0, 60.0)
        self.assertEqual((kept.sealed, dropped), ((), (0,)))
