Feature: No caller can mistake an answer that broke off for a complete one
  In HTTP/1.0 an answer without a length is complete when its connection ends in order.

  # Guards against a part of an answer that counts as the whole (MIXED).
  Scenario Outline: An answer breaks off after its first part
    Given a server with the <front> that breaks an answer off after <size> bytes
    When a caller asks it in <version>
    Then the caller got a part, and then a reset or an end without the mark that the body is whole

    Examples:
      | front                | size   | version  |
      | platform's front end | 1000   | HTTP/1.0 |
      | platform's front end | 1000   | HTTP/1.1 |
      | own front end        | 300000 | HTTP/1.0 |
      | own front end        | 300000 | HTTP/1.1 |
