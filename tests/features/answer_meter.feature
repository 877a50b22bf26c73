Feature: Tokens of answers are counted without keeping the answers

  # Guards against an instance that keeps a copy of each answer that it passes on (LOST).
  Scenario: Of a long answer little is kept
    Given an answer of 3000000 bytes that reports 1234 tokens
    When it is counted in pieces of 16384 bytes
    Then 1234 tokens are counted, and at most 4096 bytes are kept of it

  Scenario: A report is found however the answer comes in pieces
    Given an answer of 200 bytes that reports 987654 tokens
    When it is counted in two pieces, cut at each byte in turn
    Then 987654 tokens are counted each time

  Scenario: What a model writes about reports is none
    Given an answer whose text quotes a report of 7 tokens, and that reports 12
    When it is counted in pieces of 16 bytes
    Then 12 tokens are counted, and at most 4096 bytes are kept of it
