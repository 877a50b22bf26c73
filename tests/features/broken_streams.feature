@own_site
Feature: A stream holds the events of a single engine
  Each engine stands for a software version of its own; its words bear its name.

  # Guards against a stream whose text is joined from two versions (ORDER).
  Scenario Outline: A stream that breaks off ends with an error, and a repeat begins anew
    Given engines whose words bear their names, and which break off after 3 tokens
    When centro streams 8 tokens from cen-a-1 with <key>
    Then the stream has 3 words of one engine, an error event answer-cut, may-have-run, and no end marker
    When the engines are sound again, and it repeats the request at <second> with <headers>
    Then the answer is a whole stream of one engine, from its first word

    Examples:
      | key              | second  | headers                 |
      | no key           | cen-a-1 | nothing else            |
      | no key           | cen-a-1 | Last-Event-Id, Resumes  |
      | no key           | cen-a-2 | Last-Event-Id, Resumes  |
      | no key           | nte-a-1 | Last-Event-Id, Resumes  |
      | a chosen key     | cen-a-1 | Last-Event-Id, Resumes  |
      | a chosen key     | cen-a-2 | Last-Event-Id, Resumes  |
      | a key of cen-a-1 | cen-a-1 | nothing else            |
      | a key of cen-a-1 | cen-a-2 | Last-Event-Id, Resumes  |
      | a key of cen-a-2 | cen-a-2 | nothing else            |

  Scenario Outline: A stream whose caller goes away is kept whole for its repeat
    Given engines whose words bear their names, and which need 20 ms for a token
    When centro begins to stream 40 tokens from cen-a-1 with <key>, and goes away after 3 of them
    And it repeats the request at <second> until it is answered
    Then the answer is a whole stream of one engine, from its first word
    And it is a replay, and one engine got the request

    Examples:
      | key              | second  |
      | a chosen key     | cen-a-1 |
      | a chosen key     | cen-a-2 |
      | a key of cen-a-1 | cen-a-1 |
      | a key of cen-a-1 | cen-a-2 |
      | a key of cen-a-2 | cen-a-2 |

  Scenario Outline: A stream that comes through another region and breaks off goes on nowhere
    Given engines whose words bear their names, and which break off after 3 tokens
    And the engines near cen-a-1 are leaving
    When centro streams 8 tokens from cen-a-1 with <key>
    Then the stream has 3 words of one engine, an error event answer-cut, may-have-run, and no end marker
    And one engine got the request

    Examples:
      | key              |
      | no key           |
      | a chosen key     |
      | a key of cen-a-1 |
