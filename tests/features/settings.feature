Feature: Settings are checked, and every mistake is reported at once

  Scenario Outline: A mistake is reported with section, option, value and what was expected
    Given settings whose <section> has <option> set to <value>
    When they are checked
    Then the exit code is 2
    And the report names <section>, <option>, <value> and "<expected>"

    Examples:
      | section  | option      | value     | expected                                    |
      | instance | listen      | localhost | an IP address                               |
      | instance | caller_port | 70000     | a port from 1 to 65535                      |
      | instance | caller_port | many      | a port from 1 to 65535                      |
      | instance | name        | A_B       | lowercase letters, digits and hyphens       |
      | store    | url         | ftp://x   | http://IP:PORT                              |
      | store    | lease_s     | 0         | a number of seconds from 1 to 300           |
      | peers    | secret      | plain     | file:PATH or env:NAME                       |
      | callers  | cut_off_keys | maybe    | serve or refuse                             |
      | policy   | windov      | 2         | one of the options                          |

  Scenario: All mistakes are in one report
    Given settings with a missing name, a wrong port, an unknown option and an unknown section
    When they are checked
    Then the exit code is 2
    And the report has 4 lines

  Scenario: Good settings pass, and no report shows a secret
    Given good settings
    When they are checked
    Then the exit code is 0
    And the secret is not shown
