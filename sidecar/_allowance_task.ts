/**
 * The exchange point of the allowances of organisations: sums what all gateways have spent.
 */
import { createAllowancePoint } from '../core/limits/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { AllowanceTolerance } from '../core/limits/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ExchangeHandlers } from './_admission_task.ts'

/** Configures the exchange point. */
export interface AllowanceTaskOptions {
  directory: Directory
  timer: Timer
  tolerance: AllowanceTolerance
}

/** The exchange point of this process, which has work only when gateways have chosen it. */
export interface AllowanceTask {
  handlers: ExchangeHandlers
  /** Returns the number of gateways that have reported lately. */
  gateways (): number
}

/** Creates an exchange point that knows no gateways. */
export function createAllowanceTask ({ directory, timer, tolerance }: AllowanceTaskOptions): AllowanceTask {
  const point = createAllowancePoint({
    tolerance, getLimit: (organisation) => directory.routeTable()?.getOrganisation(organisation)?.allowance
  })
  return {
    handlers: {
      [MessageKind.AllowanceReport]: (connection, msg) => {
        // Without rules it knows no limit, and an answer would say that much is left.
        if (directory.routeTable() === undefined) return
        const levels = point.onReport(msg, timer.now())
        if (levels !== undefined) connection.send(levels)
      }
    },
    gateways: () => point.countGateways(timer.now())
  }
}
