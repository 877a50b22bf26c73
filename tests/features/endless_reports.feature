Feature: Load reports without end cost an instance little memory and hold up nobody else
  Bounds: half of the 200 MB that the smallest machine has, and the target latency of a status request.

  # Guards against an instance that runs out of memory because all upstreams send such reports (LOST).
  Scenario Outline: Upstreams whose load reports have no end
    Given an instance, a process that polls 12 upstreams whose load reports go on <pace>
    When it has polled them for 6 seconds
    Then it had at most 100 MB in memory, and answered others within 0.6 seconds meanwhile

    Examples:
      | pace   |
      | fast   |
      | slowly |
