"""Makes the message that takes a request to another instance, in one hop."""

from __future__ import annotations

from yuccahitch.controllers import membership
from yuccahitch.filters import exchange
from yuccahitch.messages import actions, peers, requests


def forward(
    item: exchange.Exchange,
    row: peers.InstanceInfo,
    *,
    members: membership.Membership,
    now: float,
    owned: bool,
) -> actions.Forward:
    """Return the work that forwards a request.

    Args:
        item: The request.
        row: The instance that it goes to.
        members: The live instances.
        now: Monotonic seconds.
        owned: Whether the instance minted the request's key and runs the whole chain for it.
    """
    own = members.own.instance
    hop = requests.Hop(
        sender=own,
        account=item.account.name,
        key_name=item.key_name,
        regions=tuple(sorted(item.regions)) if item.regions is not None else (),
        hops=1,
        visited=(own,),
        owned=owned,
        charged=not owned,
        granted_tokens=0 if owned else item.output_limit,
        better_than_s=0.0 if owned else item.better_than_s,
    )
    return actions.Forward(
        instance=row.instance,
        address=members.address(row),
        attempt=item.attempt,
        request=item.request,
        hop=hop,
        deadline_in=max(0.0, item.request.deadline - now),
    )
