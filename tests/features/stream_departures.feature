Feature: A stream leaves its upstream only when nothing of it runs there any more
  Instances in east and west and their upstreams in this process, with real sockets between them.

  # Guards against a stream that goes on elsewhere beside its run, for a reason that is none (TWICE).
  Scenario Outline: Neither a pause, nor a notice to leave, nor a slow caller ends an attempt
    Given a stream that comes from <place>, where another upstream could go on with it
    When after 2 events <what>
    Then the caller gets all 6 events once, from the upstream that began

    Examples:
      | place | what                                                 |
      | east  | its upstream pauses for 3 seconds                    |
      | west  | its upstream pauses for 3 seconds                    |
      | east  | its upstream reports that it leaves                  |
      | west  | its upstream reports that it leaves                  |
      | east  | its upstream reports that it leaves within a second  |
      | west  | its upstream reports that it leaves within a second  |
      | east  | its caller reads an event each 0.8 seconds           |
      | west  | its caller reads an event each 0.8 seconds           |

  Scenario Outline: An answer that says that its upstream leaves is passed on to its end
    Given a stream that comes from <place>, whose head says that its upstream leaves
    When after 2 events nothing else happens
    Then the caller gets all 6 events once, from the upstream that began

    Examples:
      | place |
      | east  |
      | west  |

  # Guards against a run that goes on where its upstream has closed its half of the connection only (TWICE).
  Scenario Outline: A stream whose upstream closes its half of the connection is ended there before it goes on
    Given an upstream that closes its half of the connection <when>, and works on
    When a stream is asked for, and another upstream could go on with it
    Then the first one stops working on it before the next begins
    And the caller gets all 6 events once

    Examples:
      | when              |
      | after 2 events    |
      | inside an event   |
      | before its answer |

  # Guards against an order that runs twice as its upstream closed its half of the connection (TWICE, REFUSED).
  Scenario Outline: An order whose upstream closes its half of the connection runs once
    Given an upstream that closes its half of the connection <when>, and works on
    When an order is sent, and another upstream could run it
    Then it ran once, and its caller is told that it may have run

    Examples:
      | when              |
      | inside its answer |
      | before its answer |
