@platform_site
Feature: Instances on the users' platform, as processes, with its store and upstreams as stand-ins
  Two instances in east and one in west; two upstreams of each service in east and one in west.

  Scenario: A request and its answer pass through unchanged
    When a caller who sets reserved headers asks edge-east-1 for POST /book/a%20b?x=1
    Then the answer is 200, signed by an upstream, with its whole body
    And one upstream saw POST /book/a%20b?x=1 with the body flood
    And the request named the account rinks, that upstream, and at most the time left
    And it carried neither the key nor the caller's reserved headers

  # Guards against a body that reaches the upstream decompressed (review/4).
  Scenario Outline: A body with a content encoding passes through unchanged
    When a caller sends edge-east-1 a body in <encoding>
    Then one upstream got the same bytes with that encoding

    Examples:
      | encoding |
      | gzip     |
      | deflate  |
      | br       |

  Scenario Outline: A request that the configuration does not allow is refused
    When a caller <who> asks edge-east-1 for <method> <path>
    Then the answer is <status> and no upstream saw it

    Examples:
      | method | path      | who                      | status |
      | POST   | /none/x   | with the account's key  | 404    |
      | POST   | /book/x   | with no key             | 401    |
      | POST   | /book/x   | with an unknown key     | 401    |
      | POST   | /book/x   | with 9000 header bytes  | 431    |
      | POST   | /book/x   | with 30000 body bytes   | 413    |

  Scenario Outline: A request that must not be repeated runs at most once and gets a truthful status
    Given the upstreams have the fault <fault>
    When a caller with the account's key asks edge-east-1 for POST /book/x
    Then the answer is <status>
    And it ran <times> times

    Examples:
      | fault            | status | times |
      | shed once        | 200    | 1     |
      | reset            | 502    | 1     |
      | lose_answer      | 502    | 1     |
      | fail             | 500    | 1     |
      | stray_before     | 200    | 1     |
      | unframed         | 200    | 1     |
      | unframed_reset   | 502    | 1     |
      | unsigned         | 502    | 1     |
      | quiet_503        | 502    | 1     |
      | half_head        | 502    | 1     |
      | early            | 500    | 0     |
      | redirect         | 307    | 1     |

  Scenario Outline: Bytes without end that are no answer are not read on
    Given the upstreams have the fault <fault> once
    When a caller with the account's key asks edge-east-1 for POST <path>
    Then the answer is <status> within 0 to 2 seconds
    And no upstream works on it half a second later

    Examples:
      | fault            | path    | status |
      | endless_interim  | /book/x | 502    |
      | endless_head     | /book/x | 502    |
      | endless_body     | /book/x | 502    |
      | endless_refusal  | /book/x | 200    |
      | dripping_refusal | /book/x | 200    |
      | endless_event    | /ask/x  | 502    |

  Scenario Outline: A safe request is retried at another upstream
    Given the upstreams have the fault <fault>
    When a caller with the account's key asks edge-east-1 for GET /status/x
    Then the answer is 200
    And it ran <times> times

    Examples:
      | fault      | times |
      | fail once  | 2     |
      | reset once | 2     |
      | shed once  | 1     |

  Scenario: Stray bytes after an answer are not taken for the next answer
    Given the upstreams have the fault stray_after
    When 6 requests GET /status/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request

  Scenario: Entries that name the address of another upstream are not used
    Given the entry of desk-1 names the address of desk-2
    And the entry of desk-3 names the address of desk-2
    When 6 requests GET /status/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request
    And only desk-2 ran them

  Scenario: An earlier refusal sent once more on a kept connection is not taken for an answer
    Given the upstreams have the fault stale_refusal 9
    When 8 requests POST /book/x go to edge-east-1 over one connection
    Then each request ran at most once, and none that ran is answered as not run

  Scenario Outline: A stream cut off by its upstream is resumed, or ends after a whole event
    Given the upstreams have the fault <fault> once
    When a caller with the account's key asks edge-east-1 for GET /<route>/x
    Then the stream <ends>

    Examples:
      | fault           | route | ends                                        |
      | cut             | plan  | has each event from 1 to 6 once, in order   |
      | cut             | ask   | breaks off after whole events 1 to 3        |
      | cut_then_fail   | plan  | breaks off after whole events 1 to 3        |
      | half_head       | plan  | has each event from 1 to 6 once, in order   |
      | unframed_stream | plan  | has all 6 events of a single upstream       |
      | unframed_stream | ask   | has all 6 events of a single upstream       |
      | unframed_cut    | plan  | has each event from 1 to 6 once, in order   |
      | unframed_cut    | ask   | breaks off after whole events 1 to 3        |

  # Guards against crashes that don't count: what ends with its upstream is a crash, garbage is none.
  Scenario Outline: Only a stream that breaks off with its connection counts as a crash
    Given the upstreams have the fault <fault> once
    When a caller with the account's key asks edge-east-2 for GET /ask/<fault>
    Then the stream breaks off after whole events 1 to 3
    And the log of edge-east-2 suspects that request <times> times

    Examples:
      | fault        | times |
      | unframed_cut | 1     |
      | garbage      | 0     |

  # Guards against a part of a stream that no run made, written after the stream was resumed (ORDER).
  Scenario Outline: What an upstream writes into a stream that it resumes reaches no caller
    Given the upstreams have the fault <fault>
    When a caller with the account's key asks <instance> for GET /plan/<instance>
    Then the caller got the first events in order and nothing else, breaking off

    Examples:
      | fault                 | instance    |
      | garbage 2             | edge-east-1 |
      | no_id 2               | edge-west-1 |
      | repeated_id 2         | edge-east-1 |
      | earlier_id 2          | edge-west-1 |
      | cut_then_plain once   | edge-east-1 |
      | cut_then_plain once   | edge-west-1 |
      | cut_then_restart once | edge-east-1 |
      | cut_then_restart once | edge-west-1 |

  # Guards against a part of a stream that no run made: an upstream in trouble wrote it (ORDER).
  Scenario Outline: What an upstream writes into a stream beside its events reaches no caller
    Given the upstreams have the fault <fault> once
    When a caller with the account's key asks edge-east-1 for GET /plan/<fault>
    Then the caller got events 1 to 6 once, in order, and nothing else
    Given the upstreams have the fault <fault> once
    When a caller with the account's key asks edge-west-1 for GET /ask/<fault>
    Then the caller got the first events in order and nothing else, <ends>

    Examples:
      | fault           | ends                |
      | garbage_first   | with a failure      |
      | plain           | with a failure      |
      | garbage         | breaking off        |
      | garbage_line    | breaking off        |
      | garbage_ahead   | breaking off        |
      | garbage_last    | breaking off        |
      | rest_last       | breaking off        |
      | answer_inside   | breaking off        |
      | no_id           | breaking off        |
      | empty_id        | breaking off        |
      | word_id         | breaking off        |
      | signed_id       | breaking off        |
      | padded_id       | breaking off        |
      | huge_id         | breaking off        |
      | repeated_id     | breaking off        |
      | earlier_id      | breaking off        |
      | two_ids         | breaking off        |
      | id_last         | breaking off        |
      | no_data         | breaking off        |
      | other_field     | breaking off        |
      | late_version    | breaking off        |
      | carriage_return | breaking off        |
      | no_text         | breaking off        |
      | comment_inside  | breaking off        |
      | comment         | complete            |
      | blank_lines     | complete            |

  # The same where the stream comes through an instance of another region.
  Scenario Outline: What an upstream of another region writes into a stream reaches no caller
    Given model-3 sheds every request
    And the upstreams have the fault <fault> once
    When a caller with the account's key asks edge-west-1 for GET /ask/<fault>
    Then the caller got the first events in order and nothing else, <ends>

    Examples:
      | fault         | ends           |
      | plain         | with a failure |
      | garbage_first | with a failure |
      | empty_id      | breaking off   |
      | garbage_last  | breaking off   |

  Scenario: A resumed stream is refused before its first event, and resumes in another region
    Given the upstreams have the fault cut once
    And model-2 sheds every request
    When a caller with the account's key asks edge-east-1 for GET /plan/x
    Then the stream has each event from 1 to 6 once, in order

  Scenario: Work on a request stops when its caller disconnects
    Given the upstreams have the fault hang
    When a caller disconnects 0.3 seconds after asking edge-east-1 for GET /ask/x
    Then no upstream works on it half a second later

  # Guards against runs for an instance that is gone (TWICE).
  Scenario: Work on a stream ends when the instance that forwarded it stands still
    Given model-3 sheds every request
    And the upstreams have the fault hang
    When a caller asks edge-west-1 for GET /plan/x, and edge-west-1 stands still after 0.5 seconds
    Then no upstream works on it 2 seconds later, while edge-west-1 still stands still

  # Guards against a stream that two upstreams work on at the same time (TWICE).
  Scenario Outline: A stream that goes on at another upstream is no longer worked on at the one before
    Given an event takes 0.4 seconds, and the upstreams have the fault <fault> once
    And model-3 sheds every request
    When a caller with the account's key asks <instance> for GET /plan/<fault>
    Then no upstream worked on it for more than 0.4 seconds after the next one began

    Examples:
      | fault         | instance    |
      | garbage       | edge-east-1 |
      | garbage       | edge-west-1 |
      | repeated_id   | edge-east-1 |
      | answer_inside | edge-west-1 |
      | cut           | edge-east-1 |
      | cut           | edge-west-1 |
      | unframed_cut  | edge-east-1 |
      | cut_then_fail | edge-east-1 |

  # Guards against a run that goes on for a caller who has gone on elsewhere (TWICE).
  Scenario Outline: A stream that its caller resumes at another instance is no longer worked on for the first one
    Given an event takes 0.4 seconds
    And model-3 sheds every request
    When a caller leaves <first> after 2 events of GET /plan/x, and resumes at <second>
    Then the caller got all 6 events once, in order
    And the run for the first instance ended at most 0.4 seconds after the second one began

    Examples:
      | first       | second      |
      | edge-east-1 | edge-east-2 |
      | edge-east-1 | edge-west-1 |
      | edge-west-1 | edge-east-1 |

  # Guards against streams that wait for an instance that stands still, until their deadline (LOST).
  Scenario: A stream goes on at another upstream when the instance that runs it stands still
    Given an event takes 0.4 seconds
    When model-3 has its entry removed
    And 3 s of real time pass
    And a caller asks edge-west-1 for GET /plan/x, and those in east stand still while model-3 comes back
    Then the caller got events 1 to 6 once, in order, and nothing else
    And the log of edge-west-1 has lease-not-renewed and run-end-awaited

  Scenario: A request ends when its route's timeout has passed
    Given the upstreams have the fault hang
    When a caller with the account's key asks edge-east-1 for GET /brief/x
    Then the answer is 504 within 0.7 to 1.2 seconds

  Scenario: A route whose home is another region is served there
    When 4 requests GET /away/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request
    And only desk-3 ran them

  Scenario Outline: A leaving upstream gets no new requests
    When desk-1 <leaves>
    And 3 s of real time pass
    And 8 requests GET /status/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request
    And desk-1 ran none of them

    Examples:
      | leaves                              |
      | says that it is draining            |
      | has its entry removed               |
      | has an entry that can't be read     |
      | has an entry of an unknown state    |

  # The bound of 3 s applies to instances whose store has worked without a fault for 5 s.
  Scenario Outline: Requests are served during a store fault, and changes apply after it
    Given the store has the fault <fault>
    And 2 s of real time pass
    When 6 requests GET /status/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request
    When the store has no fault any more
    And 5 s of real time pass
    And version 2 drops the route status
    And 3 s of real time pass
    And a caller with the account's key asks edge-east-1 for GET /status/x
    Then the answer is 404

    Examples:
      | fault                                |
      | down                                 |
      | silent                               |
      | 0.5 s of delay                       |
      | mute watches, and forgets its history|

  Scenario Outline: An instance starts while the store's writes have a fault
    When the platform kills edge-east-2
    And the store begins the fault <fault>
    Then edge-east-2 starts again and is ready
    And every directory names edge-east-2 within 8 seconds

    Examples:
      | fault                |
      | 4 lost answers       |
      | 4 late writes        |

  Scenario: The store refuses the machines of one region
    Given the store has the fault turning west away
    When version 2 drops the route status
    And 3 s of real time pass
    And a caller with the account's key asks edge-east-1 for GET /status/x
    Then the answer is 404
    When a caller with the account's key asks edge-west-1 for POST /book/x
    Then the answer is 200
    When the store has no fault any more
    And 5 s of real time pass
    And a caller with the account's key asks edge-west-1 for GET /status/x
    Then the answer is 404

  Scenario: Configurations in quick succession fail no valid request
    When 20 versions are published 0.15 s apart while every instance is asked for GET /status/x
    Then all of at least 100 requests were answered with status 200

  Scenario: An older or invalid configuration never replaces the current one
    When version 3 drops the route status
    And 3 s of real time pass
    And an older version 2 and a broken one are written
    And 1 s of real time pass
    And a caller with the account's key asks edge-west-1 for GET /status/x
    Then the answer is 404
    When a caller with the account's key asks edge-east-2 for POST /book/x
    Then the answer is 200

  Scenario: A withdrawn key is refused
    When version 4 withdraws the account's key
    And 3 s of real time pass
    And a caller with the account's key asks edge-east-2 for POST /book/x
    Then the answer is 401

  Scenario: An evacuated zone gets no requests until it is taken back
    When the zone east-a is evacuated
    And 2 s of real time pass
    And 4 requests GET /status/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request
    And only desk-3 ran them
    When the zone east-a is taken back
    And 2 s of real time pass
    And 6 requests GET /status/x go to edge-east-1 over one connection
    Then desk-3 ran none of these

  Scenario: A rate holds over all instances
    Given version 5 gives the account 100 tokens a second and a burst of 100
    And 3 s of real time pass
    When 20 requests a second of 10 tokens each are sent to every instance for 8 seconds
    Then at most 1190 tokens ran, and at least 700

  Scenario: A planned stop loses no request
    When requests run over kept-alive connections at edge-east-1 and it is stopped
    Then no request was lost, and the instance exited with code 0
    And no directory names edge-east-1 within 4 seconds
    And edge-east-1 starts again and is ready

  Scenario: A killed instance leaves the directory and can start again
    When the platform kills edge-east-2
    Then no directory names edge-east-2 within 5 seconds
    And edge-east-2 starts again and is ready

  Scenario Outline: An upstream that says in an answer that it wants no more requests gets none
    Given desk-1 asks for less in its answers by <fault> of <value>
    When 30 requests GET /status/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request
    And desk-1 received at most 1 of them, and others received some

    Examples:
      | fault        | value |
      | says_leaving | 1     |
      | shed_pause_s | 60    |

  Scenario: A route that is added after the store came back from an older copy is served everywhere
    Given the store keeps a copy of itself before configuration 2 is published
    When the store comes back from its copy and configuration 3 adds a route
    Then every instance serves that route within 2 seconds, and the log has store-restored

  # Guards against a stop that drops requests whose bodies are still coming in (review/1).
  Scenario: Requests whose bodies come in slowly while an instance stops are all answered
    When edge-east-2 is stopped while requests come in whose bodies take 0.8 seconds
    Then each request was answered, as not run only if no upstream ran it, and the exit code is 0

  Scenario: Requests that are at work when the grace of a planned stop ends get a truthful answer
    Given configuration 1 gives the routes 20 seconds
    When edge-east-2 is stopped while upstreams work 15 seconds on requests sent before and after
    Then each request was answered, as not run only if no upstream ran it, and the exit code is 0

  Scenario: Requests are served while nobody reads the log
    When edge-west-1 starts again with a log that nobody reads
    And it is asked 2000 times for GET /open/x
    Then all were answered 200 in less than 1 second each
    And its metrics count dropped log lines and at least 2000 requests

  Scenario Outline: Changed settings are reloaded on SIGHUP
    When the settings of edge-east-2 <change> and it gets SIGHUP
    And 1 s of real time pass
    Then the log file of edge-east-2 holds <what>
    When a caller with the account's key asks edge-east-2 for POST /book/x
    Then the answer is 200

    Examples:
      | change                     | what               |
      | name the store's other address | reloaded, store=127.30.0.2:7100 |
      | have a mistake             | reloaded, mistakes |

  Scenario: A store entry of an instance with port 0 fails only the pulses to it
    When the store holds an instance at port 0
    And 2 s of real time pass
    Then the log file of edge-east-1 holds pulse-failed
    When a caller with the account's key asks edge-east-1 for POST /book/x
    Then the answer is 200

  Scenario: All instances are killed at once and start again
    When all instances are killed at once and start again
    And 3 s of real time pass
    And 6 requests GET /status/x go to edge-east-1 over one connection
    Then all answers are 200 and each belongs to its request
    When 6 requests GET /status/x go to edge-west-1 over one connection
    Then all answers are 200 and each belongs to its request

  Scenario Outline: The cause of a failed request is found by its id
    Given <trouble>
    When a caller with the account's key asks edge-east-1 for <method> <path>
    Then explain shows the outcome <outcome> with <code> at <step>, <run>
    And the explained lines contain <inputs>

    Examples:
      | trouble                                 | method | path      | outcome         | code           | step   | run          | inputs                         |
      | the upstreams have the fault reset      | POST   | /book/x   | request-refused | upstream-failed| send   | may-have-run | usable, known, store_age_s     |
      | the upstreams have the fault cut once   | GET    | /ask/x    | request-cut     | upstream-failed| send   | may-have-run | running, slots, version        |
      | the upstreams have the fault hang       | GET    | /brief/x  | request-refused | deadline       | core   | may-have-run | left_s, wait_s, waited_s       |
      | every upstream of desk is draining      | POST   | /book/x   | request-refused | no-upstream    | place  | not-run      | usable=0, upstream-leaving     |
      | the account may use 1 token a second    | POST   | /book/x   | request-refused | rate-exceeded  | quota  | not-run      | tokens_left, retry_after_s     |

  Scenario: The time line of a request that another region answered
    When a caller with the account's key asks edge-east-1 for GET /away/x
    Then explain shows lines of both instances, the first one of edge-east-1

  Scenario: Without a configuration every request is refused
    When all instances are killed, the configuration is deleted and edge-east-1 starts
    And a caller with the account's key asks edge-east-1 for POST /book/x
    Then the answer is 503 and no upstream saw it
