/**
 * Reads the status of a running entry or agent over the protocol between processes.
 */
import type { Timer } from '../../timer/mod.ts'
import { connect, MessageKind } from '../../wire/mod.ts'
import type { Connection } from '../../wire/mod.ts'

const replyTimeoutMs = 2000

function sendStatusRequest (connection: Connection, incarnation: number): void {
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

/** Returns the status of the process at a peer address `ip:port`; undefined when it can not be reached or does not reply within 2 s. */
export async function queryStatus (address: string, timer: Timer): Promise<Record<string, unknown> | undefined> {
  const connection = await connect({ address })
  if (connection.err) return undefined
  const reply = new Promise<Record<string, unknown> | undefined>((resolve) => {
    const timeout = timer.after(replyTimeoutMs, () => resolve(undefined))
    connection.val.onClose(() => resolve(undefined))
    connection.val.onMessage((msg) => {
      if (msg.kind !== MessageKind.StatusReply) return
      timeout.cancel()
      resolve(msg.status)
    })
  })
  sendStatusRequest(connection.val, timer.wallClockMs())
  const status = await reply
  connection.val.close()
  return status
}
