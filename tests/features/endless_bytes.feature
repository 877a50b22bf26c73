@platform_site
Feature: Bytes without end cost an instance little memory and hold up nobody else
  Bounds: half of the 200 MB that the smallest machine has, and the target latency of a status request.

  # Guards against an instance that runs out of memory or stands still (LOST).
  Scenario Outline: Upstreams that write without end
    Given the upstreams of <service> write without end, <fault>
    When 24 callers who <read> ask edge-east-1 for GET <path> again and again for 4 seconds
    Then requests to <other> at edge-east-1 were answered within 0.6 seconds meanwhile
    And edge-east-1 had at most 100 MB in memory, and gives back all but 20 MB of what it took

    Examples:
      | service | fault            | read         | path      | other     |
      | model   | endless_event    | read at once | /ask/x    | /status/x |
      | model   | endless_pieces   | read at once | /ask/x    | /status/x |
      | model   | endless_comments | read at once | /ask/x    | /status/x |
      | model   | endless_trailers | read at once | /ask/x    | /status/x |
      | model   | endless_head     | read at once | /ask/x    | /status/x |
      | model   | endless_interim  | read at once | /ask/x    | /status/x |
      | desk    | endless_signed   | read at once | /status/x | /plan/x   |
      | desk    | endless_signed   | read nothing | /status/x | /plan/x   |
      | desk    | endless_unframed | read nothing | /status/x | /plan/x   |
      | desk    | endless_after    | read at once | /status/x | /plan/x   |

  # Guards against a report, a reply of the store or an upload that fills the memory (LOST).
  Scenario Outline: What else comes without end is read up to a limit
    Given a server whose bodies have no end
    When an instance reads <what> from it
    Then it gives up within 5 seconds, having taken at most <limit> MB

    Examples:
      | what                      | limit |
      | a load report             | 12    |
      | a reply of the store      | 24    |
      | a watched change          | 24    |

  Scenario: A caller whose body has no end is refused by an instance without a configuration
    Given an instance on the platform that has read no configuration
    When a caller sends it a body without an end
    Then it is refused with 503 within 5 seconds, having sent at most 16 MB

  # Guards against an instance that stands still while it reads (LOST).
  Scenario: Interim answers without end hold up nobody on the own interface
    Given an upstream of the own interface, a process that writes interim answers without end
    When an instance sends it 8 calls at once, each with 3 seconds
    Then no other task of the instance waited for more than 0.6 seconds, and each call failed in time
