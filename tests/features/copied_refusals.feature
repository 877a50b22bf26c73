Feature: An answer that an upstream writes once more is never taken for the answer to its request
  Upstreams and clients in this process with real connections between them.

  # Guards against an order that runs twice: the copy of its refusal counted as the answer (TWICE).
  Scenario Outline: A request that goes to an upstream under its new name runs nowhere else meanwhile
    Given an instance whose upstream has come back under a new name, and writes its refusals again <moment>
    When a request <path> gets 421 under the old name, then runs under the new one
    Then it runs once and its caller gets that answer
    And the new name is still in use

    Examples:
      | path           | moment                  |
      | POST /book/x   | before                  |
      | POST /book/x   | before its body is read |
      | POST /book/x   | while it runs           |
      | POST /book/x   | inside                  |
      | POST /book/x   | after                   |
      | GET /status/x  | while it runs           |
      | GET /ask/x     | while it runs           |
      | GET /plan/x    | while it runs           |

  # Guards against streams that two upstreams work on at once (TWICE).
  Scenario: A stream that is resumed at an upstream under its new name goes on there to its end
    Given an instance whose upstream has come back under a new name, and writes its refusals again while it runs
    When a stream breaks off elsewhere after 3 events, then gets 421 under the old name, then goes on
    Then its caller gets each event once, and only the new name went on

  # Guards against orders that run while they are refused, after a try in another region (TWICE, REFUSED).
  Scenario: An order that comes back from another region to an upstream under its new name runs once
    Given an instance that forwards to another region whose upstream has come back under a new name, and writes its refusals again while it runs
    When an order gets 421 under the old name here, is refused in the other region and comes back
    Then it runs once and its caller gets that answer

  # Guards against callers that are told "not run" of a request that runs (REFUSED).
  Scenario Outline: A request that its caller sends again under its id after a refusal runs once
    Given an instance <place> upstream has come back under a new name, and writes its refusals again while it runs
    When an order is refused under the old name, and sent again under its id
    Then it runs once and its caller gets that answer

    Examples:
      | place                                 |
      | whose                                 |
      | that forwards to another region whose |

  # Guards against answers that are believed as they bear the id of a request that was sent before.
  Scenario Outline: A request that is sent again to an address gets its own answer
    Given an upstream that answers <answer>, and writes that <copies> times more <moment>
    When <request> is answered so, and sent there again under another name
    Then it gets its own answer in full, and nothing else is believed

    Examples:
      | answer | copies | moment                  | request              |
      | 421    | 1      | before                  | a request            |
      | 421    | 3      | before                  | a request            |
      | 421    | 1      | while it runs           | a request            |
      | 421    | 1      | inside                  | a request            |
      | 421    | 1      | after                   | a request            |
      | 503    | 1      | before                  | a request            |
      | 503    | 3      | while it runs           | a request            |
      | 503    | 1      | while it runs           | a stream             |
      | 503    | 1      | inside                  | a stream             |
      | 503    | 1      | before its body is read | a long body          |
      | 503    | 1      | while it runs           | a long body          |
      | 503    | 1      | while it runs           | an early refused one |
      | 429    | 1      | while it runs           | a request            |
      | 429    | 3      | before                  | a stream             |
      | 400    | 1      | while it runs           | a request            |
      | 400    | 1      | before                  | a stream             |
      | 500    | 1      | while it runs           | a request            |
      | 200    | 1      | before                  | a request            |
      | 200    | 1      | while it runs           | a stream             |

  # Guards against refusals of one request that count as the answer to another one.
  Scenario Outline: Another request on the connection gets its own answer, or a failure that promises nothing
    Given an upstream that answers <answer>, and writes that <copies> times more <moment>
    When a request is answered so, and another one is sent there
    Then the other one <outcome>

    Examples:
      | answer | copies | moment                  | outcome                         |
      | 421    | 1      | before                  | gets its own answer             |
      | 503    | 2      | before                  | gets its own answer             |
      | 503    | 3      | before                  | gets its own answer             |
      | 503    | 300    | before                  | gets its own answer             |
      | 503    | 2000   | before                  | counts as one that may have run |
      | 429    | 1      | while it runs           | gets its own answer             |
      | 400    | 1      | before its body is read | gets its own answer             |
      | 503    | 1      | inside                  | counts as one that may have run |
      | 503    | 2      | after                   | gets its own answer             |

  Scenario: A request that is sent again to an address long after others gets its own answer
    Given an upstream that answers 503, and writes that 1 times more while it runs
    When a request is answered so, 3 others are run there, and it is sent there again
    Then it gets its own answer in full, and nothing else is believed

  Scenario Outline: A request that is sent again to an address takes an idle connection that did not carry it
    Given an upstream that answers 503, and writes that 1 times more while it runs
    When a request is answered so <order> another one that runs there, and is sent there again
    Then it gets its own answer in full, and nothing else is believed
    And 2 connections were opened

    Examples:
      | order  |
      | before |
      | after  |

  # Guards against new connections after every refusal.
  Scenario: Refused requests share a connection
    Given an upstream that answers 503, and writes that 0 times more before
    When 60 requests are refused there, one after another
    Then 1 connections were opened

  # Guards against memory that grows with the requests of a connection.
  Scenario: A connection carries a bounded number of requests
    Given an upstream that answers 503, and writes that 0 times more before
    When more requests are refused there, one after another, than a connection carries
    Then 2 connections were opened

  # Guards against an upstream whose connections are used up by a caller that repeats an id.
  Scenario: Requests of one id, one after another, keep one connection open
    Given an upstream that answers 200, and writes that 0 times more before
    When 20 requests of one id are run there, one after another
    Then each ran on a connection of its own, and one is left

  # Guards against an order that counts as run, and as crashed, though no byte of it was sent.
  Scenario Outline: A request that is sent just as its idle connection breaks goes over a new one
    Given a server whose connections the test writes
    When <what> comes on the idle connection of a request as the next one is sent
    Then the next one is answered on a new connection

    Examples:
      | what                  |
      | a copy of its refusal |
      | half of that copy     |
      | an end                |
      | a reset               |

  # Guards against retries that an upstream at its limit resets, as the connection they replace is still open.
  Scenario: A request that is sent again to an upstream takes the place of an idle connection
    Given an upstream under a new name that takes one connection
    When 20 requests are refused under the old name, and sent there again under the new one
    Then each gets its own answer, and no connection was reset
