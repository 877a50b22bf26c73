Feature: Prompt parts that requests share are read at few upstreams, in virtual time

  Scenario Outline: Under load at most half as many tokens are read again as with one unbounded holder
    Given <instances> instances with <engines> upstreams that keep prompt parts
    When callers send <rate> requests a second for 20 seconds, with a skewed set of shared parts
    Then upstreams read at most half of the shared tokens again that one unbounded holder costs
    And requests don't wait longer in all than with one unbounded holder

    Examples:
      | instances | engines | rate |
      | 6         | 8       | 60   |
      | 6         | 8       | 90   |
      | 12        | 12      | 100  |

  Scenario Outline: Few tokens are read again while an upstream is in trouble
    Given 6 instances with 8 upstreams that keep prompt parts
    When callers send 60 requests a second for 20 seconds while an upstream <trouble>
    Then upstreams read at most half of the shared tokens again that one unbounded holder costs

    Examples:
      | trouble                     |
      | leaves                      |
      | is ejected by turns         |
      | is filled by other requests |

  Scenario: Only parts of the upstream that left move, and back after its return
    Given 6 instances with 8 upstreams that keep prompt parts
    When the holders of 60 parts are noted, and an upstream leaves
    Then only the parts that it held have another holder
    And once it is back, all parts have the holder that they had

  Scenario: All instances send a part to the same upstream, one or the next where it is full
    Given 6 instances with 8 upstreams that keep prompt parts
    When each instance places a prompt with the same shared part
    Then they have all chosen its holder
    And while the holder is full, all choose the same other upstream

  Scenario Outline: A part has as many holders as its demand needs, and as the settings allow
    Given 6 instances with 8 upstreams that hold a part at <most> at most
    When callers ask for one part <rate> times a second for 12 seconds
    Then the instances count <holders> holders of it, and 1 half a minute later

    Examples:
      | most | rate | holders |
      | 8    | 3    | 1       |
      | 8    | 11   | 2       |
      | 8    | 22   | 4       |
      | 2    | 22   | 2       |

  Scenario Outline: A region that often asks for a part has a holder of its own
    Given an instance with upstreams here and more in another region
    When its callers ask <times> times for a part whose holder is in the other region
    Then the holder is <where>

    Examples:
      | times | where                |
      | 0     | in the other region  |
      | 1     | in the other region  |
      | 8     | here                 |

  Scenario: A request whose data must stay elsewhere has its holder there
    Given an instance with upstreams here and more in another region
    When its callers ask 8 times for a part whose holder is in the other region
    Then the holder of the same part for data of the other region is there

  Scenario Outline: Which requests may go to any upstream
    Given 1 instances with 8 upstreams that hold a part at <most> at most
    When a request with <prompt> is placed
    Then it may go to <count> upstreams

    Examples:
      | most | prompt                        | count |
      | 8    | no shared part                | 8     |
      | 8    | a shared part of 200 tokens   | 8     |
      | 8    | a shared part of 2000 tokens  | 1     |
      | 0    | a shared part of 2000 tokens  | 8     |

  Scenario Outline: The next upstream is compared with a holder that is much fuller
    Given 1 instances with 8 upstreams that keep prompt parts
    When the holder of a part runs <running> requests on its 8 slots
    Then a request with that part may go to <count> upstreams

    Examples:
      | running | count |
      | 0       | 1     |
      | 3       | 1     |
      | 5       | 2     |

  Scenario: The memory of the demand for parts is bounded
    Given 1 instances with 2 upstreams that keep prompt parts
    When callers ask for 10000 different parts
    Then the instance remembers the demand for 4096 parts
