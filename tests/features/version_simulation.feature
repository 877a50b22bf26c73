Feature: What instances know of the software versions that began streams, in virtual time
  Five instances of two regions, a store, and upstreams of two services. Callers take their streams up after breaks.

  # Guards against streams of two versions, whatever is lost, old or late meanwhile (ORDER), and against lost take-ups (LOST).
  Scenario Outline: Streams go on at the version that began them, and nowhere else
    When <count> seeds from <first> play <trouble>
    Then no stream holds events of two versions or services, or one twice, and none is missing
    And take-ups go on at least half as often as new streams begin, and a refusal is true and comes at once

    Examples:
      | trouble                                               | first | count |
      | all kinds of trouble                                  | 1     | 8     |
      | the loss of all instances around a first release      | 1     | 12    |
      | a first release that some instances don't hear of     | 1     | 12    |
      | releases long after each other, and losses of all     | 1     | 2     |
      | a store that forgets a release as all instances die   | 1     | 6     |
      | upstreams that start again with another version       | 1     | 12    |
      | such upstreams, and instances that don't hear of them | 1     | 12    |
