@cli
Feature: The command line
  Scenario Outline: The command line ends with a conventional code and tells faults on standard error
    When the command line "<arguments>" runs as a process
    Then the command line exits with <code> and prints "<out>" to <stream>

    Examples:
      | arguments               | code | out                       | stream          |
      | load --help             | 0    | --between-tokens-ms       | standard output |
      | entry --setings x.jsonc | 1    | Unknown option: --setings | standard error  |

  Scenario Outline: Commands of the command line tell faults on standard error
    When the command line "<arguments>" runs in the test process
    Then the command line exits with 1 and prints "<out>" to standard error

    Examples:
      | arguments                              | out                       |
      | check missing.jsonc                    | "missing.jsonc" cannot be |
      | entry                                  | expected --settings FILE  |
      | entry --settings missing.jsonc         | "missing.jsonc" cannot be |
      | agent --settings examples/fleuve/entry.jsonc | expected those of an agent |
      | status 127.0.0.1:1                     | connection to 127.0.0.1:1 |
      | load --rate 5                          | --url is missing          |

  Scenario Outline: The command line compares a configuration with the one in force, and prints no key
    When the command line "check <arguments>" runs in the test process
    Then the command line exits with <code> and prints "<out>" to standard <stream>
    And the command line prints no key of "examples/rules/in_force.json"

    Examples:
      | arguments                                                            | code | out                                              | stream |
      | examples/rules/next.json --against examples/rules/in_force.json      | 0    | callers of a.example/sign/ get 404               | output |
      | examples/rules/next.json --against examples/rules/in_force.json      | 0    | 1 key withdrawn: callers who use it get 401      | output |
      | examples/rules/next.json --against examples/rules/in_force.json      | 0    | all its callers get 401                          | output |
      | examples/rules/in_force.json --against examples/rules/next.json      | 1    | 7 is not higher than 8                           | error  |
      | --json examples/rules/next.json --against examples/rules/in_force.json | 0  | "kind":"removed"                                 | output |
      | examples/fleuve/records.jsonc --against examples/velluto/records.jsonc | 0  | caller/teatro-regio: gets 401                    | output |
      | examples/rules/next.json --against examples/velluto/records.jsonc    | 1    | holds no configuration of the kind that is checked | error |
      | --json examples/bad_rules/keys.json                                  | 2    | "level":"warning"                                | output |

  Scenario: The command line load tool counts what finished, was refused and broke off
    Given a command line target whose responses in turn finish, are refused with "no_capacity" and break off
    When the command line sends load to the target at 100 requests per second for 1 s
    Then the command line load report counts one third of each, and only the finished as goodput

  Scenario Outline: The command line asks a running process
    Given a command line peer that replies to status and explain
    When the command line queries the peer with "<query>"
    Then the command line query exits with <code> and prints "<text>"

    Examples:
      | query      | code | text               |
      | status     | 0    | "revision": 7      |
      | explain r1 | 0    | not d2: no seat    |
      | explain r9 | 1    | stores no decision |

  Scenario Outline: The command line reaches a process with a key only through settings that hold it
    Given a command line peer with the key of the example "fleuve"
    When the command line queries the status of the peer with the settings "<settings>"
    Then the command line query exits with <code> and prints "<text>"

    Examples:
      | settings                     | code | text                  |
      | examples/fleuve/entry.jsonc  | 0    | "revision": 7         |
      | examples/velluto/entry.jsonc | 1    | connection to         |
      | none                         | 1    | closed the connection |

  Scenario Outline: A command line daemon obeys signals, and ends work only after the grace period
    Given a command line daemon with a grace period of 1000 ms and work that finishes <end>
    When the command line daemon receives SIGTERM at the times "<signals>" in ms
    Then the command line daemon was killed <kills> times and the exit code is <code>

    Examples:
      | end       | signals     | kills | code |
      | at 500 ms | 0           | 0     | 0    |
      | at 900 ms | 0 100 200   | 0     | 0    |
      | never     | 0 500 1500  | 1     | 1    |

  Scenario: The command line load plan depends on its seed only and keeps its rate
    When the command line plans load for 100 s at 50 requests per second with the seeds 1, 1 and 2
    Then the command line plans of seed 1 are equal, that of seed 2 differs, and each has 4700 to 5300 requests
