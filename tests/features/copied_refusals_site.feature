@platform_site
Feature: Copied refusals before the instances of a whole site
  Instances, store and other upstreams are processes.

  # Guards against an order that runs twice: the copy of its refusal counted as the answer (TWICE).
  Scenario: An order that goes to an upstream under its new name runs nowhere else meanwhile
    Given a desk upstream of east-a that writes its refusals again while the next request runs
    When an order goes to edge-east-1 while that upstream comes back under a new name, before others
    Then the order ran at that upstream only, and its answer is the caller's
