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
