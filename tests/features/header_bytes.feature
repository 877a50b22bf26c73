Feature: Headers reach upstreams as their callers sent them

  # Guards against requests that wait for their whole deadline as a header can't be sent on.
  Scenario Outline: A header with letters beyond ASCII reaches the upstream unchanged
    Given an instance in east that forwards to west
    And <upstream> serves
    When a caller sends a header with the bytes <value>
    Then the request is answered in full within 2 seconds, and its upstream got the same bytes

    Examples:
      | upstream              | value       |
      | an upstream in east   | 636166c3a9  |
      | an upstream in east   | 636166e9    |
      | only one in west      | 636166c3a9  |
      | only one in west      | 636166e9    |

  # Guards against requests that wait for their whole deadline after an error of the gateway.
  Scenario: A request whose attempt raises an error is answered at once
    Given an instance in east that forwards to west
    And an upstream in east serves
    When a caller sends a header that no upstream can be sent
    Then the request ends within 2 seconds with a status that promises nothing
