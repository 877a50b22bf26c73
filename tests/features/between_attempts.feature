Feature: "Not run" is told only of a request that no upstream has
  A request is refused by an upstream, and sent again on a connection where copies of refusals come.

  # Guards against callers that are told "not run" of an order that an upstream works on (REFUSED, TWICE).
  Scenario Outline: An order that is given up while its second attempt is under way may have run
    Given an order that was refused and is under way again, where copies of its refusal come <moment>
    When meanwhile, <what>
    Then its caller is told nothing but that it may have run
    And no upstream works on it 0.5 seconds later, and no other one got it

    Examples:
      | moment        | what               |
      | before        | the instance stops |
      | before        | its caller leaves  |
      | before        | its time is over   |
      | while it runs | the instance stops |
      | while it runs | its caller leaves  |
      | while it runs | its time is over   |

  Scenario Outline: An order that is given up while its first attempt is refused is sent nowhere else
    Given an order whose first upstream takes a while to refuse it, where another one could run it
    When meanwhile, <what>
    Then no upstream runs it, and no other one got it

    Examples:
      | what               |
      | the instance stops |
      | its caller leaves  |
      | its time is over   |

  # Guards against "not run" after a run, as the last attempt of several was refused (REFUSED).
  Scenario: An order that one upstream may have run is not told as refused by another
    Given an upstream that loses its answer to an order, and another one that refuses all
    When the order is sent to both in turn
    Then its caller is told nothing but that it may have run
