Feature: Prompt parts of any number and name cost an instance little

  # Guards against tables whose keys callers choose, without a bound on the keys (LOST).
  Scenario: What is remembered of long part ids is short
    Given an instance with configuration 1 and an engine u1
    When 200 requests run there one after the other, each with parts of its own of 3000 characters
    Then the parts that u1 is known to have read take at most 64 characters each
    And a request with the same long part finds it there

  Scenario: Parts beyond a number count as one with the last
    Given an instance with configuration 1 and an engine u1
    When a request has 1000 parts of 10 tokens
    Then it is taken to have 64 parts with 10000 tokens in all
