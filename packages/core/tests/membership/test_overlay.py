import statistics
import unittest

from wagtailtide_core.membership import overlay


def fleet(size, zones=3):
    """Return the zone number of each member by name."""
    return {f'zone{i % zones}-{i}': i % zones for i in range(size)}


def neighbours(names):
    graph = {name: set() for name in names}
    for name in names:
        for other in overlay.links_to_open(name, names):
            graph[name].add(other)
            graph[other].add(name)
    return graph


def reachable(graph, within):
    start = min(within)
    seen, todo = {start}, [start]
    while todo:
        new = (graph[todo.pop()] & within) - seen
        seen |= new
        todo.extend(new)
    return seen


class OverlayTest(unittest.TestCase):
    """Guards against too many links and against a split graph."""

    def test_every_member_has_a_constant_number_of_links(self):
        for size in (3, 4, 5, 8, 12, 20, 48, 96, 192, 390):
            with self.subTest(size=size):
                names = set(fleet(size))
                opened = [overlay.links_to_open(n, names) for n in names]
                self.assertLessEqual(max(map(len, opened)), 3)
                degrees = [len(peers) for peers in neighbours(names).values()]
                self.assertLessEqual(statistics.mean(degrees), 6)
                self.assertLessEqual(max(degrees), 12)
                self.assertGreaterEqual(min(degrees), min(3, size - 1))

    def test_the_other_zones_stay_connected_without_any_one_zone(self):
        for size in (6, 12, 20, 48, 96, 390):
            zones = fleet(size, 9 if size > 90 else 3)
            graph = neighbours(set(zones))
            for lost in set(zones.values()):
                with self.subTest(size=size, lost=lost):
                    rest = {n for n, zone in zones.items() if zone != lost}
                    self.assertEqual(reachable(graph, rest), rest)

    def test_one_more_member_moves_few_links(self):
        names = set(fleet(96))
        more = names | {'new'}
        before = {n: overlay.links_to_open(n, names) for n in names}
        after = {n: overlay.links_to_open(n, more) for n in names}
        moved = sum(len(before[n] - after[n]) for n in names)
        self.assertLessEqual(moved, 8)
