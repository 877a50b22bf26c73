Feature: A poll gets no reply but its own
  Servers send the reply to an earlier poll again, where the reply to the next one is due.

  # Guards against old reports, lists and changes that pass for the newest ones.
  Scenario Outline: The reply to a poll that comes again where the next is due is nobody's reply
    Given a server of <polled> that sends each reply again, <when>
    When <polled> is polled 3 times
    Then the reply to each poll is its own, or the poll fails

    Examples:
      | polled               | when                                     |
      | a load report        | where the next is due                    |
      | the instance list    | where the next is due                    |
      | the client directory | where the next is due                    |
      | the store's changes  | where the next is due                    |
      | a load report        | in part, with the rest where next is due |
      | the instance list    | in part, with the rest where next is due |
      | the store's changes  | in part, with the rest where next is due |
      | a load report        | just before the next poll                |
      | the instance list    | just before the next poll                |
      | the client directory | just before the next poll                |
      | the store's changes  | just before the next poll                |

  # Guards against a watch that takes the changes of an earlier one for its own.
  Scenario: A streaming watch that begins again reads nothing that was sent to the one before
    Given an etcd store that ends a watch, and sends its change again where the next watch is due
    When a prefix is watched twice
    Then each watch brings its own change
