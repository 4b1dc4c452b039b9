"""Entries of the platform's lists of instances and backend servers."""

import dataclasses

LIVE = 'live'
LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """Instance in the platform's list, which lags behind the actual state.

    Attributes:
        name: Name of the instance.
        address: ``ip:port`` for peers.
        zone: Availability zone.
        state: ``live`` or ``leaving``.
    """

    name: str
    address: str
    zone: str
    state: str = LIVE

    @property
    def leaving(self):
        """Whether the platform is about to stop it."""
        return self.state == LEAVING


@dataclasses.dataclass(frozen=True)
class ListedServer:
    """Backend server in the platform's list, which lags behind as well.

    Attributes:
        name: Name of the backend server.
        address: ``ip:port`` on which it serves requests.
        zone: Availability zone.
        state: ``live`` or ``leaving``.
    """

    name: str
    address: str
    zone: str
    state: str = LIVE

    @property
    def leaving(self):
        """Whether the platform is about to stop it."""
        return self.state == LEAVING


def parse_items(body, entry_class):
    """Return the entries of one list.

    Args:
        body: Decoded JSON body of the response.
        entry_class: ListedInstance or ListedServer.

    Returns:
        The entries in order of their names.

    Raises:
        ValueError: If the body has no list of complete entries.
    """
    try:
        found = [
            entry_class(
                str(item['name']),
                str(item['address']),
                str(item['zone']),
                str(item['state']),
            )
            for item in body['items']
        ]
    except (KeyError, TypeError) as exc:
        raise ValueError(
            f'expected items with name, address, zone and state, got {exc!r}'
        ) from exc
    return tuple(sorted(found, key=lambda item: item.name))
