Feature: A request that goes on elsewhere no longer runs where it was before
  An instance in east forwards to one in west over real connections through a relay.

  # Guards against a stream that two upstreams work on at the same time (TWICE).
  Scenario Outline: A forwarded stream goes on elsewhere only after its run has ended
    Given an instance in east that forwards a stream to west, where an event takes 0.7 seconds
    When the connection <breaks> after 2 events, and east has an upstream
    Then the caller gets all 6 events once, in order
    And the upstream before worked on it for at most 0.4 seconds after the next began

    Examples:
      | breaks                     |
      | is lost on one side only   |
      | falls silent               |

  # Guards against runs for an instance that is gone (TWICE).
  Scenario Outline: The run of a request that may be repeated ends when the one that forwarded it is silent
    Given an instance in east that forwards a stream to west, where an event takes 3 seconds
    When the connection <breaks> after 1 event
    Then the upstream in west works on it for at most 2 more seconds

    Examples:
      | breaks                     |
      | is lost on one side only   |
      | falls silent               |

  Scenario: Whatever the network does, an instance is sure of the end of a run only after it
    When 2000 runs under a lease are played with delays, losses and cuts, seeded
    Then each run had ended when the instance that forwarded it was sure of that
    And none of those whose messages took at most 0.2 seconds ended in its 10 seconds

  # Guards against an answer that is taken for lost with the instance that forwarded its request (TWICE).
  Scenario Outline: An instance whose connection is lost goes on at once where nothing can run any more
    Given an instance in east that forwards a stream to west, where an event takes 0.7 seconds
    When the instance in west <ends> after 2 events, and east has an upstream
    Then the caller gets all 6 events once, in order
    And the upstream before worked on it for at most 0.4 seconds after the next began
    And the caller waited at most 1 second for the next event

    Examples:
      | ends         |
      | dies         |
      | ends the run |

  # Guards against answers that wait for a caller of another one, and leases that lapse for it (LOST).
  Scenario: A caller who reads nothing holds up no other answer that comes from the same instance
    Given an instance in east that forwards to west, and 4 callers who read nothing of endless answers
    When another caller asks for a stream of 6 events that takes 3 seconds
    Then it gets the first within 0.5 seconds, and all 6 from a single upstream

  # Guards against renewals that wait for answers that nobody reads, and an answer that waits until
  # their leases lapse (LOST).
  Scenario: Callers who read nothing hold up no other answer while their own leases still hold
    Given an instance in east that forwards to west, and 4 callers who read nothing of endless answers for 0.6 seconds
    When another caller asks for a stream of 6 events that takes 3 seconds
    Then it gets the first within 0.5 seconds, and all 6 from a single upstream
    And the 4 runs for those who read nothing still went on then

  # Guards against a run that outlasts its end and its lease because another request had its id (TWICE).
  Scenario Outline: A run whose id another request had too still ends when it must
    Given a run under a lease, and a second request with its id that is refused at once
    When the instance that forwarded them <does>
    Then the run ends within <seconds> seconds

    Examples:
      | does          | seconds |
      | ends the run  | 0.3     |
      | falls silent  | 2       |
