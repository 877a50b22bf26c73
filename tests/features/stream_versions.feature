Feature: A resumable stream goes on only at the software version that began it
  In virtual time. Upstreams of several versions of their software serve one service side by side.

  Scenario: The log says which software version an upstream has, was sent a request and answered it
    Given an instance with upstream u1 of version v1
    When a resumable stream begins and ends in full
    Then the events upstream-found, request-dispatched and request-ended name version v1
