Feature: Work follows the speeds of upstreams

  Scenario Outline: Upstreams at 0.7, 0.7 and 1.7 of the usual speed that stutter work in proportion
    Given 3 instances before upstreams of speeds 0.7, 0.7 and 1.7 that stop for half a second now and then
    When requests come at <load> of what they can do together for 40 seconds
    Then each does work in proportion to its speed within 10 percent

    Examples:
      | load |
      | 0.5  |
      | 0.7  |
      | 1.0  |
      | 1.2  |

  Scenario: Queues follow the speeds of upstreams
    Given 3 instances before upstreams of speeds 0.7, 0.7 and 1.7 that never stop
    When requests come at 1.2 of what they can do together for 40 seconds
    Then the queue of the fast one is over 1.5 times as long as those of the others

  Scenario Outline: A factor is <result> after <history>
    When an upstream shows <history>
    Then its factor is between <least> and <most>

    Examples:
      | history                              | least | most | result           |
      | 200 requests at 1.5 over 20 seconds  | 1.4   | 1.5  | learned          |
      | 30 requests at 6.0 over 0.5 seconds  | 1.0   | 1.25 | hardly moved     |
      | 900 requests at 9.0 over 90 seconds  | 2.4   | 2.5  | bounded          |
      | a slow drift from 1.0 to 1.6         | 1.4   | 1.6  | followed         |
      | slow and fast seconds by turns       | 0.85  | 1.15 | damped           |
      | a minute without requests            | 1.0   | 1.05 | forgotten        |

  Scenario: Reading prompts and making tokens are different kinds of work
    Given an instance before a model upstream that reads slowly and one that makes tokens slowly
    When 60 requests with prompts of 6000 tokens are answered
    Then the first is known to read slowly and the second to make tokens slowly
    And the log tells how slow the chosen one is

  Scenario: An upstream that starts again has the usual speed
    Given 3 instances before upstreams of speeds 0.7, 0.7 and 1.7 that never stop
    When requests come at 1.0 of what they can do together for 20 seconds
    And the first upstream starts again
    Then all instances take the first upstream for one of usual speed
