/**
 * Counts the verdicts in a stream of cucumber messages.
 */

/** The parts of a cucumber message that the count needs. */
export interface Envelope {
  pickle?: { id: string, name: string, uri: string }
  testCase?: { id: string, pickleId: string }
  testCaseStarted?: { id: string, testCaseId: string }
  testStepFinished?: { testCaseStartedId: string, testStepResult: { status: string } }
  testCaseFinished?: { testCaseStartedId: string }
}

/** Holds the verdicts of a run. */
export interface ScenarioResults {
  passed: number
  failed: string[]
  /** Failed scenarios that KNOWN-RED.txt lists. */
  knownFailures: string[]
}

/**
 * Counts the scenarios that passed and names those that failed. A step that is undefined, pending or skipped counts as
 * failed.
 *
 * @param envelopes the messages of the run
 * @param known names of scenarios that are known to fail
 * @returns the verdicts
 *
 * @example
 * ```ts
 * console.log(tally([], new Set()).passed)
 * ```
 */
export function countScenarios (envelopes: Envelope[], known: Set<string>): ScenarioResults {
  const pickles = new Map<string, { name: string, uri: string }>()
  const cases = new Map<string, string>()
  const started = new Map<string, { name: string, uri: string }>()
  const bad = new Set<string>()
  const result: ScenarioResults = { passed: 0, failed: [], knownFailures: [] }
  for (const envelope of envelopes) {
    if (envelope.pickle) pickles.set(envelope.pickle.id, envelope.pickle)
    if (envelope.testCase) cases.set(envelope.testCase.id, envelope.testCase.pickleId)
    if (envelope.testCaseStarted) {
      const pickle = pickles.get(cases.get(envelope.testCaseStarted.testCaseId) ?? '')
      started.set(envelope.testCaseStarted.id, pickle ?? { name: 'unknown', uri: '' })
    }
    const step = envelope.testStepFinished
    if (step && step.testStepResult.status !== 'PASSED') bad.add(step.testCaseStartedId)
    const end = envelope.testCaseFinished
    if (!end) continue
    const pickle = started.get(end.testCaseStartedId) ?? { name: 'unknown', uri: '' }
    if (!bad.has(end.testCaseStartedId)) result.passed += 1
    else if (known.has(pickle.name)) result.knownFailures.push(pickle.name)
    else result.failed.push(`${pickle.uri}: ${pickle.name}`)
  }
  return result
}
