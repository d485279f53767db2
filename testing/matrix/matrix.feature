@matrix
Feature: The fault matrix on real processes

  Scenario Outline: Matrix: <fault> at <step>
    Given a running matrix deployment
    When the matrix fault "<fault>" occurs at "<step>"
    Then every check of the matrix passes

    Examples: cells that every test run covers
      | fault                 | step              |
      | no fault              | draining          |
      | agent killed          | mid-stream        |
      | backend server killed | first token       |
      | caller gone           | prefilling        |
      | entry killed          | transferring      |
      | agent killed          | service call sent |

    @full
    Examples: the other cells
      | fault                                  | step                  |
      | no fault                               | reserving             |
      | no fault                               | prefilling            |
      | no fault                               | transferring          |
      | no fault                               | first token           |
      | no fault                               | mid-stream            |
      | no fault                               | last token            |
      | no fault                               | ticket issued         |
      | no fault                               | service call sent     |
      | no fault                               | service call answered |
      | entry killed                           | reserving             |
      | entry killed                           | prefilling            |
      | entry killed                           | first token           |
      | entry killed                           | mid-stream            |
      | entry killed                           | last token            |
      | entry killed                           | ticket issued         |
      | entry killed                           | service call sent     |
      | entry killed                           | service call answered |
      | entry killed                           | draining              |
      | agent killed                           | reserving             |
      | agent killed                           | prefilling            |
      | agent killed                           | transferring          |
      | agent killed                           | first token           |
      | agent killed                           | last token            |
      | agent killed                           | ticket issued         |
      | agent killed                           | service call answered |
      | agent killed                           | draining              |
      | agent killed and started again at once | reserving             |
      | agent killed and started again at once | prefilling            |
      | agent killed and started again at once | transferring          |
      | agent killed and started again at once | first token           |
      | agent killed and started again at once | mid-stream            |
      | agent killed and started again at once | last token            |
      | agent killed and started again at once | ticket issued         |
      | agent killed and started again at once | service call sent     |
      | agent killed and started again at once | service call answered |
      | agent killed and started again at once | draining              |
      | backend server killed                  | reserving             |
      | backend server killed                  | prefilling            |
      | backend server killed                  | transferring          |
      | backend server killed                  | mid-stream            |
      | backend server killed                  | last token            |
      | backend server killed                  | ticket issued         |
      | backend server killed                  | service call sent     |
      | backend server killed                  | service call answered |
      | backend server killed                  | draining              |
      | entry frozen and woken late            | reserving             |
      | entry frozen and woken late            | prefilling            |
      | entry frozen and woken late            | transferring          |
      | entry frozen and woken late            | first token           |
      | entry frozen and woken late            | mid-stream            |
      | entry frozen and woken late            | last token            |
      | entry frozen and woken late            | ticket issued         |
      | entry frozen and woken late            | service call sent     |
      | entry frozen and woken late            | service call answered |
      | entry frozen and woken late            | draining              |
      | agent frozen and woken late            | reserving             |
      | agent frozen and woken late            | prefilling            |
      | agent frozen and woken late            | transferring          |
      | agent frozen and woken late            | first token           |
      | agent frozen and woken late            | mid-stream            |
      | agent frozen and woken late            | last token            |
      | agent frozen and woken late            | ticket issued         |
      | agent frozen and woken late            | service call sent     |
      | agent frozen and woken late            | service call answered |
      | agent frozen and woken late            | draining              |
      | backend server frozen                  | reserving             |
      | backend server frozen                  | prefilling            |
      | backend server frozen                  | transferring          |
      | backend server frozen                  | first token           |
      | backend server frozen                  | mid-stream            |
      | backend server frozen                  | last token            |
      | backend server frozen                  | ticket issued         |
      | backend server frozen                  | service call sent     |
      | backend server frozen                  | service call answered |
      | backend server frozen                  | draining              |
      | transfer stalled                       | reserving             |
      | transfer stalled                       | prefilling            |
      | transfer stalled                       | transferring          |
      | caller gone                            | reserving             |
      | caller gone                            | transferring          |
      | caller gone                            | first token           |
      | caller gone                            | mid-stream            |
      | caller gone                            | last token            |
      | caller gone                            | ticket issued         |
      | caller gone                            | service call sent     |
      | caller gone                            | draining              |
      | configuration service down             | reserving             |
      | configuration service down             | prefilling            |
      | configuration service down             | transferring          |
      | configuration service down             | first token           |
      | configuration service down             | mid-stream            |
      | configuration service down             | last token            |
      | configuration service down             | ticket issued         |
      | configuration service down             | service call sent     |
      | configuration service down             | service call answered |
      | configuration service down             | draining              |
      | configuration service stale            | reserving             |
      | configuration service stale            | prefilling            |
      | configuration service stale            | transferring          |
      | configuration service stale            | first token           |
      | configuration service stale            | mid-stream            |
      | configuration service stale            | last token            |
      | configuration service stale            | ticket issued         |
      | configuration service stale            | service call sent     |
      | configuration service stale            | service call answered |
      | configuration service stale            | draining              |
      | host list stale                        | reserving             |
      | host list stale                        | prefilling            |
      | host list stale                        | transferring          |
      | host list stale                        | first token           |
      | host list stale                        | mid-stream            |
      | host list stale                        | last token            |
      | host list stale                        | ticket issued         |
      | host list stale                        | service call sent     |
      | host list stale                        | service call answered |
      | host list stale                        | draining              |
      | two operators racing                   | reserving             |
      | two operators racing                   | prefilling            |
      | two operators racing                   | transferring          |
      | two operators racing                   | first token           |
      | two operators racing                   | mid-stream            |
      | two operators racing                   | last token            |
      | two operators racing                   | ticket issued         |
      | two operators racing                   | service call sent     |
      | two operators racing                   | service call answered |
      | two operators racing                   | draining              |
      | engine answers crossed                 | reserving             |
      | engine answers crossed                 | prefilling            |
      | engine answers crossed                 | transferring          |
      | engine answers crossed                 | first token           |
      | engine answers crossed                 | mid-stream            |
      | engine answers crossed                 | last token            |
      | engine answers crossed                 | draining              |
      | backend server answers late            | reserving             |
      | backend server answers late            | prefilling            |
      | backend server answers late            | transferring          |
      | backend server answers late            | first token           |
      | backend server answers late            | mid-stream            |
      | backend server answers late            | last token            |
      | backend server answers late            | ticket issued         |
      | backend server answers late            | service call sent     |
      | backend server answers late            | service call answered |
      | backend server answers late            | draining              |
      | backend server cut off                 | reserving             |
      | backend server cut off                 | prefilling            |
      | backend server cut off                 | transferring          |
      | backend server cut off                 | first token           |
      | backend server cut off                 | mid-stream            |
      | backend server cut off                 | last token            |
      | backend server cut off                 | ticket issued         |
      | backend server cut off                 | service call sent     |
      | backend server cut off                 | service call answered |
      | backend server cut off                 | draining              |
      | agent killed and started again, twice  | reserving             |
      | agent killed and started again, twice  | prefilling            |
      | agent killed and started again, twice  | transferring          |
      | agent killed and started again, twice  | first token           |
      | agent killed and started again, twice  | mid-stream            |
      | agent killed and started again, twice  | last token            |
      | agent killed and started again, twice  | ticket issued         |
      | agent killed and started again, twice  | service call sent     |
      | agent killed and started again, twice  | service call answered |
      | agent killed and started again, twice  | draining              |
      | backend server cut off, twice          | reserving             |
      | backend server cut off, twice          | prefilling            |
      | backend server cut off, twice          | transferring          |
      | backend server cut off, twice          | first token           |
      | backend server cut off, twice          | mid-stream            |
      | backend server cut off, twice          | last token            |
      | backend server cut off, twice          | ticket issued         |
      | backend server cut off, twice          | service call sent     |
      | backend server cut off, twice          | service call answered |
      | backend server cut off, twice          | draining              |
      | entry frozen while the agent is killed | reserving             |
      | entry frozen while the agent is killed | prefilling            |
      | entry frozen while the agent is killed | transferring          |
      | entry frozen while the agent is killed | first token           |
      | entry frozen while the agent is killed | mid-stream            |
      | entry frozen while the agent is killed | last token            |
      | entry frozen while the agent is killed | ticket issued         |
      | entry frozen while the agent is killed | service call sent     |
      | entry frozen while the agent is killed | service call answered |
      | entry frozen while the agent is killed | draining              |
