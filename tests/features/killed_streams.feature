@deployment @doors
Feature: A stream whose instance dies holds the events of a single engine
  Six instances in three regions with their stand-ins, as in examples/doors.

  Scenario: A stream whose forwarding instance dies is replayed whole by the keeper of its key
    Given engines whose words bear their names, and which need 20 ms for a token
    When centro begins to stream 40 tokens from cen-a-1 with a key of cen-a-2, and cen-a-1 is killed after 0.3 seconds
    And it repeats the request at cen-a-2 until it is answered
    Then the answer is a whole stream of one engine, from its first word
    And it is a replay, and one engine got the request

  Scenario: A stream whose key's keeper dies goes on nowhere
    Given engines whose words bear their names, and which need 20 ms for a token
    When norte begins to stream 40 tokens from nte-a-1 with a key of nte-a-2, and nte-a-2 is killed after 0.3 seconds
    Then the stream has words of one engine, an error event, and no end marker
    When the engines are sound again, and it repeats the request at nte-a-1 with Last-Event-Id, Resumes
    Then it is refused as one that may have run
    And one engine got the request
