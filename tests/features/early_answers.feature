Feature: An answer that ends early, or has no status, is no answer
  Upstreams on plain sockets answer before the upload was read. Each row of the first table plays 96 forms: four ends, three
  moments, a part and all of the answer, text and events, the end at once and later.

  # Guards against a truncated answer that looks complete, and a "not run" of a request that ran (MIXED, REFUSED).
  Scenario Outline: An answer that ends while the upload is written is complete, or failed as one that may have run
    Given the client for <upstreams>
    When uploads that are <upload> are answered early, with <framing>
    Then no part counts as complete, whole answers get through, and no failure tells that the request has not run

    Examples:
      | upstreams                      | framing         | upload        |
      | platform upstreams             | no length       | short         |
      | platform upstreams             | no length       | in the socket |
      | platform upstreams             | no length       | blocked       |
      | platform upstreams             | a length        | short         |
      | platform upstreams             | a length        | in the socket |
      | platform upstreams             | a length        | blocked       |
      | platform upstreams             | chunks          | short         |
      | platform upstreams             | chunks          | in the socket |
      | platform upstreams             | chunks          | blocked       |
      | platform upstreams             | inside the head | short         |
      | platform upstreams             | inside the head | in the socket |
      | platform upstreams             | inside the head | blocked       |
      | upstreams of the own interface | no length       | short         |
      | upstreams of the own interface | no length       | in the socket |
      | upstreams of the own interface | no length       | blocked       |
      | upstreams of the own interface | a length        | short         |
      | upstreams of the own interface | a length        | in the socket |
      | upstreams of the own interface | a length        | blocked       |
      | upstreams of the own interface | chunks          | short         |
      | upstreams of the own interface | chunks          | in the socket |
      | upstreams of the own interface | chunks          | blocked       |
      | upstreams of the own interface | inside the head | short         |
      | upstreams of the own interface | inside the head | in the socket |
      | upstreams of the own interface | inside the head | blocked       |

  # Guards against a caller who gets a status that isn't one, and a refusal that is believed of such an answer.
  Scenario Outline: An answer with a status that no answer may have is a failure of a request that may have run
    Given the client for <upstreams>
    When requests are answered with statuses <statuses>, with <headers>
    Then each fails as one that may have run

    Examples:
      | upstreams                      | statuses            | headers              |
      | platform upstreams             | below 100           | no more headers      |
      | platform upstreams             | below 100           | those of a refusal   |
      | platform upstreams             | from 100 to 199     | no more headers      |
      | platform upstreams             | from 100 to 199     | those of a refusal   |
      | platform upstreams             | from 600 on         | no more headers      |
      | platform upstreams             | from 600 on         | those of a refusal   |
      | platform upstreams             | not of three digits | no more headers      |
      | platform upstreams             | not of three digits | those of a refusal   |
      | platform upstreams             | not a number        | no more headers      |
      | platform upstreams             | not a number        | those of a refusal   |
      | upstreams of the own interface | below 100           | no more headers      |
      | upstreams of the own interface | below 100           | those of a refusal   |
      | upstreams of the own interface | from 100 to 199     | no more headers      |
      | upstreams of the own interface | from 100 to 199     | those of a refusal   |
      | upstreams of the own interface | from 600 on         | no more headers      |
      | upstreams of the own interface | from 600 on         | those of a refusal   |
      | upstreams of the own interface | not of three digits | no more headers      |
      | upstreams of the own interface | not of three digits | those of a refusal   |
      | upstreams of the own interface | not a number        | no more headers      |
      | upstreams of the own interface | not a number        | those of a refusal   |

  # Guards against the rest of an upload that is read as the next request.
  Scenario Outline: A connection whose upload was not read when its answer came carries no other request
    Given the client for platform upstreams
    When an upload that is <upload> gets a whole answer before it is read, and another request follows
    Then the other request gets its own answer, on connection <connection>

    Examples:
      | upload        | connection |
      | short         | 1          |
      | in the socket | 2          |
      | blocked       | 2          |

  # Guards against bytes after an answer that ended with its head, taken for the next answer.
  Scenario Outline: The body of an answer that has none is nobody's answer
    Given the client for <upstreams>
    When <request> gets <status> with <framing> and a body, and another request follows
    Then the first is answered without a body or may have run, and the other request gets its own answer, on connection 2

    Examples:
      | upstreams                      | request   | status         | framing   |
      | platform upstreams             | an upload | 204 No Content | no length |
      | platform upstreams             | an upload | 204 No Content | a length  |
      | platform upstreams             | an upload | 304 Unchanged  | no length |
      | platform upstreams             | an upload | 304 Unchanged  | a length  |
      | platform upstreams             | HEAD      | 200 OK         | no length |
      | platform upstreams             | HEAD      | 200 OK         | a length  |
      | upstreams of the own interface | an upload | 204 No Content | no length |
      | upstreams of the own interface | an upload | 204 No Content | a length  |
      | upstreams of the own interface | an upload | 304 Unchanged  | no length |
      | upstreams of the own interface | an upload | 304 Unchanged  | a length  |
      | upstreams of the own interface | HEAD      | 200 OK         | no length |
      | upstreams of the own interface | HEAD      | 200 OK         | a length  |

  # Guards against a caller who gets such an answer from another region, or is told that its order has not run.
  Scenario Outline: A caller is told neither an early answer nor its status, and that the order may have run
    Given an upstream in <region> that answers with <answer>, and then ends with <end>
    When an order with an upload that is in the socket is sent to the instance in east
    Then the order is answered 502, may-have-run, and the upstream got it once

    Examples:
      | region | answer               | end          |
      | east   | a part, no length    | a reset      |
      | east   | a part, no length    | a half-close |
      | east   | a part, chunks       | a half-close |
      | east   | a part, a length    | a reset      |
      | east   | half a head          | a half-close |
      | east   | status 000           | a half-close |
      | east   | status 999           | a half-close |
      | east   | status 999, refusing | a half-close |
      | west   | a part, no length    | a reset      |
      | west   | a part, no length    | a half-close |
      | west   | a part, chunks       | a half-close |
      | west   | a part, a length    | a reset      |
      | west   | half a head          | a half-close |
      | west   | status 000           | a half-close |
      | west   | status 999           | a half-close |
      | west   | status 999, refusing | a half-close |
