import random
import unittest

from wagtailtide_gateway.decisions import batch_pace

# Times of the models' requests in the batch, relative to each other.
TIMES = {'small': 0.11, 'medium': 0.4, 'large': 1.0}
STEP_S = 0.25

# What is learned may differ from the true pace by this much.
TOLERANCE = 0.1


def make_batch(draw):
    """Return seconds of running requests by model."""
    return {model: draw.choice((0, 0, 1, 2, 4)) for model in TIMES}


def true_factor(batch):
    """Return the mean of the times of a batch relative to a usual one."""
    total = sum(batch.values())
    return sum(TIMES[m] * n for m, n in batch.items()) / total / 0.5


def learn(slow=None, seconds=30, servers=6, others=0):
    """Return a BatchPace that has seen batches of several servers.

    Args:
        slow: Index of a server at half speed, None if there is none.
        seconds: Time in seconds.
        servers: Number of servers.
        others: Requests for unknown models in each batch.
    """
    draw = random.Random(1)
    learned = batch_pace.BatchPace()
    for _ in range(round(seconds / STEP_S)):
        rows = []
        for i in range(servers):
            batch = make_batch(draw)
            if not sum(batch.values()):
                continue
            slowness = 2.0 if i == slow else 1.0
            works = [
                batch_pace.Work(
                    (model, False), n, n * slowness * true_factor(batch)
                )
                for model, n in batch.items()
                if n
            ]
            contents = batch_pace.contents_of({**batch, None: others}, 1.0)
            rows.append((contents, works, 0.7 if i == slow else 0.0))
        learned.learn(rows, STEP_S)
    return learned


def factor_of(learned, model, **batch):
    contents = batch_pace.contents_of(batch, 1.0)
    return learned.factor((model, False), learned.weight(contents))


class BatchPaceTest(unittest.TestCase):
    def check(self, learned):
        alone = factor_of(learned, 'small', small=4)
        beside = factor_of(learned, 'small', small=2, large=2)
        true_alone = true_factor({'small': 4})
        true_beside = true_factor({'small': 2, 'large': 2})
        self.assertLess(abs(beside / true_beside - 1.0), TOLERANCE)
        self.assertLess(abs(alone - true_alone), TOLERANCE)

    def test_nothing_is_expected_before_it_is_learned(self):
        learned = batch_pace.BatchPace()
        self.assertEqual(factor_of(learned, 'small', small=2, large=9), 1.0)

    def test_requests_of_a_large_model_are_learned_to_slow_a_batch(self):
        self.check(learn())

    def test_slow_server_does_not_change_what_is_learned(self):
        # Guards against a slow server that is explained by its batch.
        self.check(learn(slow=0))

    def test_unknown_requests_leave_the_factor_as_it_is(self):
        # Guards against an instance that takes its own requests for the
        # whole batch.
        learned = learn()
        contents = batch_pace.contents_of({'large': 1, None: 99}, 100.0)
        factor = learned.factor(('small', False), learned.weight(contents))
        self.assertLess(abs(factor - 1.0), TOLERANCE)

    def test_sums_stay_finite_for_a_long_time(self):
        learned = learn(seconds=1)
        for _ in range(1_000):
            learned.learn([], batch_pace.MEMORY_S)
        self.assertLess(factor_of(learned, 'small', large=4), 10.0)

    def test_number_of_models_is_bounded(self):
        learned = batch_pace.BatchPace()
        for i in range(2 * batch_pace.MAX_MODELS):
            model = f'm{i}'
            contents = batch_pace.contents_of({model: 1.0}, 1.0)
            work = batch_pace.Work((model, False), 1.0, 1.0)
            learned.learn([(contents, [work], 0.0)], STEP_S)
        self.assertLessEqual(len(learned._products), 2 * batch_pace.MAX_MODELS)
