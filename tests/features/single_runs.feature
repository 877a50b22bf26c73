Feature: A request that must run once runs once, whatever ends it

  # Guards against an order that runs again because its first attempt had no reply yet (TWICE).
  Scenario Outline: An order whose request ends while an upstream works on it does not run again
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to instance 1
    And its request ends at instance 1 after <seconds> seconds, without a reply of the upstream
    And 6 seconds pass for the service
    And the same order is sent to instance <second>
    And 6 seconds pass for the service
    Then the order ran 1 time
    And the last sender gets the outcome may-have-run

    Examples:
      | kind   | seconds | second |
      | minted | 0.05    | 1      |
      | minted | 0.05    | 3      |
      | chosen | 0.12    | 1      |
      | chosen | 0.12    | 2      |
      | chosen | 0.12    | 4      |

  # Guards against a client account that gets more than its rate: tokens of runs were refunded (QUOTA).
  Scenario: The tokens of a request that ends while an upstream works on it are not refunded
    Given an instance whose client account may use 100 tokens at once
    When 5 requests of 50 tokens begin, each given up by its caller while an upstream works on it
    Then upstreams got at most 2 of them

  # Guards against requests that are forgotten while they run (TWICE, REFUSED).
  Scenario: A request whose id belongs to an open request ends nothing but itself
    Given an instance in east that forwards to west
    When a request that must run once is answered slowly, and two more with its id come
    Then both are refused with a status that does not promise that the request has not run
    And the first one ran once and is answered in full

  # Guards against clients that send a request again by themselves (TWICE).
  Scenario Outline: A call whose answer is lost reaches its service once
    Given a service that <loses> each request
    When an instance sends it one <method> call
    Then the service got the call 1 time, and its answer counts as lost

    Examples:
      | loses                      | method |
      | closes without an answer   | DELETE |
      | closes without an answer   | PUT    |
      | closes without an answer   | GET    |
      | closes without an answer   | POST   |
      | resets after it has run    | DELETE |
      | resets after it has run    | PUT    |

  # Guards against an order to an engine, and writes, that are sent again as they were redirected (TWICE).
  Scenario Outline: What is answered with a redirect is sent once
    Given a service that redirects each request to itself with status <status>
    When an instance makes it <request>
    Then the service got 1 request

    Examples:
      | request               | status |
      | execute an order      | 307    |
      | execute an order      | 303    |
      | answer one POST call  | 307    |
      | commit to the store   | 307    |
      | delete a resource     | 307    |

  # Guards against a write that undoes another operator's, as it is sent a second time.
  Scenario: A write of an operator whose answer is lost reaches the instance once
    Given a service that closes without an answer each request
    When an operator deletes a resource there
    Then the service got the call 1 time

  # Guards against attempts that begin after their request is over (TWICE, GONE).
  Scenario Outline: An attempt whose request is over before it begins is not sent
    Given <a client> with an attempt in its mailbox
    When the request of that attempt ends before the mailbox is read
    Then nothing is sent

    Examples:
      | a client                        |
      | a client of platform upstreams  |
      | a client of upstreams           |
      | a client of other instances     |

  # Guards against a request that arrives after it was given up and has gone on elsewhere (TWICE, GONE).
  Scenario: What an upstream has not received of a request when it is given up never reaches it
    Given an upstream that does not read what it receives
    When an attempt to send it a body of 60000 bytes is given up
    And the upstream reads on
    Then it does not get the whole request
