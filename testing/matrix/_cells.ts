/**
 * Faults and steps of the fault matrix, and the cells (pairs of a fault and a step) that it leaves out.
 */

/** A fault that the matrix causes; the values are those of matrix.feature. */
export enum Fault {
  None = 'no fault',
  KillEntry = 'entry killed',
  KillAgent = 'agent killed',
  RestartAgent = 'agent killed and started again at once',
  KillBackend = 'backend server killed',
  FreezeEntry = 'entry frozen and woken late',
  FreezeAgent = 'agent frozen and woken late',
  FreezeBackend = 'backend server frozen',
  StallTransfer = 'transfer stalled',
  CallerDisconnects = 'caller gone',
  ConfigDown = 'configuration service down',
  ConfigStale = 'configuration service stale',
  HostListStale = 'host list stale',
  ConflictingWrites = 'two operators racing',
  DuplicateAndReorder = 'engine answers crossed',
  DelayedResponses = 'backend server answers late',
  CloseBackendPort = 'backend server cut off',
  RestartAgentTwice = 'agent killed and started again, twice',
  CloseBackendPortTwice = 'backend server cut off, twice',
  FreezeEntryKillAgent = 'entry frozen while the agent is killed'
}

/** The step of a request at which the fault occurs; the values are those of the feature files. */
export enum Step {
  Reserving = 'reserving',
  Prefilling = 'prefilling',
  Transferring = 'transferring',
  FirstToken = 'first token',
  MidStream = 'mid-stream',
  LastToken = 'last token',
  TicketIssued = 'ticket issued',
  CallSent = 'service call sent',
  CallAnswered = 'service call answered',
  Draining = 'draining'
}

/** Steps of a call to a plain service; all others are steps of a model request. */
export const serviceCallSteps = new Set([Step.TicketIssued, Step.CallSent, Step.CallAnswered])

const stepsUntilTransfer = new Set([Step.Reserving, Step.Prefilling, Step.Transferring])

/** Returns why the matrix leaves out a cell; undefined when the cell runs. */
export function findExclusionReason (fault: Fault, step: Step): string | undefined {
  const isCall = serviceCallSteps.has(step)
  if (fault === Fault.StallTransfer && isCall) return 'a service call has no transfer'
  if (fault === Fault.StallTransfer && !stepsUntilTransfer.has(step)) return 'the transfer is over'
  if (fault === Fault.DuplicateAndReorder && isCall) return 'a service sends a single response'
  if (fault === Fault.CallerDisconnects && step === Step.CallAnswered) return 'no call is in flight'
  return undefined
}
