Feature: Streams go only to the start of an upstream that its known entry describes
  An upstream starts again under its id, at its address and with other software, and its new entry is not known yet.
  Real connections between an instance and upstreams in this process; each event names the version that wrote it.

  # Guards against a stream of two versions, in one answer (ORDER).
  Scenario: A stream whose upstreams start again with another version is not joined with its events
    Given an instance that knows upstreams u1 of v1 and u2 of v1
    When a stream begins, and after 2 events all upstreams start again with v2, which is not heard
    Then the answer holds events of v1 only, and is cut

  # Guards against a stream of two versions, over two tries of its caller (ORDER).
  Scenario: A stream is not taken up at upstreams that started again with another version
    Given an instance that knows upstreams u1 of v1 and u2 of v1
    When a stream ends, all upstreams start again with v2, which is not heard, and its caller takes it up after event 2
    Then the take-up is refused, did not run and reached no upstream

  # Guards against a stream that counts as begun by a version that its upstream has no more (ORDER).
  Scenario: A stream that begins at an upstream that started again is not recorded under its former version
    Given an instance that knows upstreams u1 of v1
    When all upstreams start again with v2, which is not heard, and a stream is asked for
    Then it is refused, did not run and reached no upstream
    When the new entries are heard, and a stream is asked for
    Then the answer holds events of v2 only, and is complete

  Scenario: Other requests still go to an upstream that started again, also on connections that are checked
    Given an instance that knows upstreams u1 of v1
    When all upstreams start again with v2, which is not heard, and a stream is asked for
    Then it is refused, did not run and reached no upstream
    When a stream that can't be resumed is asked for
    Then the answer holds events of v2 only, and is complete
    When a stream is asked for
    Then it is refused, did not run and reached no upstream

  Scenario: An upstream is asked for its start once for each connection
    Given an instance that knows upstreams u1 of v1
    When 3 streams are asked for, one after another
    Then the answers hold events of v1 only, and are complete
    And upstreams were asked for their reports once

  # Guards against streams on a connection that was opened for other requests (ORDER).
  Scenario: A connection that other requests have opened is asked before it carries a stream
    Given an instance that knows upstreams u1 of v1
    When all upstreams start again with v2, which is not heard, and a stream that can't be resumed is asked for
    Then the answer holds events of v2 only, and is complete
    When a stream is asked for
    Then it is refused, did not run and reached no upstream

  Scenario Outline: A connection that other requests have opened carries a stream after it was asked
    Given an instance that knows upstreams u1 of v1
    And the upstreams answer with <report> instead of their reports
    When a stream that can't be resumed is asked for
    Then the answer holds events of v1 only, and is complete
    When a stream is asked for
    Then the answer holds events of v1 only, and is complete
    And the instance has opened <count> connections to upstreams

    Examples:
      | report | count |
      | sound  | 1     |
      | 404    | 2     |
      | named  | 2     |

  Scenario: A stream goes on at another upstream of its version that runs still
    Given an instance that knows upstreams u1 of v1 and u2 of v1
    When u1 starts again with v2, which is not heard, and 6 streams are asked for, one after another
    Then the answers hold events of v1 only, and are complete
    And the log says upstream-replaced once

  # Guards against upstreams without streams as a notice of their former start came late (LOST).
  Scenario: What was found of a former start doesn't count against the one whose entry is known
    Given an instance that knows upstreams u1 of v1
    When all upstreams start again with v2, which is heard before a notice that they started again
    And a stream is asked for
    Then the answer holds events of v2 only, and is complete

  Scenario: An upstream that started again counts as sound, however many streams could not go there
    Given an instance that knows upstreams u1 of v1
    When all upstreams start again with v2, which is not heard, and 8 streams are asked for at once
    Then all of them are refused and did not run, and u1 has not been ejected

  Scenario Outline: What a report doesn't tell is guessed only while a single version is known
    Given an instance that knows upstreams <upstreams>
    And the upstreams answer with <report> instead of their reports
    When a stream is asked for
    Then <outcome>

    Examples:
      | upstreams           | report          | outcome                                              |
      | u1 of v1            | 404             | the answer holds events of v1 only, and is complete  |
      | u1 of v1            | 503             | the answer holds events of v1 only, and is complete  |
      | u1 of v1            | no start        | the answer holds events of v1 only, and is complete  |
      | u1 of v1            | start 0         | the answer holds events of v1 only, and is complete  |
      | u1 of v1            | a start of text | the answer holds events of v1 only, and is complete  |
      | u1 of v1            | a list          | the answer holds events of v1 only, and is complete  |
      | u1 of v1            | slow            | the answer holds events of v1 only, and is complete  |
      | u1 of v1            | silence         | it is refused, did not run and reached no upstream   |
      | u1 of v1            | garbage         | it is refused, did not run and reached no upstream   |
      | u1 of v1            | an end          | it is refused, did not run and reached no upstream   |
      | u1 of v1, u2 of v2  | 404             | it is refused, did not run and reached no upstream   |
      | u1 of v1, u2 of v2  | 503             | it is refused, did not run and reached no upstream   |
      | u1 of v1, u2 of v2  | no start        | it is refused, did not run and reached no upstream   |
      | u1 of v1, u2 of v2  | start 0         | it is refused, did not run and reached no upstream   |
      | u1 of v1, u2 of v2  | silence         | it is refused, did not run and reached no upstream   |
      | u1 of v1, u2 of v2  | slow            | the answer holds events of one version, and is complete |

  # Guards against streams that are lost at upstreams that close each connection, as leaving ones do (LOST).
  Scenario: A stream runs at an upstream that ends the connection of its report
    Given an instance that knows upstreams u1 of v1, u2 of v2
    And the upstreams answer with last instead of their reports
    When a stream is asked for
    Then the answer holds events of one version, and is complete

  Scenario: A stream does not go to an upstream that started again and ends the connection of its report
    Given an instance that knows upstreams u1 of v1
    When all upstreams start again with v2, which is not heard, answer with last, and a stream is asked for
    Then it is refused, did not run and reached no upstream

  # Guards against a report that counts as the answer to a stream.
  Scenario Outline: A report that comes once more is not taken for the answer to the stream after it
    Given an instance that knows upstreams u1 of v1
    And the upstreams answer with <report> instead of their reports
    When a stream is asked for
    Then <outcome>

    Examples:
      | report     | outcome                                             |
      | copied     | the answer holds events of v1 only, and is complete |
      | copied 503 | it is refused, and may have run                     |
