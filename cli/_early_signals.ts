/**
 * Receives the signals that come while a process loads its modules, each of which would end it at once. A program imports this module
 * before all others.
 */
const signals = ['SIGHUP', 'SIGTERM'] as const

/** A signal that a process on the platform receives. */
export type ProcessSignal = typeof signals[number]

const received: ProcessSignal[] = []
const receive = (signal: NodeJS.Signals): void => { received.push(signal as ProcessSignal) }
for (const signal of signals) process.on(signal, receive)

/** Hands the signals over to a receiver: those that have come, and from now on each as it comes. */
export function receiveSignals (handlers: { readonly [K in ProcessSignal]: () => void }): void {
  for (const signal of signals) {
    process.on(signal, handlers[signal])
    process.off(signal, receive)
  }
  for (const signal of received.splice(0)) handlers[signal]()
}
