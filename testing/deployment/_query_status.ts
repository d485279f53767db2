/**
 * Asks an entry or agent for its own view over the protocol between processes.
 */
import type { Timer } from '../../timer/mod.ts'
import { connect, MessageKind } from '../../wire/mod.ts'
import type { Connection } from '../../wire/mod.ts'

const answerTimeoutMs = 2000

function sayHello (connection: Connection, incarnation: number): void {
  connection.send({
    kind: MessageKind.Hello,
    name: `tool-${process.pid}-${incarnation}`,
    process: 'tool',
    incarnation,
    address: '',
    revision: 0,
    availabilityZone: '',
    region: ''
  })
  connection.send({ kind: MessageKind.Status })
}

/** Answers the status of the process at a peer address, or undefined when it does not answer. */
export async function queryStatus (address: string, timer: Timer): Promise<Record<string, unknown> | undefined> {
  const connection = await connect({ address })
  if (connection.err) return undefined
  const answer = new Promise<Record<string, unknown> | undefined>((resolve) => {
    const limit = timer.after(answerTimeoutMs, () => resolve(undefined))
    connection.val.onClose(() => resolve(undefined))
    connection.val.onMessage((msg) => {
      if (msg.kind !== MessageKind.StatusReply) return
      limit.cancel()
      resolve(msg.status)
    })
  })
  sayHello(connection.val, timer.wallClockMs())
  const status = await answer
  connection.val.close()
  return status
}
