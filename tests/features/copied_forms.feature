Feature: Whatever the form of an answer that comes again, it is nobody's answer
  Each row plays all combinations of 11 statuses, 3 framings and 3 methods of both requests.

  # Guards against answers that are lost, or believed, as a copy of another form came with them (TWICE, MIXED).
  Scenario Outline: A request gets its own answer beside the copies of an earlier one of any form
    Given upstreams that write their first answers <copies> times more, <moment>
    When two requests are sent to each, in all forms
    Then the second ones get their own answers, or are sent on other connections and get them there

    Examples:
      | copies | moment                                  |
      | 1      | before                                  |
      | 2      | before                                  |
      | 1      | glued to the next answer                |
      | 1      | in two pieces                           |
      | 1      | after                                   |
      | 1      | glued to the first answer               |
      | 1      | half while idle, the rest with the next |
      | 8      | before                                  |
      | 8      | glued to the next answer                |
      | 8      | in two pieces                           |
      | 8      | after                                   |
