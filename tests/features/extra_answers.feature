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
