@matrix
Feature: Whole deployments

  Scenario: A deployment that was idle for longer than the lease answers the next request
    Given a running matrix deployment
    When the deployment stays idle for 2500 ms
    Then the deployment answers a model request through every entry on the first attempt

  @full
  Scenario: A deployment whose decode agents are replaced one after the other refuses nothing
    Given a running matrix deployment
    When the deployment replaces each decode agent twice, 1000 ms apart, while callers send requests
    Then the deployment answered every caller

  @full
  Scenario Outline: A deployment cuts off nothing when the <process> is told to stop at <step>
    Given a running matrix deployment
    When the deployment's <process> receives SIGTERM at "<step>"
    Then the deployment answered the caller without a second run and the process exited with code 0

    Examples:
      | process       | step              |
      | entry         | mid-stream        |
      | entry         | service call sent |
      | prefill agent | prefilling        |
      | decode agent  | transferring      |
      | decode agent  | mid-stream        |
      | service agent | service call sent |
