Feature: Log lines about decisions and about changes of state

  Scenario: A log line reports how many lines were dropped while nobody read the log
    Given a log buffer of 20000 bytes before a pipe that nobody reads
    When 3000 lines about ordinary requests and 30 about refusals are written
    And the pipe is read again
    Then all 30 refusals are in the log
    And one line reports how many ordinary lines were dropped, and every line is complete

  Scenario: The core task logs an unexpected error and keeps running
    Given a core task of an instance
    When it gets a message of an unknown type, and then a query
    Then the query is answered
    And the log has a fault event with the place in the code

  Scenario Outline: Changes of an upstream's state are logged
    Given an instance that knows upstream u1
    When the state of the upstream changes: <change>
    Then the log has <event> for u1

    Examples:
      | change                                  | event             |
      | its entry says that it is draining      | upstream-leaving  |
      | its entry is deleted                    | upstream-missing  |
      | its entry is deleted for 3 seconds      | upstream-gone     |
      | its entry says that it is cold again    | upstream-cold     |
      | it fails ten requests                   | upstream-ejected  |
      | it fails ten requests and 3 seconds pass| upstream-returned |

  Scenario: A prefix is read again when the store has lost the history of its watch
    Given an instance that knows upstream u1
    When the store has lost the history of the watch
    Then the log has watch-broken with the cause, and the whole store is read again

  Scenario Outline: Changes of another instance's state are logged
    Given two instances, the first of which knows the second
    When <change>
    Then the log of the first has <event> for the second

    Examples:
      | change                                   | event        |
      | the second stops sending pulses          | member-lost  |
      | the second leaves                        | member-left  |
      | the second stops and resumes its pulses  | member-found |

  Scenario: On the own interface, a log line about a decision carries its inputs
    Given a fleet of one instance with one account
    When it serves a request and refuses one without an upstream
    Then on the own interface request-dispatched has the fields usable, known, running, slots, wait_s, left_s
    And on the own interface request-refused has the fields usable, known, code, config_age_s

  Scenario Outline: A log line about a decision carries its inputs
    Given an instance that knows upstream u1
    When a request <request>
    Then the line <event> has the fields <inputs>

    Examples:
      | request                        | event              | inputs                                         |
      | is sent                        | request-dispatched | usable, known, running, slots, wait_s, left_s  |
      | is sent                        | request-dispatched | version, store_age_s, told_s, account, route   |
      | fails and is sent again        | request-retried    | tried, code, error_peer, run                   |
      | finds no upstream              | request-refused    | usable, code, step, retry_after_s              |
      | is over its account's rate     | request-refused    | tokens_left, code, retry_after_s               |
      | runs out of time               | request-expired    | waited_s, attempt, upstream                    |

  Scenario Outline: A time line is corrected for clocks that differ between machines
    Given logs of a request that one instance forwards to another, whose clock is <ahead> s ahead
    When the request is explained
    Then the second's request-began comes right after the first's request-forwarded
    And a clock shift of <shift> s is reported, and the second's other line is shifted by it

    Examples:
      | ahead | shift |
      | 0     | no    |
      | -7.5  | 7.5   |
