@deployment @doors
Feature: Real processes under faults
  Six instances in three regions with their stand-ins, as in examples/doors.

  Scenario: A graceful shutdown under load cuts no stream
    Given engines that need 20 ms for a token
    When 12 streams of 40 tokens run through nte-a-2
    And nte-a-2 is told to stop while they run
    Then all 12 streams were whole
    And nte-a-2 ended with exit code 0
    And nobody is told to use nte-a-2

  Scenario Outline: A leaving upstream gets no new work after a few seconds
    When pintor-lm-1 is said to leave by <whom>
    And 4 seconds go by
    And 12 requests are sent to occ-a-1
    Then pintor-lm-1 saw none of them
    And all were answered

    Examples:
      | whom              |
      | its load report   |
      | the instance list |
      | an operator       |

  Scenario Outline: An answer that is not whole is never taken for whole
    Given all engines <fault>
    When centro wants <form> of 8 tokens from cen-a-1
    Then the caller sees <sees>

    Examples:
      | fault                          | form     | sees                                      |
      | break off after 3 tokens       | a stream | an error event answer-cut, may-have-run   |
      | break off after 3 tokens       | a plan   | status 502 or 422 and may-have-run        |
      | answer with another request's  | a plan   | status 502 or 422 and may-have-run        |
      | answer with status 503         | a plan   | status 502 or 422 and may-have-run        |

  Scenario: An engine that fails is left for another
    Given one engine of occ-a answers with status 503
    When centro asks occ-a-1 for 6 plans of 2 tokens
    Then all plans were answered

  Scenario: A caller that hangs up cancels the work
    Given engines that need 20 ms for a token
    When a caller of cen-a-2 hangs up after the first token of 400
    Then within 3 seconds an engine saw the cancel
    And cen-a-2 has no open request

  Scenario: A request that crashes engines is refused everywhere after two
    Given engines that crash on the word lacquer-bomb
    When centro sends the crashing request to each instance in turn
    Then no more than 2 engines crashed on it
    And other requests are answered

  Scenario: A key withdrawn from a connected caller stops on the kept connection
    When norte keeps a connection to cen-a-1 and its key is withdrawn
    Then within 4 seconds a request on the kept connection gets key-unknown

  Scenario: The store goes down for longer than every lease and requests go on
    When the store is down for 13 seconds
    Then visitas is answered by every instance all the while

  Scenario: An instance is killed and the others go on
    When cen-a-2 is killed
    Then within 20 seconds nobody is told to use cen-a-2
    And centro is answered by cen-a-1
