/**
 * The command `status`: prints a process's own view.
 */
import { MessageKind } from '../wire/mod.ts'
import { queryProcess } from './_query_process.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'

/** Configures `status` and `explain`. */
export interface QueryOptions {
  /** Settings file of any process of the deployment, for the key. */
  settings?: string
}

/**
 * Prints what a process knows about itself and its peers, as JSON.
 *
 * @param address the peer address `ip:port` of the process
 * @param options the settings file that holds the key
 * @param output where the lines go
 * @returns 0, or 1 when the process gave no answer
 *
 * @example
 * ```ts
 * process.exitCode = await status('127.0.0.1:7001', {}, { out: console.log, err: console.error })
 * ```
 */
export async function printStatus (address: string, options: QueryOptions, output: Output): Promise<ExitCode> {
  const message = { kind: MessageKind.Status } as const
  const reply = await queryProcess({ address, ...options, message, replyKind: MessageKind.StatusReply })
  if (reply.err) {
    output.err(`status: ${reply.val}`)
    return ExitCode.Failed
  }
  output.out(JSON.stringify(reply.val.status, undefined, 2))
  return ExitCode.Ok
}
