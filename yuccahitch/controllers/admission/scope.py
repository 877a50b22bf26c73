"""Which services of a configuration hold more than one priority."""

from __future__ import annotations

import collections
import itertools

from yuccahitch.resources import publication
from yuccahitch.resources import route as routes


def ranked_services(config: publication.Publication) -> frozenset[str]:
    """Return the names of the services whose requests may differ in priority.

    The priority of a client account applies to all services that it uses.
    """
    account_priorities = {account.priority for account in config.accounts.values()}
    own_priorities = account_priorities - {None}
    # Requests without a key, and those of accounts without a priority, have that of their route.
    any_takes_route = not config.requires_key or None in account_priorities
    priorities_by_service = collections.defaultdict(lambda: set(own_priorities))
    for route in itertools.chain.from_iterable(config.routes_by_host.values()):
        for name in routes.services_of(route):
            priorities = priorities_by_service[name]
            if any_takes_route or route.open:
                priorities.add(route.priority)
    return frozenset(name for name, found in priorities_by_service.items() if len(found) > 1)
