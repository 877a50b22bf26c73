@deployment @ice-works
Feature: Requests from end to end through real processes
  Six instances in three regions with their stand-ins, as in examples/ice-works.

  Scenario: A plan is complete, streamed and not streamed
    When sahil-rinks asks muscat-a-1 for a plan of 7 tokens
    Then the status is 200
    And the answer has 7 words
    When sahil-rinks streams a plan of 9 tokens from sohar-a-1
    Then the stream has 9 words and its end marker

  Scenario: The official OpenAI client works unchanged
    When the OpenAI client asks salalah-a-2 for 6 tokens, streamed and not
    Then both answers have 6 words

  Scenario: A request bound to another region is served there in one hop
    When school-ponds asks muscat-a-1 for a plan of 3 tokens
    Then the status is 200
    And only engines in salalah-a received the account's last request

  Scenario Outline: Invalid input gets a specific error and reaches no upstream
    When sahil-rinks sends <what> to muscat-a-1
    Then the status is <status>
    And the error is <code> at <step> and says not-run
    And no upstream received the request

    Examples:
      | what                 | status | code              | step         |
      | no key               | 401    | key-missing       | authenticate |
      | a malformed key      | 401    | key-unknown       | caller-codec |
      | an unknown key       | 401    | key-unknown       | authenticate |
      | an unknown model     | 404    | route-unknown     | match        |
      | no JSON              | 400    | body-invalid      | caller-codec |
      | a list               | 400    | body-invalid      | caller-codec |
      | a wrong type         | 400    | body-invalid      | caller-codec |
      | a negative limit     | 400    | body-invalid      | caller-codec |
      | a bad deadline       | 400    | body-invalid      | caller-codec |
      | a body too large     | 413    | body-too-large    | callers      |
      | too many headers     | 431    | headers-too-large | callers      |
      | an unknown path      | 404    | route-unknown     | callers      |
      | a forged minted key  | 400    | operation-invalid | idempotency  |
      | a key without a time | 400    | operation-invalid | idempotency  |

  Scenario: Garbage from a peer is refused and the instance keeps serving
    When garbage is sent to the peer port of muscat-a-1
    And a peer message without a fleet proof is sent to muscat-a-1
    And sahil-rinks asks muscat-a-1 for a plan of 2 tokens
    Then the status is 200

  Scenario: Operators write, watch and delete resources, and stale versions are refused
    When an operator writes account new-club through sohar-a-2
    Then the resource has version 1 everywhere
    When an operator writes account new-club expecting version 0
    Then the operator gets resource-stale
    When an operator writes a key for account nobody
    Then the operator gets resource-conflict
    When an operator writes a malformed rate
    Then the operator gets resource-invalid
    When an operator deletes account new-club
    Then the resource is deleted everywhere
    And a wrong operator token gets operator-unknown
    And a watch shows the resources

  Scenario: An operator writes a route by host and path, and callers use it
    When an operator writes a route from hall.example under /orders/ to rink-desk
    And sahil-rinks calls /orders/7?x=1 of hall.example at muscat-a-1
    Then the status is 200
    And the plain service received GET /orders/7
    When sahil-rinks calls /elsewhere of hall.example at muscat-a-1
    Then the status is 404
    And the error is route-unknown at match and says not-run

  Scenario: No caller's key reaches an upstream or a log
    When sahil-rinks asks muscat-a-1 for a plan of 2 tokens
    And school-ponds asks muscat-a-1 for a plan of 2 tokens
    Then no upstream and no log holds a key

  Scenario: Metrics, health and the timeline of the logs cover a request
    When sahil-rinks asks muscat-a-2 for a plan of 2 tokens
    Then muscat-a-2 shows health, readiness and latency figures
    And the merged timeline of all logs is in order and contains the request
