Feature: An answer too many is nobody's answer
  Servers send copies of answers, early, late and several; each is a server on a port of its own.

  # Guards against a chat that gets another's answer, and one that fails for an answer that came before it (TWICE, LOST).
  Scenario Outline: A chat gets no answer but its own
    Given an engine that <names> the request in its answers and sends <extra>
    When 3 chats are sent to it one after another
    Then each gets its own answer or a failure, and <failures> fail

    Examples:
      | names          | extra                                              | failures |
      | repeats        | a copy of the first answer, while idle             | 0        |
      | repeats        | 3 copies of the first answer, while idle           | 0        |
      | repeats        | a copy of the first answer, together with it       | 0        |
      | repeats        | a copy of the first answer, with half of it later  | 0        |
      | repeats        | a copy of a stream, while idle                     | 0        |
      | repeats        | a copy of a refusal, while idle                    | 1        |
      | repeats        | a copy of the first answer, where the next is due  | 0        |
      | repeats        | a copy of a refusal, where the next is due         | 1        |
      | does not name  | a copy of the first answer, while idle             | 0        |
      | does not name  | a copy of the first answer, together with it       | 0        |
      | does not name  | a copy of the first answer, where the next is due  | 0        |
      | does not name  | a copy of a stream, where the next is due          | 0        |
      | does not name  | a copy of a refusal, where the next is due         | 1        |

  # Guards against a run that goes on at its engine while the request is sent to another one (TWICE).
  Scenario Outline: A chat whose answer is not believed runs no longer at its engine
    Given an engine that repeats the request in its answers and sends <extra>
    When 2 chats are sent to it one after another
    Then none works on a chat 0.2 seconds after the chat has failed

    Examples:
      | extra                                              |
      | an answer to another request, before each answer   |
      | a copy of its refusal, before each answer          |
      | garbage after the end of a stream                  |

  # Guards against a claim that counts as won by the reply to another one, so that a request runs twice (TWICE).
  Scenario Outline: A call of the store gets no reply but its own
    Given a <dialect> store that sends the reply to <call> again, <when>
    When the store refuses or grants the same kind of call twice
    Then the second reply is that of the second call

    Examples:
      | dialect  | call         | when                |
      | etcd     | a claim      | while idle          |
      | etcd     | many claims  | while idle          |
      | etcd     | a lease      | while idle          |
      | etcd     | a claim      | 3 times, while idle |
      | platform | a claim      | while idle          |
      | platform | a lease      | while idle          |
      | etcd     | a claim      | where next is due   |
      | etcd     | a lease      | where next is due   |
      | platform | a claim      | where next is due   |
      | platform | a lease      | where next is due   |

  # Guards against a reply too many that comes in two packets, the second with the next call under way.
  Scenario Outline: A reply of the store too many that has come in part is no reply
    Given a <dialect> store that sends half of the first reply again while idle, and the rest of it later
    When the store refuses or grants the same kind of call twice
    Then the second call gets no reply but its own, or fails

    Examples:
      | dialect  |
      | etcd     |
      | platform |

  # Guards against replies that go to the wrong calls from the first one on that was seen to be wrong.
  Scenario: A connection whose reply is not the call's own carries no other call
    Given an etcd store that sends the reply to many claims again where the next is due
    When it is asked for many other claims, and then for a lease
    Then the claims fail, and the reply to the lease is its own

  # Guards against an old report that is taken for the newest one.
  Scenario: A poll gets no report but its own
    Given an upstream that sends each load report again, while idle
    When its load is polled twice
    Then the second report is that of the second poll

  Scenario: An answer too many that has arrived, but is not read yet, is not the next one
    Given a server that sends an answer twice, the second just before the next request
    When two requests are sent to it one after another
    Then the second one is sent on a new connection

  # Guards against a request with a key that runs at two instances, as the reply to another claim came for its own (TWICE).
  Scenario Outline: A claim is won only by the reply that holds it
    When an instance claims <first>, and then <second>, which another one holds
    Then the second claim is not won by the reply to the first, which comes late

    Examples:
      | first    | second   |
      | a        | b        |
      | a and c  | b and d  |
      | a        | b and d  |
