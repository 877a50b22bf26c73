Feature: Requests of an account whose slices are not known everywhere yet
  Fleets of two instances in each of three regions, in virtual time; the client account's residency
  is one region, and its requests arrive at an instance of another.

  Scenario Outline: The first request of a new account is not refused as over its rate
    Given <count> fleets whose store takes <extra> s longer each way
    When a client account is created and its first request arrives <delay> s later
    Then the first request is admitted in each fleet

    Examples:
      | count | extra | delay |
      | 20    | 0     | 0     |
      | 20    | 0     | 0.05  |
      | 20    | 0     | 0.1   |
      | 5     | 0.05  | 0     |
      | 5     | 0.05  | 0.5   |
      | 5     | 0.1   | 0     |

  Scenario: A first request whose deadline ends too soon is told that the rate is unknown
    Given 3 fleets whose store takes 0.1 s longer each way
    When a client account is created and a request with 0.4 s to its deadline arrives
    Then the first request is refused with rate-unavailable after 0.4 s in each fleet
    And Retry-After is the 2 s in which slices become known

  Scenario: The first request while the store is away is not kept until its deadline
    Given 3 fleets whose store takes 0 s longer each way
    When a client account is created, the store goes away and its first request arrives
    Then the first request is refused with rate-unavailable after 2 s in each fleet
    And Retry-After is the 2 s in which slices become known

  Scenario: A request over the rate of an account with settled slices is refused as before
    Given 3 fleets whose store takes 0 s longer each way
    When a client account uses its whole burst and sends one more request after 5 s
    Then the last request is refused with rate-exceeded within 0.5 s in each fleet

  Scenario: Requests within the rate are served while the store is away and once it is back
    Given 4 fleets whose store takes 0 s longer each way
    When the store is away for 12 s while small requests come everywhere
    Then none of the small requests is refused
