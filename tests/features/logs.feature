Feature: Lines of the log about decisions and beliefs

  Scenario: A reader that comes back is told which lines were dropped
    Given a log of 20000 bytes into a pipe that nobody reads
    When 3000 lines about ordinary requests and 30 about refusals are written
    And the reader comes back
    Then all 30 refusals are there
    And one line tells how many ordinary lines were dropped, and none is torn

  Scenario: An unexpected error in the core is a line, and the core goes on
    Given a core task of an instance
    When it gets a message that it does not know, and then a question
    Then the question is answered
    And the log has a fault with the place in the code

  Scenario Outline: What an instance believes of an upstream
    Given an instance that knows upstream u1
    When what is known of it changes: <change>
    Then the log tells <event> of u1

    Examples:
      | change                                  | event             |
      | its entry says that it is draining      | upstream-leaving  |
      | its entry vanishes                      | upstream-missing  |
      | its entry vanishes and stays away       | upstream-gone     |
      | its entry says that it is cold again    | upstream-cold     |
      | it fails ten requests                   | upstream-ejected  |
      | it fails ten requests and 3 seconds pass| upstream-returned |

  Scenario: A watch whose history the store has lost
    Given an instance that knows upstream u1
    When the watch on its upstreams has lost the history
    Then the log has watch-broken with the prefix, and the prefix is read again

  Scenario Outline: What an instance believes of another
    Given two instances that know each other
    When <change>
    Then the log of the first tells <event> of the second

    Examples:
      | change                                   | event        |
      | the second falls silent                  | member-lost  |
      | the second leaves                        | member-left  |
      | the second falls silent and speaks again | member-found |

  Scenario: On the own interface too, a line about a decision tells its inputs
    Given a fleet of one instance with one account
    When it serves a request and refuses one without an upstream
    Then on the own interface request-dispatched tells usable, known, running, slots, wait_s, left_s
    And on the own interface request-refused tells usable, known, code, config_age_s

  Scenario Outline: A line about a decision tells its inputs
    Given an instance that knows upstream u1
    When a request <request>
    Then the line <event> tells <inputs>

    Examples:
      | request                        | event              | inputs                                         |
      | is sent                        | request-dispatched | usable, known, running, slots, wait_s, left_s  |
      | is sent                        | request-dispatched | version, store_age_s, told_s, account, route   |
      | fails and is sent again        | request-retried    | tried, code, error_peer, run                   |
      | finds no upstream              | request-refused    | usable, code, step, retry_after_s              |
      | is over its account's rate     | request-refused    | tokens_left, code, retry_after_s               |
      | runs out of time               | request-expired    | waited_s, attempt, upstream                    |

  Scenario Outline: A time line over machines whose clocks differ
    Given logs of a request that one instance hands to another, whose clock is <ahead> s ahead
    When the request is explained
    Then the line of the second's beginning comes right after the first sent it
    And a shift of <shift> s is told, and the belief of the second moves along

    Examples:
      | ahead | shift |
      | 0     | no    |
      | -7.5  | 7.5   |
