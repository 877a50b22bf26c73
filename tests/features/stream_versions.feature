Feature: A resumable stream goes on only at the software version that began it
  In virtual time. Upstreams of several versions of their software serve one service side by side.

  Scenario: The log says which software version an upstream has, was sent a request and answered it
    Given an instance with upstream u1 of version v1
    When a resumable stream begins and ends in full
    Then the events upstream-found, request-dispatched and request-ended name version v1

  Scenario: A stream that breaks off goes on at another upstream of its version
    Given an instance with upstreams u1 of version v1, u2 of version v2, u3 of version v1 and u4 of version v2
    When 20 resumable streams begin and break off after an event
    Then each goes on at an upstream of the version that began it

  Scenario: A stream that breaks off is cut when no other upstream of its version is left
    Given an instance with upstreams u1 of version v1 and u2 of version v2
    When 20 resumable streams begin and break off after an event
    Then each ends with answer-cut or the error of its attempt, not at another version

  Scenario: A stream that breaks off goes on in another region where its version serves
    Given an instance of east with upstreams u1 of version v1 and u2 of version v2, and one of west with w1 of version v1 and w2 of version v2
    When a resumable stream of u1 breaks off and is forwarded to west, 40 times
    Then the instance of west sends it to w1 each time

  Scenario: The rest of a stream from another software version is not joined to it
    Given an instance with upstreams u1 of version v1 and u3 of version v1
    When a resumable stream breaks off and the resumed attempt is answered by version v2
    Then it ends with answer-cut

  Scenario: The rest of a stream from another software version in another region is not joined to it
    Given an instance of east with upstreams u1 of version v1 and u2 of version v2, and one of west with w1 of version v1 and w2 of version v2
    When a resumable stream of u1 breaks off, is forwarded to west and answered by version v2
    Then it ends with answer-cut

  # Guards against streams of an upstream that came back under its id with another version (ORDER).
  Scenario Outline: A stream is not passed on from an upstream that started again with another version meanwhile
    Given an instance with <upstreams>
    When a resumable stream is sent to an upstream, which starts again with version v2 before it answers
    Then <outcome>

    Examples:
      | upstreams                                       | outcome                                   |
      | upstreams u1 of version v1 and u3 of version v1 | the stream is sent to the other one       |
      | upstream u1 of version v1                       | no event of the stream reaches its caller |

  Scenario: A stream that was forwarded is not passed on either from an upstream that started again with another version
    Given an instance of east with upstreams u1 of version v1 and u2 of version v2, and one of west with w1 of version v1 and w2 of version v2
    When a resumable stream of u1 breaks off and is forwarded to west, where w1 starts again with version v2 before it answers
    Then no event of the stream reaches its caller

  Scenario: A stream that was forwarded is not passed on if only its sender has heard that the upstream started again
    Given an instance of east with upstreams u1 of version v1 and u2 of version v2, and one of west with w1 of version v1 and w2 of version v2
    When a resumable stream of u1 breaks off, is forwarded to west and answered by w1, which started again with version v2, as only east knows
    Then it ends with answer-cut

  Scenario: A plain request may be repeated at another software version
    Given an instance with upstreams u1 of version v1 and u2 of version v2
    When a safe request fails at its first upstream
    Then it is sent to the other one
