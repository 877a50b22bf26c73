Feature: Headers reach upstreams as their callers sent them

  # Guards against requests that wait for their whole deadline after an error of the gateway.
  Scenario: A request whose attempt raises an error is answered at once
    Given an instance in east that forwards to west
    And an upstream in east serves
    When a caller sends a header that no upstream can be sent
    Then the request ends within 2 seconds with a status that promises nothing
