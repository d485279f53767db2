/**
 * Counts passed and failed scenarios in a stream of cucumber messages.
 */

/** Describes the parts of a cucumber message that `countScenarios` reads. */
export interface Envelope {
  pickle?: { id: string, name: string, uri: string }
  testCase?: { id: string, pickleId: string }
  testCaseStarted?: { id: string, testCaseId: string }
  testStepFinished?: { testCaseStartedId: string, testStepResult: { status: string } }
  testCaseFinished?: { testCaseStartedId: string }
}

/** Holds the results of a run. */
export interface ScenarioResults {
  /** Number of scenarios that passed. */
  passed: number
  /** File and name of each scenario that failed and is not known to fail. */
  failed: string[]
  /** Names of the scenarios that failed and are known to fail. */
  knownFailures: string[]
}

/**
 * Counts the scenarios that passed and names those that failed. A step that is undefined, pending or skipped counts as
 * failed.
 *
 * @param envelopes the messages of the run
 * @param knownNames names of scenarios that are known to fail
 * @returns the results
 *
 * @example
 * ```ts
 * console.log(countScenarios([], new Set()).passed)
 * ```
 */
export function countScenarios (envelopes: Envelope[], knownNames: Set<string>): ScenarioResults {
  const pickles = new Map<string, { name: string, uri: string }>()
  const pickleIdsByCase = new Map<string, string>()
  const picklesByRun = new Map<string, { name: string, uri: string }>()
  const failedRuns = new Set<string>()
  const result: ScenarioResults = { passed: 0, failed: [], knownFailures: [] }
  for (const envelope of envelopes) {
    if (envelope.pickle) pickles.set(envelope.pickle.id, envelope.pickle)
    if (envelope.testCase) pickleIdsByCase.set(envelope.testCase.id, envelope.testCase.pickleId)
    if (envelope.testCaseStarted) {
      const pickle = pickles.get(pickleIdsByCase.get(envelope.testCaseStarted.testCaseId) ?? '')
      picklesByRun.set(envelope.testCaseStarted.id, pickle ?? { name: 'unknown', uri: '' })
    }
    const step = envelope.testStepFinished
    if (step && step.testStepResult.status !== 'PASSED') failedRuns.add(step.testCaseStartedId)
    const finished = envelope.testCaseFinished
    if (!finished) continue
    const pickle = picklesByRun.get(finished.testCaseStartedId) ?? { name: 'unknown', uri: '' }
    if (!failedRuns.has(finished.testCaseStartedId)) result.passed += 1
    else if (knownNames.has(pickle.name)) result.knownFailures.push(pickle.name)
    else result.failed.push(`${pickle.uri}: ${pickle.name}`)
  }
  return result
}
