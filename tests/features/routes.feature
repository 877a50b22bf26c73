Feature: Routes by host and path, written by operators through the own interface

  Scenario Outline: The longest matching prefix of the host selects the route
    Given routes of hall.example with prefixes / and /ice/ and /ice/deep/
    When a request for <path> of <host> comes in
    Then its route is <route>

    Examples:
      | host         | path         | route     |
      | hall.example | /ice/deep/x  | /ice/deep/|
      | hall.example | /ice/x       | /ice/     |
      | hall.example | /icy/x       | /         |
      | other.example| /ice/x       | unknown   |

  Scenario: Several services share a route by weight
    Given a route of hall.example shared 3 to 1 by desk-a and desk-b
    When 400 requests for it come in
    Then desk-a gets from 250 to 350 of them, and desk-b the rest

  Scenario Outline: The attempts, timeout and priority of a route apply to its requests
    Given a route of hall.example with <field> <value>
    When its request fails at every upstream
    Then it was sent <sends> times with priority <priority> and at most <left> seconds left

    Examples:
      | field     | value | sends | priority | left |
      | attempts  | 1     | 1     | 0        | 30   |
      | attempts  | 2     | 2     | 0        | 30   |
      | timeout_s | 2     | 3     | 0        | 2    |
      | priority  | 4     | 3     | 4        | 30   |

  Scenario Outline: An invalid route is refused
    When an operator's route has <fields>
    Then it is refused for <reason>

    Examples:
      | fields                                            | reason      |
      | target, host and prefix                           | either      |
      | host and no prefix                                | either      |
      | neither target nor host                           | either      |
      | service and backends                              | backends    |
      | a prefix without its last slash                   | prefix      |
      | backends of weight 0                              | weight      |

  Scenario: Encoding and decoding a route leaves it unchanged
    When an operator writes a route by host and path shared by two services
    Then decoding it from its bytes gives the same route
