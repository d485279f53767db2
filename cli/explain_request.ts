/**
 * The command `explain`: prints why a recent request was routed or refused so.
 */
import type { Decision } from '../log/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { queryProcess } from './_query_process.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'
import type { QueryOptions } from './print_status.ts'

/**
 * Prints the decisions that an entry remembers about a request, oldest first.
 *
 * @param address the peer address `ip:port` of the entry
 * @param requestId the identifier that the entry sent as `x-request-id`
 * @param options the settings file that holds the key
 * @param output where the lines go
 * @returns 0, or 1 when the entry gave no answer or remembers nothing about the request
 *
 * @example
 * ```ts
 * process.exitCode = await explain('127.0.0.1:7001', 'e1-abc', {}, { out: console.log, err: console.error })
 * ```
 */
export async function explainRequest (
  address: string, requestId: string, options: QueryOptions, output: Output
): Promise<ExitCode> {
  const message = { kind: MessageKind.Explain, requestId } as const
  const reply = await queryProcess({ address, ...options, message, replyKind: MessageKind.ExplainReply })
  if (reply.err) {
    output.err(`explain: ${reply.val}`)
    return ExitCode.Failed
  }
  const decisions = reply.val.decisions as unknown as Decision[]
  if (decisions.length === 0) {
    output.err(`explain: the process at ${address} remembers nothing about request "${requestId}"`)
    return ExitCode.Failed
  }
  for (const decision of decisions) printDecision(decision, output)
  return ExitCode.Ok
}

function printDecision (decision: Decision, output: Output): void {
  const { kind, attempt, caller, tier, chosen, reason, revision } = decision
  output.out(`${kind}, attempt ${attempt}: ${chosen ?? 'nothing chosen'} (${reason})`)
  output.out(`  caller ${caller}, tier ${tier}, configuration revision ${revision}`)
  for (const lost of decision.runnersUp ?? []) output.out(`  not ${lost.backend}: ${lost.reason}`)
}
