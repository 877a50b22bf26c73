@alone
Feature: Crowds, signals and restarts in random series do no harm
  Short runs; the long ones are started by hand (tests/crowd_soak.py). Seeds that failed stay here.

  # Guards against instances that end, hang or outgrow their machines while crowds come and go (LOST),
  # against refusals that aren't true (REFUSED) and orders that run twice (TWICE).
  Scenario Outline: A run from a seed
    When the soak of crowds runs with seed <seed>
    Then it finds nothing

    Examples:
      | seed |
      | 1    |
      | 2    |
