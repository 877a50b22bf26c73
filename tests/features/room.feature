Feature: Engines get no requests that their memory doesn't hold

  Scenario: An engine whose memory is not known is served as before
    Given an instance before engine g1
    When 6 requests of 30000 tokens are sent
    Then 6 of them are sent to engines

  Scenario: A request that no engine has the memory for is refused at once and has not run
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens
    Then the instance logs that it knows the size
    When 23 requests of 30000 tokens are sent
    Then 3 of them are sent to engines
    And the others are refused as upstreams-full and return at 20 times within 2 seconds
    When the requests end
    And 3 requests of 30000 tokens are sent
    Then 3 of them are sent to engines

  Scenario: The log of a refusal tells what the request needed and which engines had no room
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens
    And 4 requests of 30000 tokens are sent
    Then the refusal is logged with 1 usable upstream, 1 without memory and 30000 tokens needed

  Scenario: A request goes to an engine that has room although another is less loaded
    Given an instance before engines g1 and g2
    When g1 reports a memory of 10000 tokens
    And 3 requests of 30000 tokens are sent
    Then all of them are sent to g2

  Scenario: A shared prompt part is held once
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens
    And 20 requests of 5000 tokens with a shared part of 20000 tokens are sent
    Then 15 of them are sent to engines

  Scenario: Requests that state no tokens go to an engine whose parts are taken
    Given 2 instances before engine g1
    When g1 reports a memory of 100000 tokens
    And pulses are exchanged
    And 2 requests of 30000 tokens are sent
    And 1 request of 0 tokens is sent
    Then 1 of them is sent to engines

  # Guards against memory that grows with each request (processes that end by themselves).
  Scenario: What is remembered of requests to an engine without a report is bounded by time
    Given an instance before engine g1
    When 100 requests of 10 tokens are sent, 0.1 seconds apart
    Then at most 5 of them are remembered as unheard

  Scenario: What another instance holds counts until it is silent for long
    Given 2 instances before engine g1
    When g1 reports a memory of 100000 tokens
    And the second instance sends 3 requests of 10000 tokens
    And pulses are exchanged
    And 1 request of 70000 tokens is sent
    Then 0 of them are sent to engines
    When the second instance dies and 3 seconds pass
    And 1 request of 70000 tokens is sent
    Then 1 of them is sent to engines

  Scenario: The report of an engine counts for what no instance told of, and not for long
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens of which 80000 are used
    And 1 request of 30000 tokens is sent
    Then 0 of them are sent to engines
    When nothing is told for 2.1 seconds
    And 1 request of 30000 tokens is sent
    Then 1 of them is sent to engines

  Scenario Outline: A false report of <total> tokens, <used> of them used, changes nothing
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens
    And g1 reports a memory of <total> tokens of which <used> are used
    And 4 requests of 30000 tokens are sent
    Then 3 of them are sent to engines

    Examples:
      | total  | used   |
      | 0      | 0      |
      | 100000 | 200000 |
      | 10     | 0      |
      | 900000 | 0      |

  Scenario: Another size counts once two reports in a row name it
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens
    And g1 reports a memory of 50000 tokens
    And g1 reports a memory of 50000 tokens
    And 4 requests of 30000 tokens are sent
    Then 1 of them is sent to engines

  Scenario: An engine that starts again and again begins each time with an empty memory of unknown size
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens
    And 3 requests of 30000 tokens are sent
    And engine g1 starts again
    And the requests end
    And g1 reports a memory of 100000 tokens
    And 4 requests of 30000 tokens are sent
    Then 3 of them are sent to engines
    When engine g1 starts again
    And 8 requests of 30000 tokens are sent
    Then 8 of them are sent to engines

  Scenario: What this region's engines have no memory for goes to another region
    Given an instance in each of two regions before engine g1
    When g1 reports a memory of 100000 tokens
    And 6 requests of 30000 tokens are sent
    Then at most 3 of them are sent to engines, the others to west

  Scenario Outline: A region that has memory for few requests tells the others so
    Given an instance before engine g1
    When g1 reports a memory of 100000 tokens
    And <running> requests of 10000 tokens are sent
    Then its pulse tells <places> places for the model

    Examples:
      | running | places |
      | 4       | 9      |
      | 9       | 9      |

  Scenario Outline: No engine gets more than it holds in <load> from <instances> instances
    Given <instances> instances before 6 engines of 300000 tokens
    When requests of 4000 and 17000 tokens come in <load>
    Then no engine held more than 300000 tokens
    And the engines held at least <share> of their memory at the peak

    Examples:
      | instances | load         | share |
      | 1         | a step       | 0.85  |
      | 8         | a step       | 0.8   |
      | 30        | a step       | 0.75  |
      | 30        | a slow drift | 0.55  |

  Scenario Outline: The memory in a report that is <form> is <result>
    When an engine reports <body>
    Then its memory is <result>

    Examples:
      | form      | body                                | result       |
      | whole     | {"kvTotal": 90000, "kvUsed": 41000} | 90000, 41000 |
      | missing   | {"born": 5}                         | not known    |
      | negative  | {"kvTotal": -1, "kvUsed": 0}        | not known    |
      | text      | {"kvTotal": "x", "kvUsed": 0}       | not known    |
      | no object | 7                                   | not known    |
      | not JSON  | {                                   | not known    |
